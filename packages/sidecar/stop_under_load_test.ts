import { afterEach, beforeEach, expect, test } from "vitest";
import { TestFleet, type TestHost } from "./_test_fleet.ts";

/** Requests that are in flight at the same time. */
const CALLERS = 12;

const route = {
  shares: [{ service: "members", weight: 1 }],
  isIdempotent: false,
  timeoutMs: 2_000,
};

let fleet: TestFleet;
let caller: TestHost;
let servers: readonly TestHost[];
beforeEach(async () => {
  fleet = new TestFleet();
  fleet.configure(1, [route]);
  caller = await fleet.add("caller", "menus");
  servers = [
    await fleet.add("server-1", "members"),
    await fleet.add("server-2", "members"),
  ];
  await expect.poll(() => fleet.store.entries.size).toBe(3);
  await expect.poll(async () =>
    (await fleet.call(caller, "/members/warm")).status
  ).toBe(200);
  servers.forEach(({ worker }) => worker.holdMs = 40);
});
afterEach(() => fleet.close());

/** What the caller of one request saw; a status of 0 is a closed connection. */
interface Outcome {
  readonly id: string;
  readonly status: number;
}

/** Sends requests one after another until told to stop. */
async function sendUntil(isOver: () => boolean): Promise<readonly Outcome[]> {
  const outcomes: Outcome[] = [];
  let number = 0;
  await Promise.all(Array.from({ length: CALLERS }, async () => {
    while (!isOver()) {
      const id = `r${number++}`;
      const status = await fleet.call(caller, "/members/1", { id, body: "x" })
        .then((answer) => answer.status, () => 0);
      outcomes.push({ id, status });
      if (status === 0) return;
    }
  }));
  return outcomes;
}

function runs(): readonly string[] {
  return servers.flatMap(({ worker }) =>
    worker.ran.map(({ requestId }) => requestId)
  );
}

/** Requests that ran must have their answer, the others must not have one. */
function expectTrueOutcomes(outcomes: readonly Outcome[]): void {
  const ran = runs();
  expect(new Set(ran).size).toBe(ran.length);
  const withStatus = (wanted: readonly number[]) =>
    outcomes.filter(({ status }) => wanted.includes(status))
      .map(({ id }) => id);
  expect(withStatus([0, 503]).filter((id) => ran.includes(id))).toEqual([]);
  expect(withStatus([200]).filter((id) => !ran.includes(id))).toEqual([]);
  expect(withStatus([200]).length).toBeGreaterThan(CALLERS);
}

// Guards against requests that are cut off without an answer, or told that they
// have not run, because they were accepted just before or during a stop.
test("a stop under load answers each request that has run", async () => {
  let isStopped = false;
  const sending = sendUntil(() => isStopped);
  await new Promise((resolve) => setTimeout(resolve, 200));
  await caller.node.stop();
  isStopped = true;
  expectTrueOutcomes(await sending);
});

// Guards against a caller of a second stop that takes the first one for done and
// ends the process (incident LOST).
test("a stop that is asked for again ends when the work has ended", async () => {
  servers.forEach(({ worker }) => worker.holdMs = 900);
  const inFlight = fleet.call(caller, "/members/1", { id: "kept", body: "x" });
  await expect.poll(runs).toContain("kept");
  const first = caller.node.stop();
  let isAnswered = false;
  const answered = inFlight.then(({ status }) => {
    isAnswered = true;
    return status;
  });
  await caller.node.stop();
  expect(isAnswered).toBe(true);
  expect(await answered).toBe(200);
  await first;
});

test("a worker that leaves under load and its node's stop cut off no request", async () => {
  let isOver = false;
  const sending = sendUntil(() => isOver);
  await new Promise((resolve) => setTimeout(resolve, 200));
  await fleet.sendHeartbeat(servers[0]!, "draining");
  await servers[0]!.node.stop();
  isOver = true;
  const outcomes = await sending;
  expectTrueOutcomes(outcomes);
  expect(outcomes.filter(({ status }) => status === 0)).toEqual([]);
});

// Guards against calls that are lost with the link of a node which is started
// anew, while its worker runs on.
test("a node that stops beside its worker cuts off no call", async () => {
  servers.forEach(({ worker }) => worker.holdMs = 1);
  let isOver = false;
  const sending = sendUntil(() => isOver);
  for (const server of servers) {
    await new Promise((resolve) => setTimeout(resolve, 200));
    await server.node.stop();
    await fleet.restart(server);
    await fleet.sendHeartbeats(server);
    await expect.poll(() => server.node.isReady).toBe(true);
  }
  isOver = true;
  const outcomes = await sending;
  expectTrueOutcomes(outcomes);
  expect(outcomes.filter(({ status }) => ![200, 503].includes(status)))
    .toEqual([]);
});

// Guards against requests that come late in a stop, are passed on and are cut off
// without an answer, among them such that may not be repeated.
test("a request whose usual time does not fit into a stop is refused", async () => {
  const [server] = servers;
  await fleet.sendHeartbeat(servers[1]!, "draining");
  server!.worker.holdMs = 1_000;
  const send = (id: string) =>
    fleet.call(caller, "/members/1", { id, body: "x", timeLeftMs: 2_500 })
      .then(({ status }) => status, () => 0);
  expect(await send("usual")).toBe(200);
  // The node has 3 s for its stop; requests in progress keep it from ending.
  const early = send("early");
  await expect.poll(() => runs()).toContain("early");
  const stopped = caller.node.stop();
  await new Promise((resolve) => setTimeout(resolve, 600));
  server!.worker.holdMs = 1_800;
  const fitting = send("fitting");
  await new Promise((resolve) => setTimeout(resolve, 400));
  expect(await send("late")).toBe(503);
  expect(await early).toBe(200);
  expect(await fitting).toBe(200);
  await stopped;
  expect(runs()).not.toContain("late");
});
