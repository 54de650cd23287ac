import { afterEach, beforeEach, expect, test } from "vitest";
import { type Frame, Link, openLinkSocket } from "@oleanderdeck/hop";
import { START_TIMEOUT_MS, TestFleet, type TestHost } from "./_test_fleet.ts";

/** More than the kernel holds for a peer that does not read, in bytes. */
const LARGE_BYTES = 20_000_000;

let fleet: TestFleet;
let server: TestHost;
let opened: ReturnType<typeof openLinkSocket>;
let link: Link;
let received: Frame[];
let onFrame: (frame: Frame) => void;
beforeEach(async () => {
  fleet = new TestFleet();
  fleet.configure(1, [{ shares: [{ service: "members", weight: 1 }] }]);
  server = await fleet.add("server", "members");
  await expect.poll(
    async () => (await fleet.call(server, "/members/warm")).status,
    { timeout: START_TIMEOUT_MS },
  ).toBe(200);
  received = [];
  onFrame = () => {};
  opened = openLinkSocket(server.address, server.linkPort);
  link = new Link(opened, {
    onFrame: (frame) => {
      received.push(frame);
      onFrame(frame);
    },
    onClose: () => undefined,
  });
  await expect.poll(() => received[0]?.kind).toBe("hello");
  // The callers of the host count as gone.
  await pause(700);
});
afterEach(async () => {
  link.close();
  await fleet.close();
});

const pause = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

function sendCall(): void {
  link.send({
    kind: "call",
    id: 1,
    service: "members",
    requestId: "r1",
    route: "route",
    method: "GET",
    target: "/members/1",
    headers: ["host", "test.example", "x-request", "r1"],
    timeLeftMs: 2_500,
    latencyTargetMs: 500,
    rank: 8,
    isIdempotent: false,
    isRepeat: false,
    body: Buffer.alloc(0),
  });
}

const runs = () =>
  server.worker.ran.filter(({ requestId }) => requestId === "r1").length;

// Guards against an answer that is dropped at the end of a stop, because the
// peer has not read all of it, so that a request that ran is answered with 502.
test("a peer that reads slowly has the answer of a node that stops", async () => {
  server.worker.padding = "x".repeat(LARGE_BYTES);
  server.worker.holdMs = 300;
  sendCall();
  await expect.poll(runs).toBe(1);
  opened.socket.pause();
  const stopped = server.node.stop();
  await pause(800);
  opened.socket.resume();
  await stopped;
  await expect.poll(() => link.isClosed).toBe(true);
  expect(received).toContainEqual(
    expect.objectContaining({ kind: "answer", id: 1, status: 200 }),
  );
});

// Guards against a call that a node drops when it closes, so that its caller
// must assume that it has run.
test("a call that crosses the end of a stop is refused as not run", async () => {
  onFrame = (frame) => {
    if (frame.kind === "load" && frame.load.slots === 0) sendCall();
  };
  await server.node.stop();
  await expect.poll(() => link.isClosed).toBe(true);
  expect(runs()).toBe(0);
  expect(received).toContainEqual(
    expect.objectContaining({ kind: "failure", id: 1, mayHaveRun: false }),
  );
});

// Guards against a stop that waits for a peer that has gone silent.
test("a peer that reads nothing does not hold up a stop", async () => {
  opened.socket.pause();
  const startedAt = performance.now();
  await server.node.stop();
  expect(performance.now() - startedAt).toBeLessThan(1_000);
});

test("a peer that never reads its answer does not hold a node beyond its grace", async () => {
  server.worker.padding = "x".repeat(LARGE_BYTES);
  sendCall();
  opened.socket.pause();
  await expect.poll(runs).toBe(1);
  const startedAt = performance.now();
  await server.node.stop();
  expect(performance.now() - startedAt).toBeLessThan(3_000);
});
