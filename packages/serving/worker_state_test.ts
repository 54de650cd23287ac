import { expect, test } from "vitest";
import { type WorkerStatement, WorkerTracker } from "./mod.ts";

function statement(change: Partial<WorkerStatement> = {}): WorkerStatement {
  return {
    workerId: "i-1",
    service: "menus",
    address: "10.0.0.1:80",
    slots: 4,
    state: "ready",
    sequence: 1,
    startedAt: 1_000,
    ...change,
  };
}

test("a draining worker takes no calls", () => {
  const tracker = new WorkerTracker();
  tracker.take(statement());
  expect(tracker.state.isReady).toBe(true);
  tracker.take(statement({ state: "draining", sequence: 2 }));
  expect(tracker.state.isReady).toBe(false);
});

// Guards against a late heartbeat that puts a draining worker back.
test("a statement with an earlier sequence is ignored", () => {
  const tracker = new WorkerTracker();
  tracker.take(statement({ state: "draining", sequence: 5 }));
  expect(tracker.take(statement({ sequence: 4 }))).toBe(false);
  expect(tracker.state.isReady).toBe(false);
});

// Guards against a heartbeat of a crashed worker that arrives after the start
// of its successor.
test("a statement of an earlier start is ignored", () => {
  const tracker = new WorkerTracker();
  tracker.take(statement({ workerId: "i-2", startedAt: 2_000 }));
  expect(tracker.take(statement({ sequence: 99 }))).toBe(false);
  expect(tracker.state.workerId).toBe("i-2");
});

test("a worker that starts again under its identity is taken", () => {
  const tracker = new WorkerTracker();
  tracker.take(statement({ sequence: 40 }));
  tracker.leave("i-1");
  expect(tracker.take(statement({ sequence: 41 }))).toBe(false);
  expect(tracker.take(statement({ sequence: 1, startedAt: 3_000 }))).toBe(true);
  expect(tracker.state.isReady).toBe(true);
});

test("a late leave of an earlier start is ignored", () => {
  const tracker = new WorkerTracker();
  tracker.take(statement({ startedAt: 3_000 }));
  expect(tracker.leave("i-1", 1_000)).toBe(false);
  expect(tracker.state.isReady).toBe(true);
});

// Guards against calls that go on to a worker which has crashed.
test("a suspended worker is back with its next statement", () => {
  const tracker = new WorkerTracker();
  tracker.take(statement());
  tracker.suspend();
  expect(tracker.state.isReady).toBe(false);
  expect(tracker.take(statement())).toBe(false);
  expect(tracker.state.isReady).toBe(false);
  tracker.take(statement({ sequence: 2 }));
  expect(tracker.state.isReady).toBe(true);
});

test("the worker of an earlier process is assumed until it speaks", () => {
  const tracker = new WorkerTracker();
  tracker.assume("i-1", 8);
  expect(tracker.state).toEqual({ workerId: "i-1", slots: 8, isReady: true });
  tracker.take(statement({ workerId: "i-2", slots: 4 }));
  expect(tracker.state.workerId).toBe("i-2");
  tracker.assume("i-1", 8);
  expect(tracker.state.workerId).toBe("i-2");
});
