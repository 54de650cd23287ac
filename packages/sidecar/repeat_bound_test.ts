import { afterEach, beforeEach, expect, test } from "vitest";
import { RepeatLedger } from "./_repeat_ledger.ts";
import { TEST_REPEAT_LIMIT, TestFleet, type TestHost } from "./_test_fleet.ts";

/** Services from the first to the deepest, with the calls of a run below. */
const CHAIN = [
  { service: "menus", calls: 1 },
  { service: "uploads", calls: 1 },
  { service: "members", calls: 4 },
] as const;

const HOSTS_PER_SERVICE = 2;

/** Requests that callers have in flight at the same time. */
const CALLERS = 6;

let fleet: TestFleet;
let ledger: RepeatLedger;
/** Service whose workers lose the answer of the first run of a request. */
let losing: string | undefined;

beforeEach(() => {
  fleet = new TestFleet();
  ledger = new RepeatLedger();
  losing = undefined;
});
afterEach(() => fleet.close());

function below(service: string) {
  const index = CHAIN.findIndex((entry) => entry.service === service);
  return CHAIN[index + 1];
}

async function run(host: TestHost, requestId: string): Promise<boolean> {
  const { service } = host;
  const isRepeat = ledger.arrive(service, requestId);
  const next = below(service);
  for (let count = 0; next !== undefined && count < next.calls; count++) {
    const id = ledger.callOf(requestId, isRepeat);
    await fleet.call(host, `/${next.service}/`, { id }).catch(() => undefined);
  }
  return isRepeat || losing !== service;
}

async function started(): Promise<readonly TestHost[]> {
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
  await expect.poll(() => fleet.store.entries.size).toBe(size);
  await Promise.all(
    hosts.map((host) =>
      Promise.all(
        CHAIN.map(({ service }) =>
          expect.poll(async () =>
            (await fleet.call(host, `/${service}/warm`)).status
          ).toBe(200)
        ),
      )
    ),
  );
  return hosts;
}

async function callMenus(host: TestHost, requests: number): Promise<void> {
  let left = requests;
  await Promise.all(Array.from({ length: CALLERS }, async () => {
    while (left-- > 0) await fleet.call(host, "/menus/").catch(() => undefined);
  }));
}

function expectBound(): void {
  const excesses = CHAIN.map(({ service }) =>
    ledger.worstExcess(service, TEST_REPEAT_LIMIT)
  );
  expect(excesses).toEqual(CHAIN.map(() => undefined));
}

// Guards against calls of repeated runs that are counted and never bounded.
test("repeats of one level after another stay within the bound below", async () => {
  const [host] = await started();
  await callMenus(host!, 150);
  for (const { service } of CHAIN.toReversed()) {
    losing = service;
    await callMenus(host!, 100);
  }
  expect(ledger.repeatsOf("members")).toBeGreaterThan(20);
  expectBound();
});

// Guards against lives of a node that each use their part of the base repeats
// anew.
test("a node that has just started uses none of the base repeats", async () => {
  const [host] = await started();
  losing = "members";
  await Promise.all(
    Array.from({ length: 4 }, () => fleet.call(host!, "/members/")),
  );
  expect(ledger.repeatsOf("members")).toBe(0);
});
