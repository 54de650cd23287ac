import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { START_TIMEOUT_MS, TestFleet, type TestHost } from "./_test_fleet.ts";

/** Answer that the kernels take whole though the caller reads only a part. */
const ANSWER_BYTES = 1_000_000;

const requestText = (id: string) =>
  `GET /members/${id} HTTP/1.1\r\nhost: test.example\r\nx-request: ${id}\r\n` +
  "x-time-left: 2000\r\n\r\n";

let fleet: TestFleet;
let caller: TestHost;
let server: TestHost;
let socket: Socket;
let received: string;
beforeEach(async () => {
  fleet = new TestFleet();
  fleet.configure(1, [{
    shares: [{ service: "members", weight: 1 }],
    isIdempotent: false,
    timeoutMs: 2_000,
  }]);
  caller = await fleet.add("caller", "menus");
  server = await fleet.add("server", "members");
  await expect.poll(
    async () => (await fleet.call(caller, "/members/warm")).status,
    { timeout: START_TIMEOUT_MS },
  ).toBe(200);
  server.worker.ran.length = 0;
  received = "";
  socket = connect(caller.callPort, caller.address);
  socket.on("data", (chunk) => received += chunk.toString("latin1"));
  socket.on("error", () => socket.destroy());
});
afterEach(async () => {
  socket.destroy();
  await fleet.close();
});

const pause = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

const ranIds = () => server.worker.ran.map(({ requestId }) => requestId);

// Guards against the part of an answer that a slow reader loses, because the
// request that it sends next resets the connection of a node that stops.
test("a slow reader that sends on has its answer of a node that stops", async () => {
  server.worker.padding = "x".repeat(ANSWER_BYTES);
  socket.pause();
  socket.write(requestText("r0"));
  await expect.poll(ranIds).toEqual(["r0"]);
  await pause(100);
  const stopped = caller.node.stop();
  const timer = setInterval(() => socket.write(requestText("r1")), 20);
  await pause(800);
  clearInterval(timer);
  socket.resume();
  await stopped;
  await expect.poll(() => socket.closed).toBe(true);
  expect(received.length).toBeGreaterThan(ANSWER_BYTES);
});
