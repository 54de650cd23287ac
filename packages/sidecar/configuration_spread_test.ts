import { afterEach, beforeEach, expect, test } from "vitest";
import { TestFleet, type TestHost } from "./_test_fleet.ts";

/** Hosts of a fleet in which six of them watch the configuration. */
const HOSTS = 9;

/** Time within which a configuration has to be in force, in milliseconds. */
const IN_FORCE_MS = 2_000;

const route = { shares: [{ service: "menus", weight: 1 }] };

let fleet: TestFleet;
let hosts: readonly TestHost[];
beforeEach(async () => {
  fleet = new TestFleet();
  // Outdated reads come too late, so that nodes depend on each other.
  fleet.store.lagMs = 60_000;
  fleet.configure(1, [route]);
  hosts = await Promise.all(
    Array.from(
      { length: HOSTS },
      (_, index) => fleet.add(`host-${index}`, "menus"),
    ),
  );
  await expect.poll(() => fleet.store.entries.size).toBe(HOSTS);
  await expect.poll(() => versions(), { timeout: 5_000 }).toEqual(
    Array(HOSTS).fill(1),
  );
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  fleet.store.configurationReaders.length = 0;
});
afterEach(() => fleet.close());

function versions(among: readonly TestHost[] = hosts): readonly number[] {
  return among.map(({ node }) => node.configurationVersion);
}

async function expectInForce(
  version: number,
  among: readonly TestHost[],
): Promise<void> {
  await expect.poll(() => versions(among), {
    timeout: IN_FORCE_MS,
    interval: 20,
  })
    .toEqual(Array(among.length).fill(version));
}

/** Waits until each watcher has read the configuration; returns their names. */
async function watchers(): Promise<ReadonlySet<string>> {
  const { configurationReaders } = fleet.store;
  configurationReaders.length = 0;
  fleet.configure(2, [route]);
  await expectInForce(2, hosts);
  await new Promise((resolve) => setTimeout(resolve, 300));
  return new Set(configurationReaders);
}

test("six of nine hosts read the latest configuration and all have it", async () => {
  expect((await watchers()).size).toBe(6);
  expect(versions()).toEqual(Array(HOSTS).fill(2));
});

test("a first start reads no record of its own", () => {
  expect(fleet.store.recordReaders).toEqual([]);
});

// Guards against nodes that miss a configuration because those which watch it
// have ended.
test("a configuration reaches the others when all watchers have ended", async () => {
  const watching = await watchers();
  const ended = hosts.filter(({ name }) => watching.has(name));
  const others = hosts.filter(({ name }) => !watching.has(name));
  await Promise.all(ended.map((host) => fleet.kill(host)));
  fleet.configure(3, [route]);
  await expectInForce(3, others);
});

// Guards against watchers whose calls fail and that go on to announce an older
// configuration as the latest.
test("a configuration reaches the others when no watcher reaches the store", async () => {
  const watching = await watchers();
  watching.forEach((name) => fleet.store.unreachableNodes.add(name));
  fleet.configure(3, [route]);
  await expectInForce(3, hosts);
});

// A watch that is silent looks like one without a change until it times out.
test("five of six watchers may be cut off in silence", async () => {
  const watching = await watchers();
  [...watching].slice(1).forEach((name) => fleet.store.silentNodes.add(name));
  fleet.configure(3, [route]);
  await expectInForce(3, hosts);
});

// Guards against watchers that the store turns away in silence and that learn a
// configuration from nobody, since no other node announces it.
test("a configuration reaches watchers that are all cut off in silence", async () => {
  const watching = await watchers();
  // The others have watched with the delay of the outdated data so far.
  fleet.store.lagMs = 0;
  watching.forEach((name) => fleet.store.cutOffNodes.add(name));
  const [other] = hosts.filter(({ name }) => !watching.has(name));
  await fleet.kill(other!);
  await fleet.restart(other!);
  await expect.poll(() => other!.node.isReady).toBe(true);
  await new Promise((resolve) => setTimeout(resolve, 300));
  fleet.configure(3, [route]);
  await expectInForce(3, hosts);
});
