import { create } from "@bufbuild/protobuf";
import { beforeEach, expect, test } from "vitest";
import { MemberView } from "@oleanderdeck/membership";
import { EventLog } from "@oleanderdeck/observability";
import { type Member, MemberSchema, MemberState } from "@oleanderdeck/protocol";
import { SystemClock } from "@oleanderdeck/settings";
import { MemoryStore } from "@oleanderdeck/store";
import { areStale, findSeeds, SeedPublisher, selectSeeds } from "./seeds.ts";

function member(index: number, state = MemberState.ALIVE): Member {
  return create(MemberSchema, {
    nodeId: `node-${index}`,
    peerAddress: `10.0.${index % 2}.${index}:7102`,
    dataCentre: `dc-${index % 2}`,
    state,
  });
}

const clock = new SystemClock();
const log = new EventLog({ level: "error" });
let store: MemoryStore;

function publisher(self: Member, members: readonly Member[]): SeedPublisher {
  const view = { self: () => self, members: () => members };
  return new SeedPublisher({
    members: view as unknown as MemberView,
    store,
    clock,
    log,
  });
}

beforeEach(() => {
  store = new MemoryStore({ clock });
});

// Guards against seeds that are all in one data centre: when it is lost, no node
// can join the fleet.
test("seeds come from every data centre", () => {
  const seeds = selectSeeds(Array.from({ length: 20 }, (_, i) => member(i)));
  expect(seeds.length).toBe(6);
  expect(seeds.filter((seed) => seed.startsWith("10.0.1.")).length).toBe(3);
});

// Guards against a write to the store whenever a single seed restarts.
test("seeds are stale when most of them are not live", () => {
  const members = [member(0), member(1), member(2, MemberState.DEAD)];
  expect(areStale(members.map((each) => each.peerAddress), members)).toBe(
    false,
  );
  expect(areStale([member(2).peerAddress], members)).toBe(true);
  expect(areStale([], members)).toBe(true);
});

// Guards against store requests that grow with the size of the fleet.
test("only the store readers of a data centre publish", async () => {
  const members = Array.from({ length: 40 }, (_, i) => member(i));
  for (const self of members) await publisher(self, members).publish();
  const { get, put } = store.counters();
  expect({ get, put }).toEqual({ get: 4, put: 1 });
  expect(await findSeeds([], store)).toEqual(selectSeeds(members));
});

// Guards against a publisher that overwrites the list which another publisher
// stored after the first one had read the store.
test("the first of two concurrent publishers wins", async () => {
  const members = [member(0), member(1)];
  await Promise.all(
    members.map((self) => publisher(self, members).publish()),
  );
  expect(await findSeeds([], store)).toEqual(selectSeeds(members));
  expect((await store.get("seeds")).unsafeCoerce().version).toBe(1);
});
