import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { START_TIMEOUT_MS, TestFleet, type TestHost } from "./_test_fleet.ts";

const REQUEST = "POST /members/1 HTTP/1.1\r\nhost: test.example\r\n" +
  "x-request: half\r\nx-time-left: 2000\r\ncontent-length: 6\r\n\r\nupload";

let fleet: TestFleet;
let caller: TestHost;
let server: TestHost;
let socket: Socket;
let received: string;
let isClosed: boolean;
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
  isClosed = false;
  socket = connect(caller.callPort, caller.address);
  socket.on("data", (chunk) => received += chunk.toString());
  socket.on("close", () => isClosed = true);
});
afterEach(async () => {
  socket.destroy();
  await fleet.close();
});

function ranIds(): readonly string[] {
  return server.worker.ran.map(({ requestId }) => requestId);
}

/** Positions at which a request is cut in two: within its header and its body. */
const CUTS = [30, REQUEST.indexOf("\r\n\r\n") + 2, REQUEST.length - 3];

// Guards against a request that was read in part when a stop began, and that is
// passed on but not answered.
test.each(CUTS)(
  "a request of which %i bytes came before a stop has its answer",
  async (cut) => {
    // Keeps the node from ending at once.
    server.worker.holdMs = 700;
    const inFlight = fleet.call(caller, "/members/2", {
      id: "early",
      body: "x",
    });
    await expect.poll(ranIds).toEqual(["early"]);
    server.worker.holdMs = 5;
    socket.write(REQUEST.slice(0, cut));
    await new Promise((resolve) => setTimeout(resolve, 50));
    const stopped = caller.node.stop();
    await new Promise((resolve) => setTimeout(resolve, 100));
    socket.write(REQUEST.slice(cut));
    await expect.poll(() => received).toContain("answer to half");
    expect(received).toMatch(/^HTTP\/1.1 200 OK\r\n/);
    expect(received.toLowerCase()).toContain("connection: close");
    expect((await inFlight).status).toBe(200);
    await stopped;
  },
);

test.each(CUTS)(
  "a request of which %i bytes came before the end has not run",
  async (cut) => {
    socket.write(REQUEST.slice(0, cut));
    await new Promise((resolve) => setTimeout(resolve, 50));
    await caller.node.stop();
    socket.write(REQUEST.slice(cut));
    await expect.poll(() => isClosed).toBe(true);
    expect(received).not.toContain("200 OK");
    expect(ranIds()).toEqual([]);
  },
);
