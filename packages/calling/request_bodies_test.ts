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
  `POST /photo HTTP/1.1\r\nhost: test.example\r\nx-request: ${requestId}\r\n${length}\r\n\r\n`;

const chunkedHead = (requestId: string) =>
  uploadHead(requestId, "transfer-encoding: chunked");

const chunk = (bytes: number) =>
  `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

/** Returns a request with a body of a stated length. */
const upload = (requestId: string, bytes: number) =>
  uploadHead(requestId, `content-length: ${bytes}`) + "x".repeat(bytes);

// Guards against refused bodies that count as held for ever, after which each
// request with a body is refused.
test("bodies are read again after one was refused", async () => {
  const { caller, newCaller } = await start({ maxHeldBytes: 2_000 });
  caller.socket.write(chunkedHead("r0"));
  for (let count = 0; count < 8; count++) {
    caller.socket.write(chunk(1_000));
    await pause(2);
  }
  await expect.poll(() => caller.answers).toMatchObject([{ status: 503 }]);
  const next = newCaller();
  next.socket.write(upload("r1", 100));
  await expect.poll(() => next.answers).toMatchObject([{ status: 200 }]);
});

// Guards against a process that is killed for the memory of bodies that it has
// refused: all that was sent after a refusal was kept until the body ended.
test("nothing of a refused body is read at length", async () => {
  const { caller } = await start({ maxHeldBytes: 2_000 });
  caller.socket.write(uploadHead("r0", "content-length: 90000"));
  caller.socket.write("x".repeat(4_000));
  await expect.poll(() => caller.answers).toEqual([
    expect.objectContaining({ status: 503, isClosing: true }),
  ]);
  await expect.poll(() => caller.socket.readableEnded).toBe(true);
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
