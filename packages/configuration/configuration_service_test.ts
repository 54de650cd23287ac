import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, test } from "vitest";
import { FALLBACK_READS_PER_SECOND, StoreDocumentEditor } from "./mod.ts";
import { FakeFleet, type FakeNode } from "./_fake_fleet.ts";

/** Time within which a change must be active on all nodes, in milliseconds. */
const TARGET_MS = 8_000;

const NAME = "policy/menus";

/**
 * Commits a change by an editor without a replica, so that only readers of the
 * store receive it.
 */
async function commit(fleet: FakeFleet, name = NAME): Promise<number> {
  const { store, clock, options } = fleet;
  const random = xoroshiro128plus(options.seed);
  const editor = new StoreDocumentEditor({ store, clock, random });
  const stored = await clock.advanceUntilSettled(editor.get(name));
  const expectedVersion = stored.map(({ version }) => version).orDefault(0);
  const changeId = `${name}-${expectedVersion}`;
  const applied = await clock.advanceUntilSettled(
    editor.apply(name, "{}", { expectedVersion, changeId }),
  );
  return applied.unsafeCoerce().version;
}

/**
 * Waits until a version is active on all nodes, and returns the time that it
 * took, in milliseconds; infinity if that exceeds the target.
 */
async function timeUntilActive(fleet: FakeFleet, version: number, name = NAME) {
  const start = fleet.clock.now();
  while (fleet.countActive(name, version) < fleet.nodes.size) {
    if (fleet.clock.now() - start > TARGET_MS) return Infinity;
    await fleet.clock.advance(50);
  }
  return fleet.clock.now() - start;
}

/** Makes a node consider some members dead permanently. */
function markDead(node: FakeNode, nodes: readonly FakeNode[]): void {
  for (const { member } of nodes) node.view.dead.add(member.nodeId);
}

// Guards against a change that misses the 8 s target when messages are lost.
test.each([1, 2, 3])(
  "a change reaches 300 replicas within 8 s at a loss of 5 in 100, seed %i",
  async (seed) => {
    const fleet = new FakeFleet({ seed, loss: 0.05 });
    fleet.addMany(300);
    await fleet.clock.advance(10_000);
    expect(await timeUntilActive(fleet, await commit(fleet))).toBeLessThan(
      TARGET_MS,
    );
    await fleet.close();
  },
);

// Guards against differing configurations when announcements are lost,
// duplicated or reordered.
test("many changes end in the same state everywhere", async () => {
  const fleet = new FakeFleet({
    seed: 4,
    loss: 0.3,
    duplicateShare: 0.3,
    longestDelayMs: 1_500,
  });
  fleet.addMany(60);
  await fleet.clock.advance(5_000);
  let version = 0;
  for (let change = 0; change < 40; change++) {
    version = await commit(fleet, `policy/${change % 7}`);
    await fleet.clock.advance(100);
  }
  expect(await timeUntilActive(fleet, version, `policy/${39 % 7}`))
    .toBeLessThan(TARGET_MS);
  await fleet.clock.advance(TARGET_MS);
  const digests = [...fleet.nodes.values()].map(({ replica }) =>
    replica.digest()
  );
  expect(new Set(digests).size).toBe(1);
  await fleet.close();
});

// Guards against a burst of changes that the announcements, limited in size and
// rate, cannot distribute in time. A datagram has 1,200 bytes, of which about
// 200 are for its signature and header.
test("a burst of 300 changes reaches 150 nodes in time", async () => {
  const fleet = new FakeFleet({ seed: 21, loss: 0.05 });
  fleet.addMany(150);
  await fleet.clock.advance(5_000);
  for (let change = 0; change < 300; change++) {
    await commit(fleet, `policy/a-service-with-a-long-name-${change}`);
  }
  const start = fleet.clock.now();
  const digests = () =>
    new Set([...fleet.nodes.values()].map(({ replica }) => replica.digest()));
  while (digests().size > 1) await fleet.clock.advance(100);
  expect(fleet.clock.now() - start).toBeLessThan(TARGET_MS);
  const last = fleet.nodes.get("node-0")!.replica;
  expect(last.documents().length).toBe(300);
  expect(fleet.largestNews).toBeLessThanOrEqual(1_000);
  await fleet.close();
});

// Guards against a configuration that is lost or delayed by a store outage.
test.each(["refuse", "hang"] as const)(
  "after an outage (%s) a change reaches all nodes",
  async (outage) => {
    const fleet = new FakeFleet({ seed: 5, loss: 0.05 });
    const [first] = fleet.addMany(60);
    await fleet.clock.advance(5_000);
    const before = await commit(fleet);
    await fleet.clock.advance(TARGET_MS);
    fleet.store.setFaults({ outage });
    await fleet.clock.advance(60_000);
    expect(fleet.countActive(NAME, before)).toBe(60);
    expect(first!.service.contact.ageMs()).toBeGreaterThan(50_000);
    if (outage === "refuse") {
      const change = { expectedVersion: before, changeId: "rejected" };
      const rejected = await first!.service.editor.apply(NAME, "1", change);
      expect(rejected.swap().unsafeCoerce().kind).toBe("store_unavailable");
    }
    fleet.store.setFaults({ outage: "none" });
    expect(await timeUntilActive(fleet, await commit(fleet))).toBeLessThan(
      TARGET_MS,
    );
    await fleet.close();
  },
);

// Guards against changes that are late because the store is slow.
test("a change is in time although each store call takes 2 s", async () => {
  const fleet = new FakeFleet({ seed: 6, loss: 0.05 });
  fleet.addMany(100);
  fleet.store.setFaults({ delayMs: 2_000 });
  await fleet.clock.advance(20_000);
  const version = await commit(fleet);
  expect(await timeUntilActive(fleet, version)).toBeLessThan(TARGET_MS);
  await fleet.close();
});

// Guards against changes that are late because the selected readers have failed
// and all nodes still consider them live, so that no node watches the store.
test.each([7, 18, 19, 20])(
  "a change is in time without readers, seed %i",
  async (seed) => {
    const fleet = new FakeFleet({ seed, loss: 0.05 });
    const nodes = fleet.addMany(100);
    await fleet.clock.advance(5_000);
    const readers = nodes.filter(({ service }) => service.isReader());
    expect(readers.length).toBe(8);
    for (const { member, service } of readers) {
      fleet.nodes.delete(member.nodeId);
      await fleet.clock.advanceUntilSettled(service.close());
    }
    expect(await timeUntilActive(fleet, await commit(fleet))).toBeLessThan(
      TARGET_MS,
    );
    await fleet.close();
  },
);

// Guards against changes that are late because nodes disagree on the readers.
test("a change is in time when many nodes read or the views differ", async () => {
  const fleet = new FakeFleet({ seed: 8, loss: 0.05 });
  const nodes = fleet.addMany(60);
  for (const node of nodes.slice(0, 30)) markDead(node, nodes.slice(30));
  await fleet.clock.advance(5_000);
  expect(nodes.filter(({ service }) => service.isReader()).length)
    .toBeGreaterThan(8);
  expect(await timeUntilActive(fleet, await commit(fleet))).toBeLessThan(
    TARGET_MS,
  );
  await fleet.close();
});

// Guards against a rate of store calls that grows with the fleet. The bound is
// one call per 2 s for each of the eight readers, eight calls per second for the
// other nodes together, and three standard deviations of a count over 30 s.
test.each([40, 400])(
  "%i nodes call the store at a rate that does not depend on their number",
  async (size) => {
    const bound = 8 / 2 + FALLBACK_READS_PER_SECOND +
      3 * Math.sqrt(FALLBACK_READS_PER_SECOND / 30);
    const fleet = new FakeFleet({ seed: 9, loss: 0.05 });
    fleet.addMany(size);
    const callsPerSecond = async () => {
      await fleet.clock.advance(20_000);
      fleet.store.resetCounters();
      await fleet.clock.advance(30_000);
      const { list, watch } = fleet.store.counters();
      return (list + watch) / 30;
    };
    expect(await callsPerSecond()).toBeLessThan(bound);
    fleet.store.setFaults({ outage: "refuse" });
    expect(await callsPerSecond()).toBeLessThan(bound);
    await fleet.close();
  },
);

// Guards against a node that loads the stale configuration of a peer that was
// partitioned from the others, and keeps it.
test("a node that restarts in an outage does not keep a stale configuration", async () => {
  for (const seed of [10, 11, 12, 13, 14]) {
    const fleet = new FakeFleet({ seed });
    const nodes = fleet.addMany(8);
    await fleet.clock.advance(5_000);
    await commit(fleet);
    await fleet.clock.advance(TARGET_MS);
    const stale = nodes[0]!.member.nodeId;
    fleet.isReachable = (from, to) => from !== stale && to !== stale;
    await fleet.clock.advanceUntilSettled(nodes[0]!.service.close());
    const version = await commit(fleet);
    await fleet.clock.advance(TARGET_MS);
    fleet.store.setFaults({ outage: "refuse" });
    fleet.isReachable = () => true;
    const { replica } = fleet.add("restarted");
    while (!replica.isReady()) await fleet.clock.advance(50);
    expect(replica.activeVersion(NAME)).toBe(version);
    await fleet.close();
  }
});

// Guards against nodes that become ready without a configuration.
test("a node that starts in an outage without peers waits for the store", async () => {
  const fleet = new FakeFleet({ seed: 15 });
  const nodes = fleet.addMany(20);
  const version = await commit(fleet);
  const countReady = () =>
    nodes.filter(({ replica }) => replica.isReady()).length;
  fleet.store.setFaults({ outage: "refuse" });
  const late = fleet.add("late");
  await fleet.clock.advance(1_000);
  expect(countReady()).toBe(20);
  fleet.isReachable = () => false;
  await fleet.clock.advance(20_000);
  expect(late.replica.isReady()).toBe(true);
  const alone = fleet.add("alone");
  await fleet.clock.advance(20_000);
  expect(alone.replica.isReady()).toBe(false);
  fleet.store.setFaults({ outage: "none" });
  await fleet.clock.advance(2_000);
  expect(alone.replica.isReady()).toBe(true);
  expect(alone.replica.activeVersion(NAME)).toBe(version);
  await fleet.close();
});

// Guards against a node that never receives an older version that it lacks. The
// node may be marked complete up to a later version, because its digest was that
// of another node that lacked the older version too.
test.each([false, true])(
  "an older version is pulled, complete %s",
  async (complete) => {
    const fleet = new FakeFleet({ seed: 16 });
    fleet.addMany(20);
    await fleet.clock.advance(5_000);
    const [isolated] = [...fleet.nodes.values()].filter(({ service }) =>
      !service.isReader()
    );
    const { nodeId } = isolated!.member;
    fleet.isReachable = (from, to) => from !== nodeId && to !== nodeId;
    const missed = await commit(fleet, "policy/missed");
    await fleet.clock.advance(3_000);
    isolated!.replica.acceptAll([{
      name: NAME,
      version: missed + 1,
      content: "{}",
      deleted: false,
      changeId: "other",
    }]);
    if (complete) isolated!.replica.markComplete(missed + 1);
    expect(await commit(fleet)).toBe(missed + 1);
    fleet.isReachable = () => true;
    expect(await timeUntilActive(fleet, missed, "policy/missed"))
      .toBeLessThan(TARGET_MS);
    await fleet.close();
  },
);

// Guards against a rollout report that floods the network or miscounts.
test("the rollout query counts versions at 1,000 per second", async () => {
  const fleet = new FakeFleet({ seed: 17, loss: 0.05 });
  const nodes = fleet.addMany(120);
  await fleet.clock.advance(5_000);
  const version = await commit(fleet);
  await fleet.clock.advance(TARGET_MS);
  nodes[5]!.replica.accept({
    name: NAME,
    version: version + 1,
    content: "",
    deleted: true,
    changeId: "later",
  });
  fleet.isReachable = (from) => from !== "node-9";
  const counting = nodes[0]!.service.countVersions(NAME);
  await fleet.clock.advance(99);
  expect(fleet.sent.get("versionQuery")).toBeLessThanOrEqual(100);
  const report = await fleet.clock.advanceUntilSettled(counting);
  expect(report.unanswered).toBe(1);
  // The later version may have spread from the node that accepted it.
  const { nodesByVersion } = report;
  const later = nodesByVersion.get(version + 1) ?? 0;
  expect(later).toBeGreaterThan(0);
  expect(nodesByVersion.get(version) ?? 0).toBe(119 - later);
  await fleet.close();
});
