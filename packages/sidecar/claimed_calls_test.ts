import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { makeProxiedFleet, type ProxiedFleet } from "./_link_proxy.ts";
import {
  START_TIMEOUT_MS,
  type TestFleet,
  type TestHost,
} from "./_test_fleet.ts";

/** Time limit of the calls, in milliseconds. */
const TIME_LIMIT_MS = 6_000;

/** Time within which calls on links that go silent are answered, in milliseconds. */
const ANSWERED_MS = 2_000;

/** Time after which a link that went silent is replaced, in milliseconds. */
const REPLACED_MS = 1_400;

/** Interval of the workers' heartbeats, in milliseconds. */
const HEARTBEAT_MS = 500;

/** Calls of each kind at the moment when the links go silent. */
const CALLS = 30;

let proxied: ProxiedFleet;
let fleet: TestFleet;
let caller: TestHost;
let workers: readonly TestHost[];
let heartbeats: NodeJS.Timeout;

beforeEach(async () => {
  proxied = makeProxiedFleet();
  fleet = proxied.fleet;
  const members = {
    shares: [{ service: "members", weight: 1 }],
    timeoutMs: TIME_LIMIT_MS,
  };
  fleet.configure(1, [
    members,
    { ...members, pathPrefix: "/booking/", isIdempotent: false },
  ]);
  const add = (name: string, service: string) =>
    proxied.add(name, service, { slots: 80 });
  workers = [await add("one", "members"), await add("two", "members")];
  caller = await add("caller", "menus");
  heartbeats = setInterval(
    () => workers.forEach((host) => void fleet.sendHeartbeat(host)),
    HEARTBEAT_MS,
  );
  await expect.poll(async () => {
    await fleet.call(caller, "/members/warm");
    return workers.every(({ worker }) => worker.ran.length > 0);
  }, { timeout: START_TIMEOUT_MS }).toBe(true);
  workers.forEach(({ worker }) => worker.ran.length = 0);
});
afterEach(async () => {
  clearInterval(heartbeats);
  await proxied.close();
});

function silence(): void {
  proxied.proxies.forEach((proxy) => proxy.silence());
}

function ran(): readonly string[] {
  return workers.flatMap(({ worker }) => worker.ran)
    .map(({ requestId }) => requestId);
}

/** Sends calls of both kinds; resolves to their answers and the elapsed time. */
async function callBothKinds(): Promise<
  { answers: readonly (readonly [string, number, string])[]; elapsedMs: number }
> {
  const startedAt = performance.now();
  const answers = await Promise.all(
    ["members", "booking"].flatMap((path) =>
      Array.from({ length: CALLS }, async (_, index) => {
        const id = `${path}-${index}`;
        const options = { id, timeLeftMs: TIME_LIMIT_MS };
        const answer = await fleet.call(caller, `/${path}/1`, options);
        return [id, answer.status, answer.body] as const;
      })
    ),
  );
  return { answers, elapsedMs: performance.now() - startedAt };
}

function expectServedOnce(
  answers: readonly (readonly [string, number, string])[],
): void {
  expect(answers).toEqual(
    answers.map(([id]) => [id, 200, `answer to ${id}`]),
  );
  expect([...ran()].sort()).toEqual(answers.map(([id]) => id).sort());
}

async function silenceWhileRunning(holdMs: number, calls = 1): Promise<void> {
  workers.forEach(({ worker }) => worker.holdMs = holdMs);
  await expect.poll(() => ran().length, { interval: 2 })
    .toBeGreaterThanOrEqual(calls);
  silence();
}

// Guards against answers of workers that are lost on a silent link, and repeats
// in their place.
test.each([50, 300])(
  "calls that run for %i ms as links go silent are answered",
  async (holdMs) => {
    const silenced = silenceWhileRunning(holdMs);
    const { answers, elapsedMs } = await callBothKinds();
    await silenced;
    expectServedOnce(answers);
    expect(elapsedMs).toBeLessThan(ANSWERED_MS);
    await expect.poll(() => fleet.lines.join(""))
      .toMatch(
        /event=link_opened.*claimed_calls=[1-9]|claimed_calls=[1-9].*event=link_opened/,
      );
  },
);

test("calls outlive links that go silent twice", async () => {
  const silenced = silenceWhileRunning(2 * REPLACED_MS);
  const called = callBothKinds();
  await silenced;
  await sleep(REPLACED_MS);
  silence();
  expectServedOnce((await called).answers);
});

test("a node that stops waits for calls on links that go silent", async () => {
  const silenced = silenceWhileRunning(300);
  const called = callBothKinds();
  await silenced;
  const stopped = caller.node.stop();
  expectServedOnce((await called).answers);
  await stopped;
});

test("calls at a node that stops are answered over new links", async () => {
  const silenced = silenceWhileRunning(REPLACED_MS, 2 * CALLS);
  const called = callBothKinds();
  await silenced;
  const stopped = workers[0]!.node.stop();
  expectServedOnce((await called).answers);
  await stopped;
});
