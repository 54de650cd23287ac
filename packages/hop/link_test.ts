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
