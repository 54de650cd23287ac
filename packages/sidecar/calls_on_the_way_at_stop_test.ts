import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { makeProxiedFleet, type ProxiedFleet } from "./_link_proxy.ts";
import {
  START_TIMEOUT_MS,
  type TestFleet,
  type TestHost,
} from "./_test_fleet.ts";

/** Time that bytes take between two hosts, in milliseconds. */
const ONE_WAY_MS = 20;

/** Time between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 4;

/** Grace period in the settings of the hosts, in milliseconds. */
const GRACE_MS = 3_000;

/** Time after the stop for which requests go on, in milliseconds. */
const AFTER_STOP_MS = 300;

let proxied: ProxiedFleet;
let fleet: TestFleet;
let caller: TestHost;
let workers: readonly TestHost[];
beforeEach(async () => {
  proxied = makeProxiedFleet();
  fleet = proxied.fleet;
  fleet.configure(1, [{
    shares: [{ service: "members", weight: 1 }],
    isIdempotent: false,
  }]);
  const add = (name: string, service: string) =>
    proxied.add(name, service, { delayMs: ONE_WAY_MS, slots: 40 });
  workers = [await add("one", "members"), await add("two", "members")];
  caller = await add("caller", "menus");
  await expect.poll(async () => {
    await fleet.call(caller, "/members/warm");
    return workers.every(({ worker }) => worker.ran.length > 0);
  }, { timeout: START_TIMEOUT_MS }).toBe(true);
});
afterEach(() => proxied.close());

// Guards against calls that are on their way when a node that stops closes its
// links, whose callers then cannot know whether they ran (incident LOST).
test("a stop leaves no call on its way without an answer", async () => {
  let isOver = false;
  const answers: Promise<number>[] = [];
  const sending = (async () => {
    while (!isOver) {
      answers.push(
        fleet.call(caller, "/members/1", { body: "x" })
          .then(({ status }) => status),
      );
      await sleep(REQUEST_INTERVAL_MS);
    }
  })();
  await sleep(AFTER_STOP_MS);
  await workers[0]!.node.stop();
  await sleep(AFTER_STOP_MS);
  isOver = true;
  await sending;
  const statuses = await Promise.all(answers);
  expect(statuses.filter((status) => status !== 200)).toEqual([]);
});

test("a peer that is silent does not keep a stop from its end", async () => {
  proxied.proxies.forEach((proxy) => proxy.silence());
  const startedAt = performance.now();
  await workers[0]!.node.stop();
  expect(performance.now() - startedAt).toBeLessThan(GRACE_MS);
});
