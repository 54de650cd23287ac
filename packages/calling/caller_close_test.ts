import { afterEach, expect, test } from "vitest";
import {
  requestText,
  startProxy,
  type TestProxyOptions,
} from "./_test_proxy.ts";

/** Answer that the kernels take whole though the caller reads only a part. */
const ANSWER = Buffer.alloc(1_000_000, "x");

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((close) => close()));

async function start(options: TestProxyOptions = {}) {
  const started = await startProxy(options);
  cleanups.push(started.close);
  return started;
}

const pause = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

const closing = (text: string) =>
  text.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");

const endTimes = () => ({ closeMs: 250, latestAt: performance.now() + 1_000 });

// Guards against an answer of which a slow reader gets a part only, because what
// it sends behind its last request resets the connection.
test("a caller that sends on has the whole of a closing answer", async () => {
  const { caller, proxy } = await start({ answerBody: ANSWER });
  caller.socket.pause();
  caller.socket.write(closing(requestText("r0")));
  await pause(50);
  expect(proxy.unfinishedRequests).toBe(0);
  caller.socket.write(requestText("r1"));
  await pause(50);
  caller.socket.resume();
  await expect.poll(() => caller.socket.closed).toBe(true);
  expect(caller.answers).toMatchObject([{ status: 200, isClosing: true }]);
  expect(caller.text.length).toBeGreaterThan(ANSWER.length);
});

// Guards against an answer that a caller doesn't see, because it reads after it
// has sent its body only.
test("a caller that sends its body first reads an early answer", async () => {
  const { caller } = await start();
  caller.socket.pause();
  const body = "x".repeat(5_000_000);
  caller.socket.write(
    "POST /menus HTTP/1.1\r\nhost: test.example\r\nx-request: r0\r\n" +
      `connection: close\r\ncontent-length: ${body.length}\r\n\r\n`,
  );
  await pause(50);
  const written = new Promise((resolve) =>
    caller.socket.write(body, (error) => resolve(error))
  );
  expect(await written).toBeFalsy();
  caller.socket.resume();
  await expect.poll(() => caller.socket.closed).toBe(true);
  expect(caller.answers).toMatchObject([{ status: 413, isClosing: true }]);
});

test("a caller that sends on behind malformed input reads its answers", async () => {
  const { caller } = await start({ answerBody: ANSWER });
  caller.socket.pause();
  caller.socket.write(requestText("r0") + "GET /menus\r\nnonsense\r\n\r\n");
  await pause(50);
  caller.socket.write("x".repeat(1_000_000));
  await pause(50);
  caller.socket.resume();
  await expect.poll(() => caller.socket.closed).toBe(true);
  expect(caller.answers).toMatchObject([{ status: 200 }, { status: 400 }]);
});

// Guards against the part of an answer that is lost at the end of a process.
test("a slow reader that sends on has its answer when the proxy ends", async () => {
  const { caller, proxy } = await start({ answerBody: ANSWER });
  caller.socket.pause();
  caller.socket.write(requestText("r0"));
  await pause(50);
  expect(proxy.unfinishedRequests).toBe(0);
  const ended = proxy.end(endTimes());
  caller.socket.write(requestText("r1"));
  await pause(50);
  caller.socket.resume();
  await ended;
  await expect.poll(() => caller.socket.closed).toBe(true);
  expect(caller.text.length).toBeGreaterThan(ANSWER.length);
});

// Guards against a request that is run, or that waits, when the proxy has ended.
test("a request that crosses the end is not run and sees the end at once", async () => {
  const { caller, proxy, ran } = await start();
  caller.socket.write(requestText("r0"));
  await expect.poll(() => caller.answers.length).toBe(1);
  const startedAt = performance.now();
  caller.socket.write(requestText("r1"));
  await proxy.end(endTimes());
  await expect.poll(() => caller.socket.closed, { interval: 5 }).toBe(true);
  expect(performance.now() - startedAt).toBeLessThan(200);
  expect(ran).toEqual(["r0"]);
});

test("a request without an answer is cancelled when the proxy ends", async () => {
  const { caller, channel, proxy } = await start({ delayMs: () => Infinity });
  caller.socket.write(requestText("r0"));
  await expect.poll(() => proxy.unfinishedRequests).toBe(1);
  const startedAt = performance.now();
  const ended = proxy.end(endTimes());
  expect(channel.cancelled).toEqual(["r0"]);
  expect(proxy.unfinishedRequests).toBe(0);
  await expect.poll(() => caller.socket.closed, { interval: 5 }).toBe(true);
  expect(performance.now() - startedAt).toBeLessThan(200);
  await ended;
});

// Guards against connections that are kept for callers that don't close them.
test("a caller that doesn't close is cut off", async () => {
  const { caller, proxy } = await start();
  caller.socket.allowHalfOpen = true;
  caller.socket.write(requestText("r0"));
  await expect.poll(() => caller.answers.length).toBe(1);
  const startedAt = performance.now();
  await proxy.end(endTimes());
  expect(performance.now() - startedAt).toBeLessThan(600);
});

// Guards against a caller that keeps the node busy behind a closing answer.
test("a caller that sends without end behind a closing answer is cut off", async () => {
  const { caller } = await start();
  caller.socket.allowHalfOpen = true;
  caller.socket.write(closing(requestText("r0")));
  const body = Buffer.alloc(1_000_000);
  let sentBytes = 0;
  while (caller.socket.writable && sentBytes < 100_000_000) {
    await new Promise((resolve) => caller.socket.write(body, resolve));
    sentBytes += body.length;
  }
  expect(sentBytes).toBeLessThan(60_000_000);
});
