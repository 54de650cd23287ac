import fc from "fast-check";
import { expect, test } from "vitest";
import { DeckError } from "@oleanderdeck/errors";
import { Clock } from "@oleanderdeck/settings";
import type { Permit } from "./permit.ts";
import {
  type Begin,
  type Outcome,
  PERMIT_TTL_MS,
  PermitLedger,
} from "./permit_ledger.ts";

class ManualClock extends Clock {
  time = 0;
  now(): number {
    return this.time;
  }
  sleep(): Promise<void> {
    return Promise.resolve();
  }
}

const clock = new ManualClock();

function newLedger(incarnation = 1n, bounds = {}): PermitLedger {
  return new PermitLedger({ nodeId: "node-1", incarnation, clock, ...bounds });
}

function issued(ledger: PermitLedger): Permit {
  return ledger.check(ledger.issue()).unsafeCoerce();
}

const outcomes: Outcome[] = [
  { state: "unknown" },
  { state: "answered", answer: undefined },
  {
    state: "answered",
    answer: { status: 200, headers: [], body: Buffer.alloc(60_000) },
  },
  { state: "not_run", error: new DeckError("worker_refused") },
];

type Step =
  | { readonly kind: "issue" | "restart" }
  | { readonly kind: "begin" | "finish"; readonly permit: number }
  | { readonly kind: "wait"; readonly milliseconds: number };

const step: fc.Arbitrary<Step & { readonly outcome: number }> = fc.record({
  kind: fc.constantFrom("issue", "begin", "begin", "begin", "finish", "wait"),
  permit: fc.nat(7),
  milliseconds: fc.constantFrom(1, 1000, PERMIT_TTL_MS / 2, PERMIT_TTL_MS),
  outcome: fc.nat(outcomes.length - 1),
}).chain((plain) =>
  fc.nat(19).map((number) => ({
    ...plain,
    kind: number === 0 ? "restart" : plain.kind,
  } as Step & { outcome: number }))
);

// Guards against a second execution under one permit after any sequence of
// repeats, restarts, and late or duplicate messages and outcomes.
test("a request begins at most once under a permit", () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
      clock.time = 0;
      let incarnation = 1n;
      let ledger = newLedger(incarnation, {
        answerCacheCapacityBytes: 150_000,
      });
      const texts: string[] = [];
      const mayHaveRun = new Set<string>();
      const running = new Set<string>();
      for (const { outcome, ...action } of steps) {
        if (action.kind === "issue") texts.push(ledger.issue());
        if (action.kind === "wait") clock.time += action.milliseconds;
        if (action.kind === "restart") {
          ledger = newLedger(++incarnation);
          running.clear();
        }
        if (action.kind !== "begin" && action.kind !== "finish") continue;
        const text = texts[action.permit % Math.max(1, texts.length)];
        if (text === undefined) continue;
        const checked = ledger.check(text);
        if (action.kind === "begin") {
          const begin = checked.caseOf<Begin>({
            Left: (error) => ({ action: "refuse", error }),
            Right: (permit) => ledger.begin(permit, "order"),
          });
          if (begin.action === "run") {
            expect(mayHaveRun.has(text)).toBe(false);
            mayHaveRun.add(text);
            running.add(text);
          } else if (begin.action === "refuse" && mayHaveRun.has(text)) {
            expect(begin.error.run).not.toBe("no");
          }
        } else if (running.has(text)) {
          checked.ifRight((permit) =>
            ledger.finish(permit, outcomes[outcome]!)
          );
          running.delete(text);
          if (outcomes[outcome]!.state === "not_run") mayHaveRun.delete(text);
        } else if (mayHaveRun.has(text)) {
          // A late duplicate outcome must not make the permit usable again.
          checked.ifRight((permit) => ledger.finish(permit, outcomes[3]!));
        }
      }
      expect(ledger.cachedBytes).toBeLessThanOrEqual(16 * 1024 * 1024);
    }),
    { numRuns: 1000, seed: 4711 },
  );
});

// Guards against accepting altered permits and refusing those of other nodes.
test("altered permits are refused and those of other nodes accepted", () => {
  const ledger = newLedger();
  const permit = ledger.issue();
  const altered = permit.replace(/\.(\d+)\.(\d+)\./, ".$1.9$2.");
  expect(ledger.check(altered).isLeft()).toBe(true);
  expect(ledger.check("node-1.1.1.1.x").isLeft()).toBe(true);
  const other = new PermitLedger({ nodeId: "a.b", incarnation: 2n, clock });
  const foreign = ledger.check(other.issue()).unsafeCoerce();
  expect(foreign).toMatchObject({ nodeId: "a.b", incarnation: 2n });
  expect(ledger.isOwn(foreign)).toBe(false);
});

// Guards against a second execution under a permit of an earlier incarnation.
test("a restarted issuer reports that the outcome is unknown", () => {
  const permit = newLedger(1n).issue();
  const error = newLedger(2n).check(permit).swap().unsafeCoerce();
  expect([error.kind, error.run]).toEqual(["outcome_unknown", "unknown"]);
});

// Guards against a joined caller that receives no answer or one to a different
// request.
test("repeated requests join and other requests are refused", () => {
  const ledger = newLedger();
  const permit = issued(ledger);
  expect(ledger.begin(permit, "order").action).toBe("run");
  const begin = ledger.begin(permit, "order");
  const seen: Outcome[] = [];
  if (begin.action === "join") begin.onOutcome((outcome) => seen.push(outcome));
  expect(ledger.begin(permit, "deposit").action).toBe("refuse");
  ledger.finish(permit, outcomes[2]!);
  expect(seen).toEqual([outcomes[2]]);
  expect(ledger.begin(permit, "order").action).toBe("answer");
});

// Guards against memory use that grows with the number of requests.
test("memory is bounded by evicting answers and refusing new requests", () => {
  const ledger = newLedger(1n, {
    maximumUsedPermits: 3,
    answerCacheCapacityBytes: 130_000,
  });
  const permits = [1, 2, 3].map(() => issued(ledger));
  permits.forEach((permit) => {
    ledger.begin(permit, "order");
    ledger.finish(permit, outcomes[2]!);
  });
  expect(ledger.cachedBytes).toBeLessThanOrEqual(130_000);
  expect(ledger.begin(permits[0]!, "order")).toMatchObject({
    outcome: { state: "answered", answer: undefined },
  });
  expect(ledger.begin(issued(ledger), "order").action).toBe("refuse");
  clock.time += 2 * PERMIT_TTL_MS;
  expect(ledger.begin(issued(ledger), "order").action).toBe("run");
  expect(ledger.size).toBe(1);
});
