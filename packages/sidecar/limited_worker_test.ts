import { afterEach, beforeEach, expect, test } from "vitest";
import { START_TIMEOUT_MS, TestFleet, type TestHost } from "./_test_fleet.ts";

/** Requests a second that the worker in need takes. */
const LIMIT = 5;

/** Window in which a worker may get its limit, in milliseconds. */
const WINDOW_MS = 4_000;

/** Most requests that the worker may get in a window. */
const ALLOWED = 1.5 * LIMIT * WINDOW_MS / 1_000 + 5;

/** Interval between two requests of one caller, in milliseconds. */
const INTERVAL_MS = 25;

let fleet: TestFleet;
let callers: readonly TestHost[];
let limited: TestHost;
/** Times at which requests of callers on other hosts reached the worker. */
let arrivals: number[];
beforeEach(async () => {
  arrivals = [];
  fleet = new TestFleet();
  fleet.configure(1, [{
    shares: [{ service: "members", weight: 1 }],
    timeoutMs: 2_000,
  }]);
  callers = [
    await fleet.add("caller-1", "menus"),
    await fleet.add("caller-2", "menus"),
  ];
  limited = await fleet.add("limited", "members", { slots: 100 });
  limited.worker.run = async () => {
    arrivals.push(performance.now());
    await new Promise((resolve) => setTimeout(resolve, 800));
    return true;
  };
  for (const caller of callers) {
    await expect.poll(
      async () => (await fleet.call(caller, "/members/warm")).status,
      { timeout: START_TIMEOUT_MS },
    ).toBe(200);
  }
});
afterEach(() => fleet.close());

/** Sends requests from all callers for a time. */
async function load(durationMs: number): Promise<void> {
  const endsAt = performance.now() + durationMs;
  while (performance.now() < endsAt) {
    callers.forEach((caller) =>
      // Requests may fail while the node beside the worker restarts.
      void fleet.call(caller, "/members/1").catch(() => undefined)
    );
    await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
  }
}

function mostInWindow(): number {
  return Math.max(
    0,
    ...arrivals.map((start) =>
      arrivals.filter((time) => time >= start && time < start + WINDOW_MS)
        .length
    ),
  );
}

// Guards against a node that forgets, when it is restarted, the limit which the
// callers' nodes have passed on.
test("a limit holds when the node beside the worker is restarted", async () => {
  limited.worker.requestsPerSecond = String(LIMIT);
  await load(1_500);
  arrivals.length = 0;
  await load(1_000);
  await fleet.kill(limited);
  await fleet.restart(limited);
  await load(4_000);
  expect(mostInWindow()).toBeLessThanOrEqual(ALLOWED);
  expect(mostInWindow()).toBeGreaterThan(LIMIT);
});

test("callers forget a limit that has ended", async () => {
  limited.worker.requestsPerSecond = String(LIMIT);
  await load(2_000);
  limited.worker.requestsPerSecond = undefined;
  await load(2_000);
  await fleet.kill(limited);
  await fleet.restart(limited);
  arrivals.length = 0;
  await load(3_000);
  expect(arrivals.length).toBeGreaterThan(ALLOWED);
});
