import { afterEach, expect, test } from "vitest";
import { RawCaller, startProxy, type TestProxyOptions } from "./_test_proxy.ts";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((close) => close()));

async function start(options: TestProxyOptions) {
  const started = await startProxy({ maxBodyBytes: 100_000, ...options });
  const newCaller = () => {
    const caller = new RawCaller(started.port);
    cleanups.push(() => caller.socket.destroy());
    return caller;
  };
  cleanups.push(started.close);
  return { ...started, newCaller };
}

const pause = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

const uploadHead = (requestId: string, length: string) =>
  `POST /photo HTTP/1.1\r\nhost: test.example\r\nx-request: ${requestId}\r\nx-time-left: 1000\r\n${length}\r\n\r\n`;

const chunkedHead = (requestId: string) =>
  uploadHead(requestId, "transfer-encoding: chunked");

const chunk = (bytes: number) =>
  `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

/** Returns a request with a body of a stated length. */
const upload = (requestId: string, bytes: number) =>
  uploadHead(requestId, `content-length: ${bytes}`) + "x".repeat(bytes);

/** Bytes of the bodies that the proxy of most tests may hold. */
const MAX_HELD_BYTES = 100_000;

/** A large body of which only one is held at a time. */
const LARGE_BYTES = 70_000;

/** Starts a proxy whose memory is held by a call until the caller leaves. */
async function startFull() {
  const started = await start({
    maxHeldBytes: MAX_HELD_BYTES,
    delayMs: (id) => id === "held" ? Infinity : 0,
  });
  started.caller.socket.write(upload("held", LARGE_BYTES));
  await expect.poll(() => started.ran).toEqual(["held"]);
  return started;
}

// Guards against refused bodies that count as held for ever, after which each
// request with a body is refused.
test("bodies are read again after one was refused", async () => {
  const { account, caller, newCaller } = await startFull();
  const refused = newCaller();
  refused.socket.write(chunkedHead("r0"));
  for (let count = 0; count < 8; count++) {
    refused.socket.write(chunk(10_000));
    await pause(2);
  }
  await expect.poll(() => refused.answers).toMatchObject([{ status: 503 }]);
  const next = newCaller();
  next.socket.write(upload("r1", 100));
  await expect.poll(() => next.answers).toMatchObject([{ status: 200 }]);
  caller.socket.destroy();
  await expect.poll(() => account.heldBytes).toBe(0);
});

// Guards against a process that is killed for the memory of bodies that it has
// refused: all that was sent after a refusal was kept until the body ended.
test("nothing of a refused body is kept or read at length", async () => {
  const { account, newCaller } = await startFull();
  const refused = newCaller();
  refused.socket.write(uploadHead("r0", `content-length: ${LARGE_BYTES}`));
  refused.socket.write("x".repeat(4_000));
  await expect.poll(() => refused.answers).toEqual([
    expect.objectContaining({ status: 503, isClosing: true }),
  ]);
  await expect.poll(() => refused.socket.readableEnded).toBe(true);
  expect(refused.text).toMatch(/retry-after: [1-9]/i);
  expect(account.heldBytes).toBe(LARGE_BYTES);
});

// Guards against uploads that are refused although there is room a moment later.
test("an upload waits for room", async () => {
  const { caller, newCaller, ran } = await startFull();
  const waiting = newCaller();
  waiting.socket.write(upload("r0", LARGE_BYTES));
  await pause(50);
  expect(ran).toEqual(["held"]);
  caller.socket.destroy();
  await expect.poll(() => waiting.answers).toMatchObject([{ status: 200 }]);
});

test("small bodies are read while a large one waits", async () => {
  const { newCaller } = await startFull();
  newCaller().socket.write(upload("r0", LARGE_BYTES));
  await pause(20);
  const small = newCaller();
  small.socket.write(upload("r1", 100));
  await expect.poll(() => small.answers).toMatchObject([{ status: 200 }]);
});

// Guards against a caller that never ends its body and holds its memory for ever.
test("a body that is not complete at the deadline is given up", async () => {
  const { account, caller } = await start({});
  caller.socket.write(uploadHead("r0", "content-length: 50000") + "x");
  await expect.poll(() => account.heldBytes).toBe(50_000);
  await expect.poll(() => caller.answers, { timeout: 2_000 }).toMatchObject([
    { status: 504 },
  ]);
  expect(account.heldBytes).toBe(0);
});

test("a body that never fits in is too large", async () => {
  const { caller, account } = await start({ maxHeldBytes: 2_000 });
  caller.socket.write(chunkedHead("r0") + chunk(1_500) + chunk(1_500));
  await expect.poll(() => caller.answers).toMatchObject([
    { status: 413, isClosing: true },
  ]);
  expect(account.heldBytes).toBe(0);
});

// Guards against a refusal that costs its caller a kept connection although next
// to nothing of the body is left.
test("a refusal of a short body keeps the connection", async () => {
  const { caller } = await start({ maxBodyBytes: 1_000 });
  caller.socket.write(upload("r0", 1_100) + upload("r1", 100));
  await expect.poll(() => caller.answers).toMatchObject([
    { status: 413, isClosing: false },
    { status: 200, isClosing: false },
  ]);
});

// Guards against callers that read nothing and fill the memory with answers.
test("answers to callers that read nothing are bounded", async () => {
  const { account, newCaller, proxy, ran } = await start({
    maxBodyBytes: 8_000_000,
    maxHeldBytes: 10_000_000,
  });
  const callers = Array.from({ length: 8 }, (_, index) => {
    const caller = newCaller();
    caller.socket.pause();
    caller.socket.write(upload(`r${index}`, 6_000_000));
    return caller;
  });
  await expect.poll(() => ran.length).toBeGreaterThan(0);
  await expect.poll(() => proxy.unfinishedRequests).toBe(1);
  expect(account.heldBytesOf("waiting_answers")).toBe(6_000_000);
  callers.forEach(({ socket }) => socket.destroy());
  await expect.poll(() => account.heldBytes).toBe(0);
});

// Guards against uploads that are answered as malformed, and an error for each that
// in the end stops the process, when a configuration changes the limit of bodies.
test.each([
  { from: 20_000, to: 100_000, status: 413 },
  { from: 100_000, to: 20_000, status: 200 },
])("a body has the limit of its header: $from, then $to", async (limits) => {
  const { from, to, status } = limits;
  const { account, caller, configuration } = await start({
    maxBodyBytes: from,
  });
  caller.socket.write(chunkedHead("r0") + chunk(15_000));
  await expect.poll(() => account.heldBytes).toBe(15_000);
  const { current } = configuration;
  const changed = { ...current!.limits, maxBodyBytes: to };
  configuration.put({ ...current!, version: 2, limits: changed }, "store");
  caller.socket.write(chunk(15_000) + "0\r\n\r\n");
  await expect.poll(() => caller.answers.map((answer) => answer.status))
    .toEqual([status]);
});

// Guards against a request that runs with a part of its body: the last chunk waits
// for room, and Node.js ends the stream all the same (soak, uploads, seed 4).
test("a body whose last chunk waits for room is passed on whole", async () => {
  const { account, caller, newCaller, ran } = await start({
    maxHeldBytes: MAX_HELD_BYTES,
    delayMs: (id) => id.startsWith("held") ? Infinity : 0,
  });
  const other = newCaller();
  caller.socket.write(upload("held-1", 40_000));
  other.socket.write(upload("held-2", 40_000));
  await expect.poll(() => ran).toHaveLength(2);
  const waiting = newCaller();
  waiting.socket.write(chunkedHead("r0") + chunk(10_000));
  await expect.poll(() => account.heldBytes).toBe(90_000);
  for (const text of [chunk(12_000), chunk(50_000) + "0\r\n\r\n"]) {
    waiting.socket.write(text);
    await pause(20);
  }
  other.socket.destroy();
  await expect.poll(() => account.heldBytes).toBe(62_000);
  await pause(20);
  expect(ran).toHaveLength(2);
  caller.socket.destroy();
  await expect.poll(() => waiting.answers).toMatchObject([{ status: 200 }]);
  expect(waiting.text).toMatch(/content-length: 72000\r\n/i);
});
