import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  GRACE_MS,
  START_TIMEOUT_MS,
  TestFleet,
  type TestHost,
} from "./_test_fleet.ts";

/** Time after a restart for which a recorded worker may be used, at most. */
const SETTLED_MS = 3_000;

/** Time from the begin of a stop on for which the store is silent. */
const STORE_SILENT_MS = 1_500;

let fleet: TestFleet;
let caller: TestHost;
let leaving: TestHost;
beforeEach(async () => {
  fleet = new TestFleet();
  fleet.configure(1, [{ shares: [{ service: "members", weight: 1 }] }]);
  caller = await fleet.add("caller", "menus");
  leaving = await fleet.add("leaving", "members");
  await expect.poll(() => status("warm"), { timeout: START_TIMEOUT_MS })
    .toBe(200);
});
afterEach(() => fleet.close());

async function status(id: string): Promise<number> {
  return (await fleet.call(caller, `/members/${id}`)).status;
}

/** Ends all nodes at once and starts them again. */
async function restartAll(): Promise<void> {
  await Promise.all([caller, leaving].map((host) => fleet.kill(host)));
  await Promise.all([caller, leaving].map((host) => fleet.restart(host)));
}

/** Sends calls until the nodes have settled, and then some that must not run. */
async function expectNoneRunAfter(milliseconds: number): Promise<void> {
  const until = performance.now() + milliseconds;
  // Answers of a worker that leaves must not keep it in use.
  while (performance.now() < until) await status("early");
  leaving.worker.ran.length = 0;
  for (let count = 0; count < 10; count++) {
    expect(await status(`late-${count}`)).toBe(503);
  }
  expect(leaving.worker.ran).toEqual([]);
}

// Guards against a worker that left while the store was silent and that new
// processes of all nodes found in its old record (DRAIN).
test(
  "a worker that left during an outage is not used after a restart of all nodes",
  async () => {
    fleet.store.unreachableNodes.add("all");
    await leaving.node.handleDeregistration(
      `${leaving.name}-worker`,
      leaving.startedAt,
    );
    await restartAll();
    fleet.store.unreachableNodes.delete("all");
    await expectNoneRunAfter(SETTLED_MS);
  },
  20_000,
);

// Guards against a leaving that is acknowledged while the store is silent, and
// forgotten by a stop that ends before it is written (LOST, DRAIN).
test.each(["before", "in"])(
  "a worker that left %s a stop is not used after it, with a slow store",
  async (time) => {
    fleet.store.unreachableNodes.add(leaving.name);
    const leave = () =>
      leaving.node.handleDeregistration(
        `${leaving.name}-worker`,
        leaving.startedAt,
      );
    if (time === "before") await leave();
    const stopped = leaving.node.stop();
    if (time === "in") await leave();
    await sleep(STORE_SILENT_MS);
    fleet.store.unreachableNodes.delete(leaving.name);
    await stopped;
    expect(fleet.store.entries.get(leaving.name)).toMatchObject({
      record: undefined,
      departure: { workerId: `${leaving.name}-worker` },
    });
    await fleet.restart(leaving);
    await expectNoneRunAfter(SETTLED_MS);
  },
  20_000,
);

test("a stop ends in its time if the store stays silent", async () => {
  fleet.store.unreachableNodes.add(leaving.name);
  await leaving.node.handleDeregistration(
    `${leaving.name}-worker`,
    leaving.startedAt,
  );
  const startedAt = performance.now();
  await leaving.node.stop();
  expect(performance.now() - startedAt).toBeLessThan(GRACE_MS);
  expect(fleet.lines.find((line) => line.includes("event=node_stopped")))
    .toContain("given_up_departure=true");
});

// Guards against a late heartbeat of a worker that has left, which new processes
// of all nodes took for its first one (DRAIN).
test(
  "a worker that left is not used after a restart and a late heartbeat",
  async () => {
    const late = ++leaving.sequence;
    await leaving.node.handleDeregistration(
      `${leaving.name}-worker`,
      leaving.startedAt,
    );
    await restartAll();
    await expect.poll(() => leaving.node.isReady).toBe(true);
    leaving.sequence = late - 1;
    await fleet.sendHeartbeat(leaving);
    await expectNoneRunAfter(SETTLED_MS);
  },
  20_000,
);

// Guards against the same where the store has not learnt of the leaving: a single
// heartbeat to a new process may be late (DRAIN).
test(
  "a worker that left during an outage is not used after a late heartbeat",
  async () => {
    const late = ++leaving.sequence;
    fleet.store.unreachableNodes.add("all");
    const worker = `${leaving.name}-worker`;
    await leaving.node.handleDeregistration(worker, leaving.startedAt);
    await restartAll();
    fleet.store.unreachableNodes.delete("all");
    leaving.sequence = late - 1;
    await fleet.sendHeartbeat(leaving);
    await expectNoneRunAfter(SETTLED_MS);
  },
  20_000,
);

// Guards against the cost of a restart: the record bridges the time until the
// worker is heard.
test(
  "a worker is in use while it is heard after a restart of its node",
  async () => {
    await fleet.kill(leaving);
    await fleet.restart(leaving);
    await expect.poll(() => status("assumed")).toBe(200);
    await fleet.sendHeartbeats(leaving);
    const until = performance.now() + SETTLED_MS;
    while (performance.now() < until) {
      expect(await status("heard")).toBe(200);
    }
  },
  20_000,
);

// Guards against a host that boots, with its worker just before its node, and gets
// no calls until a second heartbeat.
test("a worker that starts together with its node is used at once", async () => {
  await fleet.kill(leaving);
  leaving.startedAt = Date.now() - 500;
  await fleet.restart(leaving);
  await leaving.node.handleHeartbeat({
    workerId: "next-worker",
    service: "members",
    address: leaving.worker.address,
    slots: 4,
    state: "ready",
    sequence: 1,
    startedAt: leaving.startedAt,
  });
  await expect.poll(() => status("first")).toBe(200);
});

// Guards against a departure that a killed process had sent to the store and that
// takes effect after the next process has read the record.
test(
  "a departure that reaches the store late takes the worker out",
  async () => {
    await restartAll();
    await fleet.sendHeartbeat(leaving);
    await expect.poll(() => status("again")).toBe(200);
    const { store } = fleet;
    store.entries.set(leaving.name, {
      record: undefined,
      departure: {
        workerId: `${leaving.name}-worker`,
        startedAt: 1,
        leftAt: 2,
      },
      revision: store.revision + 1,
    });
    store.commitChange();
    await expect.poll(() => status("after")).toBe(503);
    await fleet.sendHeartbeat(leaving);
    await expectNoneRunAfter(0);
  },
  20_000,
);

test("the next worker of the host replaces the departure", async () => {
  await leaving.node.handleDeregistration(
    `${leaving.name}-worker`,
    leaving.startedAt,
  );
  const { recordReaders } = fleet.store;
  const { length } = recordReaders;
  await leaving.node.handleHeartbeat({
    workerId: "next-worker",
    service: "members",
    address: leaving.worker.address,
    slots: 4,
    state: "ready",
    sequence: 1,
    startedAt: Date.now(),
  });
  await expect.poll(() => fleet.store.entries.get(leaving.name)?.record)
    .toMatchObject({ workerId: "next-worker" });
  expect(fleet.store.entries.get(leaving.name)!.departure).toBeUndefined();
  expect(recordReaders).toHaveLength(length);
  await expect.poll(() => status("again")).toBe(200);
});
