import { createServer, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import {
  acceptedLinkSocket,
  type EndTimes,
  type Frame,
  Link,
  listen,
  openLinkSocket,
} from "./mod.ts";

/** More than the kernel holds for a peer that does not read, in bytes. */
const LARGE_BYTES = 20_000_000;

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

const pause = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Returns both sides of a link, and the frames that each has received. */
async function linkPair() {
  const server = createServer();
  const accepted = new Promise<Socket>((resolve) =>
    server.once("connection", resolve)
  );
  const port = await listen(server, {
    host: "127.0.0.1",
    port: 0,
    onError: (error) => {
      throw error;
    },
  });
  const opened = openLinkSocket("127.0.0.1", port);
  const sides = [opened, acceptedLinkSocket(await accepted)].map(
    (side) => {
      const frames: Frame[] = [];
      const onFrame = (frame: Frame) => void frames.push(frame);
      const link = new Link(side, { onFrame, onClose: () => undefined });
      closers.push(() => link.close());
      return { link, frames, socket: side.socket };
    },
  );
  closers.push(() => server.close());
  return { near: sides[1]!, far: sides[0]! };
}

function endTimes(withinMs: number): EndTimes {
  return { closeMs: 100, latestAt: performance.now() + withinMs };
}

const LARGE: Frame = {
  kind: "configuration",
  body: Buffer.alloc(LARGE_BYTES),
};

// Guards against frames that are dropped because the peer reads slowly.
test("a link that ends writes the frames that wait", async () => {
  const { near, far } = await linkPair();
  far.socket.pause();
  near.link.send(LARGE);
  const ended = near.link.end(endTimes(5_000));
  await pause(300);
  expect(near.link.isClosed).toBe(false);
  far.socket.resume();
  await ended;
  expect(far.frames.map(({ kind }) => kind)).toEqual(["configuration"]);
  await expect.poll(() => far.link.isClosed).toBe(true);
});

// Guards against bytes of the peer that reset the connection, which discards
// what it has not read.
test("a peer that goes on sending has the frames of a link that ends", async () => {
  const { near, far } = await linkPair();
  far.socket.pause();
  near.link.send(LARGE);
  const ended = near.link.end(endTimes(5_000));
  const timer = setInterval(() => far.link.send(LARGE), 10);
  await pause(100);
  clearInterval(timer);
  far.socket.resume();
  await ended;
  expect(far.frames.map(({ kind }) => kind)).toEqual(["configuration"]);
});

test("frames that were sent before the end are handled, later ones are not", async () => {
  const { near, far } = await linkPair();
  far.link.send({ kind: "cancel", id: 1 });
  const ended = near.link.end(endTimes(5_000));
  await expect.poll(() => near.frames.length).toBe(1);
  await ended;
  far.link.send({ kind: "cancel", id: 2 });
  await pause(30);
  expect(near.frames).toEqual([{ kind: "cancel", id: 1 }]);
});

test("a link ends in time though its peer reads nothing", async () => {
  const { near, far } = await linkPair();
  far.socket.pause();
  near.link.send(LARGE);
  const startedAt = performance.now();
  await near.link.end(endTimes(300));
  expect(performance.now() - startedAt).toBeLessThan(600);
  expect(near.link.isClosed).toBe(true);
});

/** Interval of the checks of links, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Time after which a silent peer has been found, in milliseconds. */
const SILENCE_FOUND_MS = 3_000;

/** Checks links as their owners do. */
function checkRegularly(...links: readonly Link[]): void {
  const timer = setInterval(
    () => links.forEach((link) => link.check(true)),
    CHECK_INTERVAL_MS,
  );
  closers.push(() => clearInterval(timer));
}

/** Lets a socket read no more than some bytes a second. */
function throttle(socket: Socket, bytesPerSecond: number): void {
  socket.on("data", ({ length }: Buffer) => {
    socket.pause();
    setTimeout(() => socket.resume(), length / bytesPerSecond * 1_000);
  });
}

// Guards against calls that are lost because a link takes long for its own bytes,
// which wait in the process or in the kernels of both sides (incident LOST).
test.each([
  { bytes: 1_000_000, bytesPerSecond: 200_000 },
  { bytes: 20_000_000, bytesPerSecond: 4_000_000 },
])(
  "a link that takes $bytes bytes slowly stays open",
  async ({ bytes, bytesPerSecond }) => {
    // The accepted side reads a stream, which can be throttled.
    const { near: far, far: near } = await linkPair();
    throttle(far.socket, bytesPerSecond);
    checkRegularly(near.link, far.link);
    near.link.send({ kind: "configuration", body: Buffer.alloc(bytes) });
    near.link.send({ kind: "cancel", id: 1 });
    await expect.poll(() => near.link.isClosed || far.frames.length === 2, {
      timeout: 10_000,
    }).toBe(true);
    expect(near.link.isClosed).toBe(false);
    expect(far.frames.map(({ kind }) => kind)).toEqual([
      "configuration",
      "cancel",
    ]);
  },
  20_000,
);

// Guards against bytes that wait and keep a link alive though its peer is silent.
test("a silent peer of a link with bytes that wait is found in time", async () => {
  const { near, far } = await linkPair();
  far.socket.pause();
  checkRegularly(near.link);
  near.link.send(LARGE);
  await pause(4 * CHECK_INTERVAL_MS);
  expect(near.link.isSuspect).toBe(true);
  await pause(SILENCE_FOUND_MS - 4 * CHECK_INTERVAL_MS);
  expect(near.link.isClosed).toBe(true);
});

test("links without calls exchange few signs of life", async () => {
  const { near, far } = await linkPair();
  const bytesRead = () => near.socket.bytesRead + far.socket.bytesRead;
  checkRegularly(near.link, far.link);
  near.link.send(LARGE);
  await expect.poll(() => far.frames.length).toBe(1);
  await pause(CHECK_INTERVAL_MS);
  const before = bytesRead();
  await pause(4 * CHECK_INTERVAL_MS);
  expect(bytesRead() - before).toBeLessThan(200);
});
