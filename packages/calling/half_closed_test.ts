import { connect } from "node:net";
import { afterEach, expect, test } from "vitest";
import { requestText, startProxy } from "./_test_proxy.ts";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((close) => close()));

/** Starts a proxy and a caller that may close its writing side only. */
async function start(delayMs: () => number) {
  const started = await startProxy({ delayMs });
  cleanups.push(started.close);
  const { remotePort } = await connected(started.caller.socket);
  const socket = connect({
    port: remotePort!,
    host: "127.0.0.1",
    allowHalfOpen: true,
  });
  cleanups.push(() => socket.destroy());
  const received: string[] = [];
  socket.on("data", (chunk) => received.push(chunk.toString("latin1")));
  socket.on("error", () => socket.destroy());
  return { ...started, socket, text: () => received.join("") };
}

async function connected(socket: ReturnType<typeof connect>) {
  await expect.poll(() => socket.remotePort).toBeDefined();
  return socket;
}

// Guards against a caller that ends its side behind its request, and that gets no
// answer although a worker runs the request.
test("a caller that closes its writing side has its answer", async () => {
  const { socket, text, channel } = await start(() => 400);
  socket.end(requestText("r0"));
  await expect.poll(() => socket.readableEnded).toBe(true);
  expect(text()).toMatch(/HTTP\/1.1 200 OK\r\n/);
  expect(channel.cancelled).toEqual([]);
});

test("answers to requests sent ahead come behind the end of the writing side", async () => {
  const { socket, text } = await start(() => 50);
  const ids = Array.from({ length: 20 }, (_, index) => `r${index}`);
  socket.end(ids.map(requestText).join(""));
  await expect.poll(() => socket.readableEnded).toBe(true);
  expect([...text().matchAll(/x-request: (\S+)/gi)].map(([, id]) => id))
    .toEqual(ids);
});

// Guards against workers that go on for a caller that is gone: more than half a
// second after its close the rule GONE is broken.
test("a request whose caller has closed is cancelled within half a second", async () => {
  const { socket, channel, ran } = await start(() => Infinity);
  socket.write(requestText("r0"));
  await expect.poll(() => ran, { interval: 5 }).toEqual(["r0"]);
  const startedAt = performance.now();
  socket.destroy();
  await expect.poll(() => channel.cancelled, { interval: 5 }).toEqual(["r0"]);
  expect(performance.now() - startedAt).toBeLessThan(400);
});
