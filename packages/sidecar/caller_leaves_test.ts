import { request } from "undici";
import { afterEach, beforeEach, expect, test } from "vitest";
import { START_TIMEOUT_MS, TestFleet, type TestHost } from "./_test_fleet.ts";

/** Number of requests, of which most find the worker of their host full. */
const REQUESTS = 60;

/** Time between two requests, in milliseconds. */
const INTERVAL_MS = 10;

/** Time after which a caller leaves, in milliseconds. */
const LEAVES_AFTER_MS = 400;

/** Time after which a call is at work no more, in milliseconds. */
const ENDS_WITHIN_MS = 500;

/** Share of the calls that may be at work then all the same. */
const MAX_SHARE_AT_WORK = 0.25;

const pause = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

let fleet: TestFleet;
let caller: TestHost;
let other: TestHost;
beforeEach(async () => {
  fleet = new TestFleet();
  fleet.configure(1, [{
    name: "menus",
    shares: [{ service: "menus", weight: 1 }],
    timeoutMs: 5_000,
    latencyTargetMs: 500,
  }]);
  caller = await fleet.add("caller", "menus", { slots: 2 });
  other = await fleet.add("other", "menus", { slots: REQUESTS });
  // The other worker is known to be so slow that a full one seems better.
  caller.worker.holdMs = 200;
  other.worker.holdMs = 1_500;
  await expect.poll(async () => {
    await Promise.all(
      Array.from({ length: 8 }, () => fleet.call(caller, "/menus/warm")),
    );
    return other.worker.ran.length;
  }, { timeout: START_TIMEOUT_MS }).toBeGreaterThan(8);
  other.worker.holdMs = 3_000;
});
afterEach(() => fleet.close());

/** Sends a request whose caller leaves. */
async function sendAndLeave(id: string): Promise<void> {
  const url = `http://${caller.address}:${caller.callPort}/menus/1`;
  await request(url, {
    headers: { host: "test.example", "x-request": id, "x-time-left": "5000" },
    signal: AbortSignal.timeout(LEAVES_AFTER_MS),
  }).then(({ body }) => body.dump(), () => undefined);
}

// Guards against calls that go on at another host after their caller has left,
// because the worker of the caller's host was full and the handle of the call that
// it refused was kept for theirs (GONE).
test(
  "calls passed on by a full worker end when their callers leave",
  async () => {
    const sent = Array.from({ length: REQUESTS }, async (_, index) => {
      await pause(index * INTERVAL_MS);
      await sendAndLeave(`r${index}`);
      await pause(ENDS_WITHIN_MS);
      return {
        wasPassedOn: other.worker.ran.some(({ requestId }) =>
          requestId === `r${index}`
        ),
        isAtWork: other.worker.atWork.has(`r${index}`),
      };
    });
    const results = await Promise.all(sent);
    const passedOn = results.filter(({ wasPassedOn }) => wasPassedOn);
    const atWork = passedOn.filter(({ isAtWork }) => isAtWork);
    console.info(`${atWork.length} of ${passedOn.length} calls still at work`);
    expect(passedOn.length).toBeGreaterThan(REQUESTS / 4);
    expect(atWork.length).toBeLessThanOrEqual(
      MAX_SHARE_AT_WORK * passedOn.length,
    );
  },
  20_000,
);
