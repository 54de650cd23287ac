import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { START_TIMEOUT_MS, TestFleet, type TestHost } from "./_test_fleet.ts";

/** Time for which callers wait, longer than the time for a stop of 3 s. */
const TIME_LEFT_MS = 8_000;

let fleet: TestFleet;
let outside: TestHost;
let middle: TestHost;
let leaf: TestHost;
beforeEach(async () => {
  fleet = new TestFleet();
  fleet.configure(
    1,
    ["parent", "leaf"].map((service) => ({
      name: service,
      pathPrefix: `/${service}/`,
      shares: [{ service, weight: 1 }],
      isIdempotent: false,
      timeoutMs: TIME_LEFT_MS,
    })),
  );
  outside = await fleet.add("outside", "other");
  middle = await fleet.add("middle", "parent");
  leaf = await fleet.add("leaf", "leaf");
  for (const host of [outside, middle]) {
    await expect.poll(() => send(host, "leaf", "warm"), {
      timeout: START_TIMEOUT_MS,
    }).toBe(200);
  }
  await expect.poll(() => send(outside, "parent", "warm"), {
    timeout: START_TIMEOUT_MS,
  }).toBe(200);
});
afterEach(() => fleet.close());

/** Resolves to the status; 0 for a connection that ended without an answer. */
function send(host: TestHost, service: string, id: string): Promise<number> {
  return fleet.call(host, `/${service}/1`, {
    id,
    body: "x",
    timeLeftMs: TIME_LEFT_MS,
  }).then(({ status }) => status, () => 0);
}

const ranAt = (host: TestHost, id: string) =>
  host.worker.ran.some(({ requestId }) => requestId === id);

// Guards against a call of a worker that a stopping node passes on and cuts off,
// although it cannot end before the node (incident LOST).
test("a call of a worker that comes late in a stop is refused", async () => {
  leaf.worker.holdMs = 700;
  expect(await send(middle, "leaf", "usual")).toBe(200);
  middle.worker.holdMs = 2_500;
  const parent = send(outside, "parent", "p1");
  await expect.poll(() => ranAt(middle, "p1")).toBe(true);
  const stopped = middle.node.stop();
  expect(await send(middle, "leaf", "p1.1")).toBe(200);
  await sleep(1_500);
  const late = await send(middle, "leaf", "p1.2");
  await stopped;
  expect({ late, hasRun: ranAt(leaf, "p1.2") }).toEqual({
    late: 503,
    hasRun: false,
  });
  await parent;
});

// Guards against a call of another host that the gate of a stopping node takes and
// cuts off, whose caller then gets 502 for a request that ran.
test("a call whose usual time does not fit into a stop is refused", async () => {
  middle.worker.holdMs = 1_200;
  expect(await send(outside, "parent", "usual")).toBe(200);
  const early = send(outside, "parent", "early");
  await expect.poll(() => ranAt(middle, "early")).toBe(true);
  // Callers on the stopping host keep its worker in use.
  const callers = setInterval(() => void send(middle, "leaf", "root"), 100);
  await sleep(200);
  const stopped = middle.node.stop();
  await sleep(500);
  middle.worker.holdMs = 2_400;
  const late = await send(outside, "parent", "late");
  clearInterval(callers);
  expect({ late, hasRun: ranAt(middle, "late") }).toEqual({
    late: 503,
    hasRun: false,
  });
  expect(await early).toBe(200);
  await stopped;
});
