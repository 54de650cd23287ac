import { MemberState, WorkerState } from "@oleanderdeck/protocol";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  addressOf,
  advance,
  BUDGET_BYTES_PER_SECOND,
  indexOf,
  MAX_FAILURE_DETECTION_MS,
  MAX_PROPAGATION_MS,
  TestFleet,
  useVirtualTime,
  worker,
} from "./_test_fleet.ts";

const hasLeft = ({ state }: { readonly state: MemberState }) =>
  state === MemberState.LEFT;

beforeEach(() => useVirtualTime());
afterEach(() => void vi.useRealTimers());

/** Reported suspicions and deaths of nodes other than the given ones. */
function failureReportsOfOthers(fleet: TestFleet, nodeIds: readonly string[]) {
  return fleet.failureReports.filter(({ nodeId }) => !nodeIds.includes(nodeId));
}

// Guards against new calls to a draining worker or a failed node because the
// change reaches some members too late.
test("200 nodes learn of a drain and a failure in time", async () => {
  const fleet = new TestFleet(2);
  await fleet.startAll(200);
  fleet.nodes[40]!.setWorker(worker(40, WorkerState.DRAINING));
  const drainMs = await fleet.until(
    MAX_PROPAGATION_MS,
    () =>
      fleet.live().every((node) =>
        node.servingMembers("menus").every(({ nodeId }) => nodeId !== "node-40")
      ),
  );
  expect(drainMs).toBeLessThan(MAX_PROPAGATION_MS);
  const { nodeId } = (await fleet.kill(50)).self();
  expect(await fleet.untilDead([nodeId])).toBeLessThan(
    MAX_FAILURE_DETECTION_MS,
  );
  expect(failureReportsOfOthers(fleet, [nodeId])).toEqual([]);
  await fleet.close();
});

// Guards against a leave that is detected only as a failure, and against one that is
// never detected because its announcement is lost.
test("a leave is known in time, even if its announcement is lost", async () => {
  const fleet = new TestFleet(3);
  await fleet.startAll(40);
  const leave = fleet.nodes[20]!.leave();
  expect(
    await fleet.until(
      MAX_PROPAGATION_MS,
      () => fleet.allKnow("node-20", hasLeft),
    ),
  )
    .toBeLessThan(MAX_PROPAGATION_MS);
  await advance(1000);
  await leave;
  await fleet.kill(20);
  fleet.network.setReachability((from) => from !== addressOf(30));
  const lost = fleet.nodes[30]!.leave();
  await advance(1500);
  await lost;
  await fleet.kill(30);
  expect(await fleet.untilDead(["node-30"])).toBeLessThan(
    MAX_FAILURE_DETECTION_MS,
  );
  await advance(30_000);
  expect(fleet.allKnow("node-20", hasLeft)).toBe(true);
  await fleet.close();
});

// Guards against a node that declares its peers dead after a pause, because its
// timers expire before the datagrams that arrived in the meantime are read.
test("a paused node refutes its death and suspects nobody", async () => {
  const fleet = new TestFleet(4);
  await fleet.startAll(40);
  fleet.pause(10);
  expect(await fleet.untilDead(["node-10"])).toBeLessThan(
    MAX_FAILURE_DETECTION_MS,
  );
  await advance(20_000);
  await fleet.resume(10);
  expect(await fleet.until(30_000, () => fleet.isComplete()))
    .toBeLessThan(30_000);
  expect(fleet.nodes[10]!.counters().refutations).toBeGreaterThan(0);
  expect(failureReportsOfOthers(fleet, ["node-10"])).toEqual([]);
  await fleet.close();
});

// Guards against a slow node that is declared dead because it misses a timeout now
// and then.
test("a node with pauses of 2 s is not declared dead", async () => {
  const fleet = new TestFleet(5);
  await fleet.startAll(40);
  for (let pause = 0; pause < 10; pause++) {
    fleet.pause(10);
    await advance(2000);
    await fleet.resume(10);
    await advance(3000);
  }
  const deaths = fleet.failureReports
    .filter(({ state }) => state === MemberState.DEAD);
  expect(deaths).toEqual([]);
  expect(failureReportsOfOthers(fleet, ["node-10"])).toEqual([]);
  await fleet.close();
});

// Guards against a dead node that stays alive for its peers, because a new process
// at its address answers the probes.
test("the death of a node replaced at its address is detected", async () => {
  const fleet = new TestFleet(6);
  await fleet.startAll(40);
  await fleet.kill(10);
  await fleet.start(10, "replacement");
  expect(await fleet.untilDead(["node-10"])).toBeLessThan(
    MAX_FAILURE_DETECTION_MS,
  );
  await fleet.kill(11);
  await fleet.start(11);
  expect(await fleet.until(MAX_FAILURE_DETECTION_MS, () => fleet.isComplete()))
    .toBeLessThan(MAX_FAILURE_DETECTION_MS);
  expect(failureReportsOfOthers(fleet, ["node-10", "node-11"])).toEqual([]);
  await fleet.close();
});

// Guards against a failed link between two nodes that is taken for a failed node.
test("a link cut in one direction causes no suspicion", async () => {
  const fleet = new TestFleet(7);
  await fleet.startAll(40);
  fleet.network.setReachability((from, to) =>
    from !== addressOf(5) || to !== addressOf(6)
  );
  await advance(60_000);
  expect(fleet.failureReports).toEqual([]);
  await fleet.close();
});

// Guards against a node that can send but not receive, suspects all others for this
// reason, and has them declared dead.
test("a node that receives nothing is the only one declared dead", async () => {
  const fleet = new TestFleet(8);
  await fleet.startAll(40);
  fleet.network.setReachability((_, to) => to !== addressOf(5));
  expect(await fleet.untilDead(["node-5"])).toBeLessThan(
    MAX_FAILURE_DETECTION_MS,
  );
  await advance(60_000);
  const deaths = failureReportsOfOthers(fleet, ["node-5"])
    .filter(({ observer, state }) =>
      observer !== "node-5" && state === MemberState.DEAD
    );
  expect(deaths).toEqual([]);
  fleet.network.setReachability(() => true);
  expect(await fleet.until(60_000, () => fleet.isComplete()))
    .toBeLessThan(60_000);
  await fleet.close();
});

// Guards against false deaths and lost updates when datagrams are lost.
test.each([0.05, 0.2])("works at a loss rate of %d", async (lossRate) => {
  const fleet = new TestFleet(9, { jitterMs: 50, duplicationRate: 0.1 });
  await fleet.startAll(60);
  fleet.network.setLink({ lossRate });
  await advance(60_000);
  const deaths = fleet.failureReports
    .filter(({ state }) => state === MemberState.DEAD);
  expect(deaths).toEqual([]);
  fleet.nodes[40]!.setWorker(worker(40, WorkerState.DRAINING));
  const drainMs = await fleet.until(MAX_PROPAGATION_MS, () =>
    fleet.allKnow(
      "node-40",
      (member) => member.worker?.state === WorkerState.DRAINING,
    ));
  expect(drainMs).toBeLessThan(MAX_PROPAGATION_MS);
  await fleet.kill(50);
  expect(await fleet.untilDead(["node-50"])).toBeLessThan(
    MAX_FAILURE_DETECTION_MS,
  );
  await fleet.close();
});

// Guards against parts of a fleet that stay separate after a partition, and against
// a recovery that exceeds the control budget of a node.
test("halves merge within the budget after an hour of partition", async () => {
  const fleet = new TestFleet(10);
  await fleet.startAll(30);
  fleet.network.setReachability((from, to) =>
    indexOf(from) % 2 === indexOf(to) % 2
  );
  await advance(3_600_000, 50);
  const halves = [0, 1].map((half) =>
    fleet.live().filter((_, index) => index % 2 === half)
  );
  expect(halves.every((half) => fleet.isComplete(half))).toBe(true);
  expect(fleet.nodes[0]!.find("node-1")?.state).toBe(MemberState.DEAD);
  fleet.network.setReachability(() => true);
  const before = fleet.traffic();
  const healMs = await fleet.until(120_000, () => fleet.isComplete());
  expect(healMs).toBeLessThan(120_000);
  await advance(Math.max(0, 60_000 - healMs));
  const seconds = Math.max(60_000, healMs) / 1000;
  fleet.traffic().forEach((bytes, index) =>
    expect((bytes - before[index]!) / seconds)
      .toBeLessThan(BUDGET_BYTES_PER_SECOND)
  );
  await fleet.close();
});

// Guards against seeds that are overloaded when all nodes start at once.
test("200 nodes that restart at once join within the budget", async () => {
  const fleet = new TestFleet(11);
  await fleet.startAll(200);
  await Promise.all(fleet.live().map((_, index) => fleet.kill(index)));
  await Promise.all(
    Array.from({ length: 200 }, (_, index) => fleet.start(index)),
  );
  const joinMs = await fleet.until(60_000, () => fleet.isComplete());
  expect(joinMs).toBeLessThan(60_000);
  await advance(60_000 - joinMs);
  fleet.traffic().forEach((bytes) =>
    expect(bytes / 60).toBeLessThan(BUDGET_BYTES_PER_SECOND)
  );
  await fleet.close();
});

// Guards against failure detection that slows down when many nodes fail together.
test.each([["rack", 10, 12], ["data centre", 4, 12], ["data centre", 4, 25]])(
  "the loss of a %s is known in time (1 of %d, seed %d)",
  async (_, divisor, seed) => {
    const fleet = new TestFleet(seed);
    await fleet.startAll(100);
    const lost = fleet.live().map((_, index) => index)
      .filter((index) => index % divisor === 3);
    await Promise.all(lost.map((index) => fleet.kill(index)));
    const nodeIds = lost.map((index) => `node-${index}`);
    expect(await fleet.untilDead(nodeIds)).toBeLessThan(
      MAX_FAILURE_DETECTION_MS,
    );
    expect(failureReportsOfOthers(fleet, nodeIds)).toEqual([]);
    await fleet.close();
  },
);

// Guards against records of replaced nodes that accumulate in memory.
test("the record of a dead node is removed after 24 h", async () => {
  const fleet = new TestFleet(13);
  await fleet.startAll(2);
  await fleet.kill(1);
  await fleet.until(60_000, () => fleet.nodes[0]!.counters().liveMembers === 1);
  const almostDayMs = 86_400_000 - 120_000;
  await advance(almostDayMs, 1000);
  expect(fleet.nodes[0]!.find("node-1")?.state).toBe(MemberState.DEAD);
  await advance(180_000, 1000);
  expect(fleet.nodes[0]!.find("node-1")).toBeUndefined();
  await fleet.close();
});
