import { afterEach, beforeEach, expect, test } from "vitest";
import { RepeatTracker } from "./_repeat_tracker.ts";
import {
  START_TIMEOUT_MS,
  TEST_REPEAT_LIMIT,
  TestFleet,
  type TestHost,
} from "./_test_fleet.ts";

/**
 * Services from the first to the deepest, with the number of calls that each
 * execution of the service before makes to it.
 */
const CHAIN = [
  { service: "menus", calls: 1 },
  { service: "uploads", calls: 1 },
  { service: "members", calls: 4 },
] as const;

const HOSTS_PER_SERVICE = 2;

/** Interval of the heartbeats of all workers, in milliseconds. */
const HEARTBEAT_MS = 500;

/** Number of requests in flight at the same time. */
const CONCURRENT_REQUESTS = 6;

let fleet: TestFleet;
let tracker: RepeatTracker;
/** Service whose workers lose the answer to the first attempt of a request. */
let answerLossService: string | undefined;
let heartbeats: NodeJS.Timeout;

beforeEach(() => {
  fleet = new TestFleet();
  tracker = new RepeatTracker();
  answerLossService = undefined;
  // Without heartbeats, workers that lose all answers count as crashed after 3 s,
  // which a slow machine needs for a phase of the test.
  heartbeats = setInterval(
    () => fleet.hosts.forEach((host) => void fleet.sendHeartbeat(host)),
    HEARTBEAT_MS,
  );
});
afterEach(async () => {
  clearInterval(heartbeats);
  await fleet.close();
});

function nextService(service: string) {
  const index = CHAIN.findIndex((entry) => entry.service === service);
  return CHAIN[index + 1];
}

async function run(host: TestHost, requestId: string): Promise<boolean> {
  const { service } = host;
  const isRepeat = tracker.recordArrival(service, requestId);
  const next = nextService(service);
  for (let count = 0; next !== undefined && count < next.calls; count++) {
    const id = tracker.newCallId(requestId, isRepeat);
    await fleet.call(host, `/${next.service}/`, { id }).catch(() => undefined);
  }
  return isRepeat || answerLossService !== service;
}

async function startFleet(): Promise<readonly TestHost[]> {
  fleet.configure(
    1,
    CHAIN.map(({ service }) => ({
      name: service,
      shares: [{ service, weight: 1 }],
    })),
  );
  const hosts: TestHost[] = [];
  for (const { service } of CHAIN) {
    for (let count = 0; count < HOSTS_PER_SERVICE; count++) {
      const host = await fleet.add(`${service}-${count}`, service);
      host.worker.run = (requestId) => run(host, requestId);
      hosts.push(host);
    }
  }
  const { size } = fleet.hosts;
  await expect.poll(() => fleet.store.entries.size, {
    timeout: START_TIMEOUT_MS,
  }).toBe(size);
  await Promise.all(
    hosts.map((host) =>
      Promise.all(
        CHAIN.map(({ service }) =>
          expect.poll(
            async () => (await fleet.call(host, `/${service}/warm`)).status,
            { timeout: START_TIMEOUT_MS },
          ).toBe(200)
        ),
      )
    ),
  );
  return hosts;
}

async function callMenus(host: TestHost, requests: number): Promise<void> {
  let left = requests;
  await Promise.all(Array.from({ length: CONCURRENT_REQUESTS }, async () => {
    while (left-- > 0) await fleet.call(host, "/menus/").catch(() => undefined);
  }));
}

function expectWithinLimit(): void {
  const violations = CHAIN.map(({ service }) =>
    tracker.worstViolation(service, TEST_REPEAT_LIMIT)
  );
  expect(violations).toEqual(CHAIN.map(() => undefined));
}

// Guards against calls of repeated executions that are counted as repeats but
// not limited, so that they exceed the limit of the deeper services.
test("repeats of each service in a chain stay within the limit of the deeper ones", async () => {
  const [host] = await startFleet();
  await callMenus(host!, 150);
  for (const { service } of CHAIN.toReversed()) {
    answerLossService = service;
    await callMenus(host!, 100);
  }
  expect(tracker.repeatsOf("members")).toBeGreaterThan(20);
  expectWithinLimit();
});

// Guards against a node that uses its part of the base repeats again after each
// restart.
test("a node that has just started uses none of the base repeats", async () => {
  // The requests of the start must not pay for repeats.
  await fleet.close();
  fleet = new TestFleet({
    repeatLimit: { ...TEST_REPEAT_LIMIT, ratio: 0 },
  });
  const [host] = await startFleet();
  answerLossService = "members";
  await Promise.all(
    Array.from({ length: 4 }, () => fleet.call(host!, "/members/")),
  );
  expect(tracker.repeatsOf("members")).toBe(0);
});
