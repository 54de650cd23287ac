import { once } from "node:events";
import { connect } from "node:net";
import fc from "fast-check";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { request } from "undici";
import {
  CallServerFixture,
  directTarget,
  OpenPolicy,
} from "@oleanderdeck/testing";
import { shedKeyOf, splitTarget } from "./_incoming_call.ts";

const fixture = new CallServerFixture(
  new OpenPolicy({ services: { menus: { progressTimeoutMs: 100 } } }),
);

afterEach(() => fixture.close());

async function sendBytes(address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  let received = "";
  socket.on("data", (chunk) => received += chunk.toString("latin1"));
  socket.on("error", () => {});
  socket.end(bytes, "latin1");
  await once(socket, "close");
  return received;
}

const fieldName = fc.constantFrom(
  "oleanderdeck-credential",
  "oleanderdeck-context",
  "oleanderdeck-request",
  "oleanderdeck-timeout-ms",
  "oleanderdeck-retries",
  "oleanderdeck-peer",
  "oleanderdeck-fence",
  "content-length",
  "transfer-encoding",
  "connection",
  "expect",
  "host",
  "upgrade",
);
const line = fc.tuple(
  fieldName,
  fc.oneof(
    fc.string({ maxLength: 40 }),
    fc.constantFrom("chunked", "-1", "1e9", "0", "5", "close", "\u00ff", ""),
  ),
).map(([name, value]) => `${name}: ${value}\r\n`);
const rawRequest = fc.tuple(
  fc.constantFrom("GET", "POST", "CONNECT", "HEAD", "OPTIONS", "ZZ", ""),
  fc.oneof(
    fc.constantFrom("/menus/list", "*", "/", "//", "/menus/%zz", "/menus/../x"),
    fc.webPath(),
    fc.string({ maxLength: 60 }),
  ),
  fc.array(line, { maxLength: 6 }),
  fc.string({ maxLength: 30 }),
).map(([method, target, lines, body]) =>
  `${method} ${target} HTTP/1.1\r\n${lines.join("")}\r\n${body}`
);

// Guards against a crash of the call server, or calls that never end, caused by
// malformed input.
test("generated requests leave the call server usable", async () => {
  const backend = await fixture.backend({ service: "menus" });
  const callServer = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const property = fc.asyncProperty(
    fc.oneof(rawRequest, fc.string({ maxLength: 200 })),
    async (bytes) => {
      const received = await sendBytes(callServer.address, bytes);
      if (received !== "") expect(received).toMatch(/^HTTP\/1\.1 \d{3} /);
    },
  );
  await fc.assert(property, { numRuns: 300, seed: 20_260_104 });
  const answer = await request(`${callServer.url}/menus/list`);
  expect(answer.statusCode).toBe(200);
  expect(callServer.node.callServer.inFlight).toBe(0);
});

// Guards against callers that forge fields which only nodes may send to a
// backend server.
test("fields reserved for nodes are removed from requests", async () => {
  const heads: string[] = [];
  const address = await fixture.rawServer((socket) =>
    socket.on("data", (chunk) => {
      heads.push(chunk.toString());
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    })
  );
  const callServer = await fixture.callServer({
    menus: [directTarget(address)],
  });
  await request(`${callServer.url}/menus/list`, {
    headers: {
      "oleanderdeck-fence": "9.9",
      "oleanderdeck-attempt": "7",
      "oleanderdeck-run": "no",
      "x-menu": "week 3",
    },
  });
  expect(heads[0]).toContain("x-menu: week 3");
  expect(heads[0]).toContain("oleanderdeck-fence: 1.1");
  expect(heads[0]).toContain("oleanderdeck-attempt: 1");
  expect(heads[0]).not.toContain("oleanderdeck-run");
});

// Guards against forged contexts and peer fields, and malformed field values.
test.each([
  ["oleanderdeck-context", "AAAAAAAAAAAAAAAAAAAAAAAA"],
  ["oleanderdeck-peer", "serve.node-2.AAAAAAAAAAAAAAAAAAAAAA"],
  ["oleanderdeck-timeout-ms", "soon"],
  ["oleanderdeck-request", "a b"],
])("%s: %s is refused", async (name, value) => {
  const callServer = await fixture.callServer({ menus: [] });
  const answer = await request(`${callServer.url}/menus/list`, {
    headers: { [name]: value },
  });
  expect(answer.headers["oleanderdeck-error"]).toBe("malformed_request");
});

// Guards against paths that the rule lookup and a backend server interpret
// differently.
test("ambiguous targets are refused", () => {
  ["/a/../b", "/a//b", "/a/%2e%2e/b", "/a/.", "/a/%2f%2fb", "/a/%zz", "/", ""]
    .forEach((url) => expect(splitTarget(url)).toBeUndefined());
  expect(splitTarget("/a/b%20c?d=/../e")).toEqual({
    service: "a",
    pathAndQuery: "/b%20c?d=/../e",
    rulePath: "/b c",
  });
});

// Guards against an uneven distribution of shed keys over their range.
test("shed keys are distributed evenly", () => {
  const counts = new Array<number>(128).fill(0);
  for (let number = 0; number < 12_800; number++) {
    counts[shedKeyOf(Buffer.from(`node-1-4fz-${number.toString(36)}`))]!++;
  }
  expect(Math.min(...counts)).toBeGreaterThan(50);
  expect(Math.max(...counts)).toBeLessThan(200);
});

// Guards against a refusal that closes the connection of the caller.
test("a connection stays usable after a refusal", async () => {
  const callServer = await fixture.callServer({ menus: [] });
  const [host, port] = callServer.address.split(":");
  const socket = connect(Number(port), host);
  let received = "";
  socket.on("data", (chunk) => received += chunk.toString("latin1"));
  const call = () => socket.write("GET /menus/x HTTP/1.1\r\nhost: a\r\n\r\n");
  call();
  await sleep(1500);
  call();
  await sleep(100);
  expect(received.match(/HTTP\/1\.1 503/g)).toHaveLength(2);
  socket.destroy();
});

// Guards against a request that runs without its body, since Node.js leaves out the
// fields behind the first 1,000 that say how long it is.
test("a request with many header fields runs with its body", async () => {
  let received = "";
  const address = await fixture.rawServer((socket) =>
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      if (!received.includes("\r\n\r\n")) return;
      socket.end("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    })
  );
  const callServer = await fixture.callServer({
    menus: [directTarget(address)],
  });
  const fields = Array.from({ length: 1_200 }, (_, index) => `x${index}: 1`);
  const [host, port] = callServer.address.split(":");
  const socket = connect(Number(port), host);
  let answer = "";
  socket.on("data", (chunk) => answer += chunk.toString("latin1"));
  socket.write(
    [
      "POST /menus/list HTTP/1.1",
      "host: node",
      ...fields,
      "connection: close",
      "content-length: 4",
      "",
      "soup",
    ].join("\r\n"),
  );
  await once(socket, "close");
  expect(answer).toMatch(/^HTTP\/1.1 200 /);
  expect(received).toContain("x1199: 1\r\n");
  expect(received).toMatch(/\r\n\r\nsoup$/);
});
