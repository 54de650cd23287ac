import { afterEach, expect, test } from "vitest";
import {
  requestText,
  startProxy,
  type TestProxyOptions,
} from "./_test_proxy.ts";

/** Number of header fields up to which Node.js reads them by default. */
const DEFAULT_FIELDS = 1_000;

/** Header fields that fit in 16 KiB, more than Node.js reads by default. */
const MANY_FIELDS = 2_500;

const BODY = "seat=1&club=perth";

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((close) => close()));

async function start(options?: TestProxyOptions) {
  const started = await startProxy(options);
  cleanups.push(started.close);
  return started;
}

const shortFields = (count: number) =>
  Array.from({ length: count }, (_, index) => `x${index % 10}:${index % 10}`);

/** Returns a request whose last fields stand behind some short ones. */
const requestWith = (fields: number, ...last: readonly string[]) =>
  [
    "POST /menus HTTP/1.1",
    "host: test.example",
    "x-request: r1",
    ...shortFields(fields),
    ...last,
    "",
    "",
  ].join("\r\n");

// Guards against requests that run without their body, since Node.js leaves out the
// fields behind the first 1,000 that say how long it is (UNASKED).
test.each([
  [`Content-Length: ${BODY.length}`, BODY],
  ["Transfer-Encoding: chunked", `11\r\n${BODY}\r\n0\r\n\r\n`],
])("a request with many fields runs with its body: %s", async (last, text) => {
  const { caller, channel } = await start();
  caller.socket.write(requestWith(MANY_FIELDS, last) + text);
  await expect.poll(() => caller.answers).toMatchObject([{ status: 200 }]);
  expect(channel.calls.map(({ body }) => body.toString())).toEqual([BODY]);
});

// Guards against other fields that are lost in the same way.
test("all of many fields reach the worker, in their order", async () => {
  const { caller, channel } = await start();
  const last = "x-last: end";
  caller.socket.write(requestWith(MANY_FIELDS, last));
  await expect.poll(() => channel.calls.length).toBe(1);
  const { headers } = channel.calls[0]!;
  const lines = headers.flatMap((name, index) =>
    index % 2 === 0 ? [`${name}:${headers[index + 1]}`] : []
  );
  expect(MANY_FIELDS).toBeGreaterThan(2 * DEFAULT_FIELDS);
  expect(lines.filter((line) => /^x\d:/.test(line)))
    .toEqual(shortFields(MANY_FIELDS));
  expect(lines).toContain("x-last:end");
});

// Guards against headers of many short fields that fill the heap, since each field
// takes many times its text.
test("header fields count with their memory while they are held", async () => {
  const { account, caller } = await start({ delayMs: () => 300 });
  const held = () => account.heldBytesOf("client_requests");
  const text = requestWith(MANY_FIELDS);
  caller.socket.write(text.slice(0, -2));
  await expect.poll(held).toBeGreaterThan(100 * MANY_FIELDS);
  caller.socket.write(text.slice(-2));
  await expect.poll(() => caller.answers).toMatchObject([{ status: 200 }]);
  expect(held()).toBe(0);
});

// Guards against the same in trailers, which are read and dropped.
test("trailers count while they are held", async () => {
  const { account, caller, channel } = await start();
  const held = () => account.heldBytesOf("client_requests");
  const chunks = `1\r\nx\r\n0\r\n${shortFields(MANY_FIELDS).join("\r\n")}`;
  caller.socket.write(requestWith(0, "Transfer-Encoding: chunked") + chunks);
  await expect.poll(held).toBeGreaterThan(100 * MANY_FIELDS);
  caller.socket.write("\r\n\r\n");
  await expect.poll(() => caller.answers).toMatchObject([{ status: 200 }]);
  expect(channel.calls[0]!.body.toString()).toBe("x");
  expect(held()).toBe(0);
});

// Guards against a refusal that cuts off the answers before it, or that is no
// promise.
test("a header without memory is refused behind earlier answers", async () => {
  const { caller, ran } = await start({
    delayMs: () => 200,
    maxRequestBytes: 50_000,
  });
  caller.socket.write(requestText("r0") + requestWith(MANY_FIELDS));
  await expect.poll(() => caller.socket.readableEnded).toBe(true);
  expect(caller.answers).toMatchObject([
    { status: 200, requestId: "r0" },
    { status: 503, isClosing: true },
  ]);
  expect(ran).toEqual(["r0"]);
});
