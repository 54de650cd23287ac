import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  array,
  assert as assertProperty,
  double,
  integer,
  property,
  record,
} from "fast-check";
import { RepeatBudget } from "@oleanderdeck/retries";
import {
  parseRequestLimit,
  rankOfRoot,
  RequestLimit,
  type WorkerConnections,
  WorkerGate,
  WorkerTracker,
} from "./mod.ts";
import { TEST_NAMES, testCall } from "./_test_worker.ts";

/** Window in which a worker may get its limit, in milliseconds. */
const WINDOW_MS = 4_000;

/** Most requests that a worker with a limit may get in a window. */
function allowed(requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * WINDOW_MS / 1_000 + 5;
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Worker that answers after a while with the limit that it names. */
class LimitedWorker {
  /** Times at which requests arrived, in milliseconds. */
  readonly arrivals: number[] = [];
  readonly arrivedIds: string[] = [];
  limit: string | undefined;
  holdMs = 40;
  readonly tracker = new WorkerTracker();
  readonly gate: WorkerGate;
  /** Lines about the limit. */
  readonly observed: string[] = [];

  constructor() {
    const send: WorkerConnections["send"] = (call, finish, onHeader) => {
      this.arrivals.push(performance.now());
      this.arrivedIds.push(call.requestId);
      setTimeout(() => {
        onHeader?.({ requestLimit: this.limit, isLeaving: false });
        finish({
          kind: "answer",
          status: 200,
          headers: [],
          body: Buffer.alloc(0),
          isRefusedBelow: false,
        });
      }, this.holdMs);
      return { cancel: () => {} };
    };
    this.start(1);
    this.gate = new WorkerGate({
      tracker: this.tracker,
      connections: { send } as WorkerConnections,
      names: TEST_NAMES,
      repeats: new RepeatBudget({
        ratio: () => 0,
        baseRepeats: () => 0,
        windowMs: 10_000,
        now: () => performance.now(),
      }),
      observer: {
        onRunning: () => {},
        onRepeatRefused: () => {},
        onLimitChanged: (_worker, limit) =>
          this.observed.push(`limit ${limit}`),
        onLeaving: () => {},
        onMalformedLimit: (_worker, text) =>
          this.observed.push(`malformed ${text}`),
      },
    });
  }

  /** Starts an incarnation of the worker. */
  start(startedAt: number): void {
    this.tracker.applyHeartbeat({
      workerId: "i-1",
      service: "menus",
      address: "10.0.0.1:1",
      slots: 50,
      state: "ready",
      sequence: 1,
      startedAt,
    });
  }

  /** Sends calls at a steady rate for some seconds; counts refused ones. */
  async load(
    perSecond: number,
    seconds: number,
    rank = rankOfRoot(0),
  ): Promise<{ refused: number }> {
    let refused = 0;
    for (let index = 0; index < perSecond * seconds; index++) {
      const requestId = `${rank}-${this.arrivals.length}-${index}`;
      this.gate.run(testCall({ requestId, rank }), ({ kind }) => {
        if (kind === "failure") refused++;
      });
      await vi.advanceTimersByTimeAsync(1_000 / perSecond);
    }
    return { refused };
  }

  /** Most requests that arrived in one window after a time. */
  mostInWindow(sinceMs = 0): number {
    const times = this.arrivals.filter((time) => time >= sinceMs);
    return Math.max(
      0,
      ...times.map((start) =>
        times.filter((time) => time >= start && time < start + WINDOW_MS).length
      ),
    );
  }
}

// Guards against workers in need that get far more requests than the limit that
// they name.
test("a worker gets no more than the limit that it names", async () => {
  const worker = new LimitedWorker();
  await worker.load(100, 2);
  worker.limit = "10.5";
  await worker.load(100, 1);
  const limitedAt = performance.now();
  const { refused } = await worker.load(100, 12);
  expect(worker.mostInWindow(limitedAt)).toBeLessThanOrEqual(allowed(10.5));
  expect(worker.mostInWindow(limitedAt)).toBeGreaterThan(10.5 * 4 * 0.9);
  expect(refused).toBeGreaterThan(1_000);
});

test("a limit holds until an answer names none", async () => {
  const worker = new LimitedWorker();
  worker.limit = "5";
  await worker.load(50, 4);
  worker.limit = undefined;
  await worker.load(50, 1);
  const endedAt = performance.now();
  await worker.load(50, 4);
  expect(worker.mostInWindow(endedAt)).toBeGreaterThan(190);
  expect(worker.observed).toEqual(["limit 5", "limit undefined"]);
});

// Only its answers tell that the limit has ended.
test("a worker that takes no requests is still asked now and then", async () => {
  const worker = new LimitedWorker();
  worker.limit = "0";
  await worker.load(50, 1);
  const limitedAt = performance.now();
  await worker.load(50, 12);
  expect(worker.mostInWindow(limitedAt)).toBeGreaterThanOrEqual(1);
  expect(worker.mostInWindow(limitedAt)).toBeLessThanOrEqual(allowed(0));
});

test("the load report names the slots that the limit leaves", async () => {
  const worker = new LimitedWorker();
  worker.limit = "50";
  await worker.load(50, 5);
  const { slots } = worker.gate.loadReport({
    pressure: 0,
    routePressures: [],
    unrepeatableRoutes: [],
  });
  // 50 calls a second of 40 ms each occupy two slots.
  expect(slots).toBeGreaterThanOrEqual(2);
  expect(slots).toBeLessThanOrEqual(4);
});

test("a limited worker gets the more important calls first", async () => {
  const worker = new LimitedWorker();
  worker.limit = "10";
  await worker.load(50, 2);
  worker.arrivedIds.length = 0;
  for (let round = 0; round < 40; round++) {
    await worker.load(20, 0.1, rankOfRoot(3));
    await worker.load(20, 0.1, rankOfRoot(0));
  }
  const count = (rank: number) =>
    worker.arrivedIds.filter((id) => id.startsWith(`${rank}-`)).length;
  expect(count(rankOfRoot(0))).toBeGreaterThan(4 * count(rankOfRoot(3)));
});

test("a new incarnation of the worker begins without a limit", async () => {
  const worker = new LimitedWorker();
  worker.limit = "5";
  await worker.load(50, 2);
  worker.limit = undefined;
  worker.start(2);
  expect(worker.observed.at(-1)).toBe("limit undefined");
});

test("a malformed limit is reported once and changes nothing", async () => {
  const worker = new LimitedWorker();
  worker.limit = "5";
  await worker.load(50, 1);
  for (const limit of ["-3", "1e999", "many", "5, 7", ""]) {
    worker.limit = limit;
    await worker.load(50, 1);
  }
  expect(worker.observed).toEqual(["limit 5", "malformed -3"]);
});

test("a limit is a decimal number without sign or exponent", () => {
  const texts = ["31.4", "0", "84", " 5", "-1", "+1", "1e3", ".5", "NaN", ""];
  expect(texts.map(parseRequestLimit)).toEqual([
    31.4,
    0,
    84,
    ...Array(7).fill(undefined),
  ]);
  expect(parseRequestLimit("9".repeat(400))).toBeUndefined();
});

test("no window of any load has more calls than the limits in it allow", () => {
  const steps = array(
    record({
      limit: double({ min: 0, max: 200, noNaN: true }),
      durationMs: integer({ min: 200, max: 6_000 }),
      pauseMs: integer({ min: 0, max: 3_000 }),
    }),
    { minLength: 1, maxLength: 6 },
  );
  assertProperty(
    property(steps, (phases) => {
      let now = 0;
      const limit = new RequestLimit(() => now);
      const calls: { at: number; perSecond: number }[] = [];
      phases.forEach(({ limit: perSecond, durationMs, pauseMs }) => {
        limit.set(perSecond);
        now += pauseMs;
        const endsAt = now + durationMs;
        for (; now < endsAt; now += 5) {
          while (limit.waitMs(0) === 0) {
            limit.countCall();
            calls.push({ at: now, perSecond });
          }
        }
      });
      return calls.every(({ at }) => {
        const window = calls.filter((call) =>
          call.at >= at && call.at < at + WINDOW_MS
        );
        const most = Math.max(...window.map(({ perSecond }) => perSecond));
        return window.length <= allowed(most);
      });
    }),
    { seed: 1205, numRuns: 200 },
  );
});
