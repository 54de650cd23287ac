import { MemberState, WorkerState } from "@oleanderdeck/protocol";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { advance, TestFleet, useVirtualTime, worker } from "./_test_fleet.ts";

const FAILURE_KNOWN_MS = 10_000;
const LEAVE_KNOWN_MS = 3000;

beforeEach(() => useVirtualTime());
afterEach(() => void vi.useRealTimers());

// Guards against members that stay unknown after a start of all nodes at once.
test("all nodes started at once find each other", async () => {
  const fleet = new TestFleet(1);
  await fleet.startAll(40);
  expect(fleet.isComplete(fleet.nodes)).toBe(true);
  expect(fleet.nodes[39]!.servingMembers("menus")).toHaveLength(40);
  await fleet.close();
});

// Guards against new work for a worker that drains, and for a node that fails.
test("a drain and a failure are known in time", async () => {
  const fleet = new TestFleet(2);
  await fleet.startAll(40);
  await advance(10_000);
  fleet.nodes[20]!.setWorker(worker(20, WorkerState.DRAINING));
  const drainMs = await fleet.until(LEAVE_KNOWN_MS, () =>
    fleet.allKnow(
      "node-20",
      (member) => member.worker?.state === WorkerState.DRAINING,
    ));
  expect(drainMs).toBeLessThan(LEAVE_KNOWN_MS);
  await fleet.nodes[30]!.close();
  const [dead] = fleet.nodes.splice(30, 1);
  const failureMs = await fleet.until(FAILURE_KNOWN_MS, () =>
    fleet.allKnow(
      dead!.self().nodeId,
      (member) => member.state === MemberState.DEAD,
    ));
  expect(failureMs).toBeLessThan(FAILURE_KNOWN_MS);
  await fleet.close();
});
