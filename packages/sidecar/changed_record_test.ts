import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { START_TIMEOUT_MS, TestFleet, type TestHost } from "./_test_fleet.ts";

/** Time for which the worker runs a call, in milliseconds. */
const HOLD_MS = 1_500;

/** Time within which the caller's node has a new record, in milliseconds. */
const RECORD_DELAY_MS = 700;

/** Calls in progress at the moment of the change. */
const CALLS = 5;

let fleet: TestFleet;
let caller: TestHost;
let called: TestHost;
beforeEach(async () => {
  fleet = new TestFleet();
  fleet.configure(1, [{
    shares: [{ service: "members", weight: 1 }],
    isIdempotent: false,
    timeoutMs: 3_000,
  }]);
  caller = await fleet.add("caller", "menus");
  called = await fleet.add("called", "members", { slots: 40 });
  await expect.poll(() => book(), { timeout: START_TIMEOUT_MS }).toBe(200);
  called.worker.ran.length = 0;
  called.worker.holdMs = HOLD_MS;
});
afterEach(() => fleet.close());

async function book(): Promise<number> {
  const answer = await fleet.call(caller, "/members/1", {
    body: "x",
    timeLeftMs: 3_000,
  });
  return answer.status;
}

/** Begins calls; resolves when all of them run, to their statuses. */
async function startCalls(): Promise<{ statuses: Promise<number[]> }> {
  const statuses = Promise.all(Array.from({ length: CALLS }, () => book()));
  await expect.poll(() => called.worker.ran.length).toBe(CALLS);
  return { statuses };
}

// Guards against calls that are lost although their host runs on, because its
// record has another address or service (incident LOST).
test.each([{ address: "127.0.0.1:1" }, { service: "menus" }])(
  "calls in progress outlive a record with %j",
  async (change) => {
    const { statuses } = await startCalls();
    const { record } = fleet.store.entries.get("called")!;
    fleet.store.entries.set("called", {
      record: { ...record!, ...change },
      revision: fleet.store.commitChange(),
    });
    await sleep(RECORD_DELAY_MS);
    expect(await book()).not.toBe(200);
    expect(await statuses).toEqual(Array(CALLS).fill(200));
    expect(called.worker.ran.length).toBe(CALLS);
  },
);

// Guards against a host that publishes an address on which it doesn't listen, or
// no longer hears its worker, after SIGHUP (incident LOST).
test("names and addresses stay those of the start when settings change", async () => {
  const settings = fleet.settingsOf(called);
  const { host, port } = settings.linkAddress;
  const before = fleet.store.entries.get("called")!.record!;
  called.node.applySettings({
    ...settings,
    node: "renamed",
    service: "menus",
    dataCentre: "wa-b",
    workerAddress: "127.0.0.1:1",
    linkAddress: { host, port: port + 1 },
  });
  const { statuses } = await startCalls();
  // A record is written when the slots change.
  Object.assign(called, { slots: 50 });
  expect(await fleet.sendHeartbeat(called)).toBe(true);
  await expect.poll(() => fleet.store.entries.get("called")?.record)
    .toEqual({ ...before, slots: 50 });
  expect(await statuses).toEqual(Array(CALLS).fill(200));
  expect(await book()).toBe(200);
});
