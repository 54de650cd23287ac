import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, test } from "vitest";
import { FALLBACK_READS_PER_SECOND, StoreDocumentEditor } from "./mod.ts";
import { FakeFleet, type FakeNode } from "./_fake_fleet.ts";

/** Time within which a change is in force everywhere, in milliseconds. */
const TARGET_MS = 8_000;

const NAME = "policy/menus";

/** Commits on a node outside the fleet, so that only readers learn of it. */
async function commit(fleet: FakeFleet, name = NAME): Promise<number> {
  const { store, clock, options } = fleet;
  const random = xoroshiro128plus(options.seed);
  const editor = new StoreDocumentEditor({ store, clock, random });
  const stored = await clock.until(editor.get(name));
  const expectedVersion = stored.map(({ version }) => version).orDefault(0);
  const changeId = `${name}-${expectedVersion}`;
  const applied = await clock.until(
    editor.apply(name, "{}", { expectedVersion, changeId }),
  );
  return applied.unsafeCoerce().version;
}

/** Time until all nodes have a version; infinite beyond the target. */
async function timeToAll(fleet: FakeFleet, version: number, name = NAME) {
  const start = fleet.clock.now();
  while (fleet.countActive(name, version) < fleet.nodes.size) {
    if (fleet.clock.now() - start > TARGET_MS) return Infinity;
    await fleet.clock.advance(50);
  }
  return fleet.clock.now() - start;
}

/** Makes a node hold some members for dead, for good. */
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
    expect(await timeToAll(fleet, await commit(fleet))).toBeLessThan(TARGET_MS);
    await fleet.close();
  },
);

// Guards against news that is lost, doubled or overtaken by later news.
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
  expect(await timeToAll(fleet, version, `policy/${39 % 7}`))
    .toBeLessThan(TARGET_MS);
  await fleet.clock.advance(TARGET_MS);
  const digests = [...fleet.nodes.values()].map(({ replica }) =>
    replica.digest()
  );
  expect(new Set(digests).size).toBe(1);
  await fleet.close();
});

// Guards against a burst of changes that the news, bounded in size and rate,
// cannot carry in time. A datagram has 1,200 bytes, with about 200 of them for
// its signature and header.
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

// Guards against a configuration that is lost or late because of an outage.
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
    expect(await timeToAll(fleet, await commit(fleet))).toBeLessThan(TARGET_MS);
    await fleet.close();
  },
);

// Guards against a slow store that makes changes late.
test("a change is in time although each store call takes 2 s", async () => {
  const fleet = new FakeFleet({ seed: 6, loss: 0.05 });
  fleet.addMany(100);
  fleet.store.setFaults({ delayMs: 2_000 });
  await fleet.clock.advance(20_000);
  const version = await commit(fleet);
  expect(await timeToAll(fleet, version)).toBeLessThan(TARGET_MS);
  await fleet.close();
});

// Guards against a fleet without readers, because every node holds the first
// nodes by rank for live although they have failed.
test.each([7, 18, 19, 20])("without readers, seed %i", async (seed) => {
  const fleet = new FakeFleet({ seed, loss: 0.05 });
  const nodes = fleet.addMany(100);
  await fleet.clock.advance(5_000);
  const readers = nodes.filter(({ service }) => service.isReader());
  expect(readers.length).toBe(8);
  for (const { member, service } of readers) {
    fleet.nodes.delete(member.nodeId);
    await fleet.clock.until(service.close());
  }
  expect(await timeToAll(fleet, await commit(fleet))).toBeLessThan(TARGET_MS);
  await fleet.close();
});

// Guards against nodes with different views of who reads.
test("a change is in time when many nodes read or the views differ", async () => {
  const fleet = new FakeFleet({ seed: 8, loss: 0.05 });
  const nodes = fleet.addMany(60);
  for (const node of nodes.slice(0, 30)) markDead(node, nodes.slice(30));
  await fleet.clock.advance(5_000);
  expect(nodes.filter(({ service }) => service.isReader()).length)
    .toBeGreaterThan(8);
  expect(await timeToAll(fleet, await commit(fleet))).toBeLessThan(TARGET_MS);
  await fleet.close();
});

// Guards against store calls that grow with the fleet. Eight readers call once
// per 2 s, and all others eight times per second, with three standard deviations
// of a count over 30 s.
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

// Guards against a node that starts from a peer that was cut off.
test("a node that restarts in an outage does not stay at a stale peer", async () => {
  for (const seed of [10, 11, 12, 13, 14]) {
    const fleet = new FakeFleet({ seed });
    const nodes = fleet.addMany(8);
    await fleet.clock.advance(5_000);
    await commit(fleet);
    await fleet.clock.advance(TARGET_MS);
    const stale = nodes[0]!.member.nodeId;
    fleet.isReachable = (from, to) => from !== stale && to !== stale;
    await fleet.clock.until(nodes[0]!.service.close());
    const version = await commit(fleet);
    await fleet.clock.advance(TARGET_MS);
    fleet.store.setFaults({ outage: "refuse" });
    fleet.isReachable = () => true;
    const { replica } = fleet.add("restarted");
    while (!replica.isReady()) await fleet.clock.advance(50);
    expect(replica.versionInForce(NAME)).toBe(version);
    await fleet.close();
  }
});

// Guards against nodes that act without a configuration.
test("nodes that all start in an outage wait for the store", async () => {
  const fleet = new FakeFleet({ seed: 15 });
  const nodes = fleet.addMany(20);
  const version = await commit(fleet);
  const ready = () => nodes.filter(({ replica }) => replica.isReady()).length;
  fleet.store.setFaults({ outage: "refuse" });
  const late = fleet.add("late");
  await fleet.clock.advance(1_000);
  expect(ready()).toBe(20);
  fleet.isReachable = () => false;
  await fleet.clock.advance(20_000);
  expect(late.replica.isReady()).toBe(true);
  const alone = fleet.add("alone");
  await fleet.clock.advance(20_000);
  expect(alone.replica.isReady()).toBe(false);
  fleet.store.setFaults({ outage: "none" });
  await fleet.clock.advance(2_000);
  expect(alone.replica.isReady()).toBe(true);
  expect(alone.replica.versionInForce(NAME)).toBe(version);
  await fleet.close();
});

// Guards against a node that never gets an older version that it lacks.
// A node holds itself for complete when it agreed with another that lacked the
// version too.
test.each([false, true])("an older version, complete %s", async (complete) => {
  const fleet = new FakeFleet({ seed: 16 });
  fleet.addMany(20);
  await fleet.clock.advance(5_000);
  const [cut] = [...fleet.nodes.values()].filter(({ service }) =>
    !service.isReader()
  );
  const { nodeId } = cut!.member;
  fleet.isReachable = (from, to) => from !== nodeId && to !== nodeId;
  const missed = await commit(fleet, "policy/missed");
  await fleet.clock.advance(3_000);
  cut!.replica.acceptAll([{
    name: NAME,
    version: missed + 1,
    content: "{}",
    deleted: false,
    changeId: "other",
  }]);
  if (complete) cut!.replica.markComplete(missed + 1);
  expect(await commit(fleet)).toBe(missed + 1);
  fleet.isReachable = () => true;
  expect(await timeToAll(fleet, missed, "policy/missed"))
    .toBeLessThan(TARGET_MS);
  await fleet.close();
});

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
  const report = await fleet.clock.until(counting);
  expect(report.unanswered).toBe(1);
  // The later version may have spread from the node that took it.
  const { nodesByVersion } = report;
  const later = nodesByVersion.get(version + 1) ?? 0;
  expect(later).toBeGreaterThan(0);
  expect(nodesByVersion.get(version) ?? 0).toBe(119 - later);
  await fleet.close();
});
