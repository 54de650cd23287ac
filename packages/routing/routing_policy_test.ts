import { expect, test } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type Candidate, LocalFirstRouting } from "./routing_policy.ts";

function candidate(changes: Partial<Candidate>): Candidate {
  return {
    nodeId: "a",
    dataCentre: "dc-1",
    freeSlots: 5,
    slots: 10,
    failureShare: 0,
    roundTripMs: 8,
    ...changes,
  };
}

function countSelections(
  candidates: readonly Candidate[],
  expectedLocalWaitMs = 0,
): Record<string, number> {
  const random = xoroshiro128plus(7);
  const counts: Record<string, number> = {};
  for (let call = 0; call < 1_000; call++) {
    const chosen = new LocalFirstRouting().select(candidates, {
      dataCentre: "dc-1",
      hasLocalWorkers: true,
      expectedLocalWaitMs,
      random,
    });
    const name = chosen?.nodeId ?? "none";
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

test("a worker that fails fast does not attract the calls", () => {
  const counts = countSelections([
    candidate({ nodeId: "failing", freeSlots: 10, failureShare: 0.9 }),
    candidate({ nodeId: "b", freeSlots: 2 }),
    candidate({ nodeId: "c", freeSlots: 2 }),
  ]);
  expect(counts["failing"]).toBeUndefined();
});

test("a cold worker with few slots gets few calls", () => {
  const counts = countSelections([
    candidate({ nodeId: "cold", freeSlots: 1, slots: 1 }),
    candidate({ nodeId: "b", freeSlots: 5 }),
  ]);
  expect(counts["cold"]).toBeUndefined();
});

test("calls leave the data centre only when the wait exceeds the link", () => {
  const remote = [candidate({ nodeId: "remote", dataCentre: "dc-2" })];
  expect(countSelections(remote, 4)).toEqual({ none: 1_000 });
  expect(countSelections(remote, 12)).toEqual({ remote: 1_000 });
  const both = [candidate({ nodeId: "local", freeSlots: 1 }), ...remote];
  expect(countSelections(both, 12)).toEqual({ local: 1_000 });
});
