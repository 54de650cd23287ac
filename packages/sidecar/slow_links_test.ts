import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  type LinkProxy,
  makeProxiedFleet,
  type ProxiedFleet,
} from "./_link_proxy.ts";
import {
  START_TIMEOUT_MS,
  type TestFleet,
  type TestHost,
} from "./_test_fleet.ts";

/** Time limit of the calls, in milliseconds. */
const TIME_LIMIT_MS = 19_000;

/** Time for which the worker runs the small call, in milliseconds. */
const HOLD_MS = 4_000;

/** Calls with long bodies at the same time. */
const LONG_CALLS = 2;

/** Bytes that each direction of the link takes in a second. */
const BYTES_PER_SECOND = 250_000;

/** Interval of the workers' heartbeats, in milliseconds. */
const HEARTBEAT_MS = 500;

/** Time after which a node no longer follows a silent store, in milliseconds. */
const STORE_SILENT_MS = 4_000;

let proxied: ProxiedFleet;
let fleet: TestFleet;
let proxy: LinkProxy;
let caller: TestHost;
let called: TestHost;
let heartbeats: NodeJS.Timeout;
beforeEach(async () => {
  proxied = makeProxiedFleet();
  fleet = proxied.fleet;
  fleet.configure(1, [{
    shares: [{ service: "members", weight: 1 }],
    isIdempotent: false,
    timeoutMs: TIME_LIMIT_MS,
    maxAttempts: 1,
  }]);
  called = await proxied.add("called", "members", { slots: 40 });
  proxy = proxied.proxies[0]!;
  caller = await fleet.add("caller", "menus");
  heartbeats = setInterval(
    () => void fleet.sendHeartbeat(called),
    HEARTBEAT_MS,
  );
  await expect.poll(() => book("warm", "x"), { timeout: START_TIMEOUT_MS })
    .toBe(200);
  // A node that follows the store sends its version on all links regularly.
  fleet.store.silentNodes.add(called.name);
  await sleep(STORE_SILENT_MS);
  called.worker.ran.length = 0;
  called.worker.run = async (id) => {
    await sleep(id === "small" ? HOLD_MS : 5);
    return true;
  };
});
afterEach(async () => {
  fleet.store.silentNodes.clear();
  clearInterval(heartbeats);
  proxy.bytesPerSecond = Infinity;
  await proxied.close();
});

async function book(id: string, body: string): Promise<number> {
  const answer = await fleet.call(caller, "/members/1", {
    id,
    body,
    timeLeftMs: TIME_LIMIT_MS,
  });
  return answer.status;
}

// Guards against calls that are lost because their link is busy with long bodies
// and counts as silent (incident LOST).
test.each([
  { what: "uploads", uploadBytes: 900_000, answerBytes: 0 },
  { what: "answers", uploadBytes: 1, answerBytes: 900_000 },
])(
  "calls beside long $what on a slow link are answered",
  async ({ answerBytes, uploadBytes }) => {
    const small = book("small", "x");
    await expect.poll(() => called.worker.ran.length).toBe(1);
    called.worker.padding = "x".repeat(answerBytes);
    proxy.bytesPerSecond = BYTES_PER_SECOND;
    const long = Array.from(
      { length: LONG_CALLS },
      (_, index) => book(`long-${index}`, "x".repeat(uploadBytes)),
    );
    expect(await Promise.all([small, ...long])).toEqual(
      Array(LONG_CALLS + 1).fill(200),
    );
    expect(called.worker.ran.length).toBe(LONG_CALLS + 1);
  },
  30_000,
);
