import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import type { Frame } from "@oleanderdeck/hop";
import { acceptedLinkSocket, Link } from "@oleanderdeck/hop";
import type { WorkerCall, WorkerResult } from "@oleanderdeck/serving";
import { PeerChannel, WorkerStatements } from "./mod.ts";
import { IDLE } from "./_test_channel.ts";
import { testAccount } from "./_test_proxy.ts";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

/** Starts a peer that handles its links by a function; returns its address. */
async function startPeer(accept: (socket: Socket) => void): Promise<string> {
  const sockets: Socket[] = [];
  const server: Server = createServer((socket) => {
    socket.on("error", () => socket.destroy());
    sockets.push(socket);
    accept(socket);
  });
  closers.push(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const account = testAccount(1_000_000);

function channelTo(address: string): PeerChannel {
  const channel = new PeerChannel({
    node: "n1",
    dataCentre: "wa-a",
    service: "menus",
    address,
    statements: new WorkerStatements(),
    account,
    hello: () => ({
      kind: "hello",
      node: "n0",
      service: "menus",
      configurationVersion: 1,
      load: IDLE,
    }),
    onFrame: () => undefined,
  });
  const timer = setInterval(() => channel.check(), 100);
  closers.push(() => {
    clearInterval(timer);
    channel.close();
  });
  return channel;
}

function run(
  channel: PeerChannel,
  change: Partial<WorkerCall> = {},
): Promise<{ result: WorkerResult; elapsedMs: number }> {
  const startedAt = performance.now();
  return new Promise((resolve) =>
    channel.run({
      requestId: "r1",
      route: "menu-read",
      method: "GET",
      target: "/",
      headers: [],
      body: Buffer.alloc(0),
      timeLeftMs: 5_000,
      latencyTargetMs: 500,
      rank: 8,
      isIdempotent: true,
      isRepeat: false,
      ...change,
    }, {
      service: "menus",
      finish: (result) =>
        resolve({ result, elapsedMs: performance.now() - startedAt }),
    })
  );
}

/** Returns a link handler that sends a hello frame and handles frames. */
function helloPeer(
  onFrame: (frame: Frame, link: Link) => void,
  service = "menus",
  processId?: string,
): (socket: Socket) => void {
  return (socket) => {
    const link: Link = new Link(acceptedLinkSocket(socket), {
      onFrame: (frame) => onFrame(frame, link),
      onClose: () => undefined,
    });
    link.send({
      kind: "hello",
      node: "n1",
      service,
      configurationVersion: 1,
      load: IDLE,
      ...(processId !== undefined && { processId }),
    });
  };
}

/** Handles a link by sending a hello frame and nothing more. */
function freezeAfterHello(socket: Socket): void {
  helloPeer(() => undefined)(socket);
  socket.pause();
}

test("answers are matched to their calls", async () => {
  const address = await startPeer(helloPeer((frame, link) => {
    if (frame.kind !== "call") return;
    const body = Buffer.from(frame.requestId);
    const { id } = frame;
    link.send({
      kind: "answer",
      id,
      status: 200,
      headers: [],
      isRefusedBelow: false,
      load: IDLE,
      body,
    });
  }));
  const channel = channelTo(address);
  const answers = await Promise.all(
    ["a", "b"].map((requestId) => run(channel, { requestId })),
  );
  expect(answers.map(({ result }) => result)).toMatchObject([
    { status: 200, body: Buffer.from("a") },
    { status: 200, body: Buffer.from("b") },
  ]);
});

// Guards against reads that wait for a frozen host until their deadline.
test("an idempotent call does not wait for a silent peer", async () => {
  const channel = channelTo(await startPeer(freezeAfterHello));
  const { result, elapsedMs } = await run(channel);
  expect(result).toMatchObject({ error: "connection_lost", mayHaveRun: true });
  expect(elapsedMs).toBeLessThan(1_500);
  expect(channel.isReachable).toBe(false);
});

// Guards against reads that wait for the new link to a frozen process, on which
// they could be claimed.
test("an idempotent call does not wait for a frozen process", async () => {
  let links = 0;
  const address = await startPeer((socket) => {
    if (++links === 1) helloPeer(() => undefined, "menus", "p1")(socket);
    socket.pause();
  });
  const { result, elapsedMs } = await run(channelTo(address));
  expect(result).toMatchObject({ error: "connection_lost", mayHaveRun: true });
  expect(links).toBe(2);
  expect(elapsedMs).toBeLessThan(1_500);
});

// Guards against a non-idempotent call that fails with an unknown outcome while
// its answer may still arrive.
test("a non-idempotent call waits for the end of the link", async () => {
  const channel = channelTo(await startPeer(freezeAfterHello));
  const { result, elapsedMs } = await run(channel, { isIdempotent: false });
  expect(result).toMatchObject({ error: "connection_lost", mayHaveRun: true });
  expect(elapsedMs).toBeGreaterThan(2_000);
});

// Guards against calls that count as possibly run at a peer which accepted the
// connection while it was stopped.
test("a call is not sent before the first frame of the peer", async () => {
  const channel = channelTo(await startPeer(() => undefined));
  const { result, elapsedMs } = await run(channel, { isIdempotent: false });
  expect(result).toMatchObject({ mayHaveRun: false, wasSent: false });
  expect(elapsedMs).toBeLessThan(1_500);
  expect(channel.isReachable).toBe(false);
});

test("a call waits for a slow worker behind a working link", async () => {
  const address = await startPeer(helloPeer((frame, link) => {
    if (frame.kind !== "call") return;
    const { id } = frame;
    const body = Buffer.alloc(0);
    setTimeout(() =>
      link.send({
        kind: "answer",
        id,
        status: 200,
        headers: [],
        isRefusedBelow: false,
        load: IDLE,
        body,
      }), 1_800);
  }));
  const { result } = await run(channelTo(address));
  expect(result).toMatchObject({ status: 200 });
});

// Guards against calls to a host of another service that was assigned the
// address of a removed host.
test("no calls are sent to an unexpected peer", async () => {
  const received: string[] = [];
  const channel = channelTo(
    await startPeer(
      helloPeer(({ kind }) => void received.push(kind), "members"),
    ),
  );
  const { result } = await run(channel, { isIdempotent: false });
  expect(result).toMatchObject({ mayHaveRun: false, wasSent: false });
  expect(channel.isReachable).toBe(false);
  expect(received).not.toContain("call");
});

test("a call fails as not sent when the link is refused", async () => {
  const channel = channelTo("127.0.0.1:1");
  expect((await run(channel)).result).toMatchObject({
    error: "connection_refused",
    mayHaveRun: false,
    wasSent: false,
  });
});

/** Peer whose links can be silenced, while new ones work. */
async function startSilenceablePeer() {
  const links: { socket: Socket; answer: () => void }[] = [];
  const address = await startPeer((socket) => {
    const waiting: (() => void)[] = [];
    links.push({
      socket,
      answer: () => waiting.splice(0).forEach((answer) => answer()),
    });
    helloPeer((frame, link) => {
      if (frame.kind !== "call") return;
      const { id, isIdempotent } = frame;
      const answer = () =>
        link.send({
          kind: "answer",
          id,
          status: 200,
          headers: [],
          isRefusedBelow: false,
          load: IDLE,
          body: Buffer.alloc(0),
        });
      if (isIdempotent) answer();
      else waiting.push(answer);
    })(socket);
  });
  return { address, links };
}

// Guards against a peer that gets no calls for seconds, because the open link to
// it has gone silent.
test("a silent link is replaced before it ends", async () => {
  const { address, links } = await startSilenceablePeer();
  const channel = channelTo(address);
  expect((await run(channel)).result).toMatchObject({ status: 200 });
  links[0]!.socket.pause();
  const startedAt = performance.now();
  expect((await run(channel)).result).toMatchObject({
    error: "connection_lost",
  });
  await expect.poll(() => channel.isReachable, { interval: 20 }).toBe(true);
  expect((await run(channel)).result).toMatchObject({ status: 200 });
  expect(performance.now() - startedAt).toBeLessThan(1_500);
});

// Guards against calls that fail because all links are silent, although new ones
// work.
test("a call waits for the link that replaces a silent one", async () => {
  const { address, links } = await startSilenceablePeer();
  const channel = channelTo(address);
  await run(channel);
  links[0]!.socket.pause();
  await run(channel);
  expect(channel.isReachable).toBe(false);
  expect(channel.isOpening).toBe(true);
  const { result, elapsedMs } = await run(channel);
  expect(result).toMatchObject({ status: 200 });
  expect(elapsedMs).toBeLessThan(500);
});

// Guards against answers that are lost with a replaced link, although the call
// may not be repeated.
test("a non-idempotent call keeps its link until its answer", async () => {
  const { address, links } = await startSilenceablePeer();
  const channel = channelTo(address);
  expect((await run(channel)).result).toMatchObject({ status: 200 });
  const slow = run(channel, { isIdempotent: false });
  await new Promise((resolve) => setTimeout(resolve, 100));
  links[0]!.socket.pause();
  await expect.poll(() => links.length, { timeout: 2_000 }).toBe(2);
  await expect.poll(() => channel.isReachable, { interval: 20 }).toBe(true);
  links[0]!.socket.resume();
  links[0]!.answer();
  expect((await slow).result).toMatchObject({ status: 200 });
  await expect.poll(() => links[0]!.socket.destroyed).toBe(true);
  expect((await run(channel)).result).toMatchObject({ status: 200 });
});

// Guards against links that stay open for ever, because the peer has not read the
// first frame of the one whose calls are claimed and so does not end it.
test("a claimed link that the peer does not end is closed", async () => {
  const sockets: Socket[] = [];
  const claimed = helloPeer(
    (frame, link) => {
      if (frame.kind !== "claim") return;
      link.send({ kind: "claimed", missingIds: [] });
    },
    "menus",
    "process",
  );
  const channel = channelTo(
    await startPeer((socket) => {
      sockets.push(socket);
      claimed(socket);
    }),
  );
  const call = run(channel, { isIdempotent: false });
  await expect.poll(() => sockets.length).toBe(1);
  await expect.poll(() => channel.isReachable).toBe(true);
  sockets[0]!.pause();
  await expect.poll(() => sockets.length, { timeout: 2_000 }).toBe(2);
  await expect.poll(() => channel.isReachable, { interval: 20 }).toBe(true);
  sockets[0]!.resume();
  await expect.poll(() => sockets[0]!.destroyed).toBe(true);
  channel.close();
  expect((await call).result).toMatchObject({ error: "connection_lost" });
});
