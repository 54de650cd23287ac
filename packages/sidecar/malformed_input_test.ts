import { connect } from "node:net";
import fc from "fast-check";
import { afterEach, beforeEach, expect, test } from "vitest";
import { FrameEncoder } from "@oleanderdeck/hop";
import { IDLE_LOAD, TestFleet, type TestHost } from "./_test_fleet.ts";

/** Seed of the generated messages, and how many are sent to each address. */
const SEED = 20261204;
const RUNS = 300;

let fleet: TestFleet;
let host: TestHost;
let other: TestHost;
beforeEach(async () => {
  fleet = new TestFleet();
  fleet.configure(1, [{ shares: [{ service: "menus", weight: 1 }] }]);
  host = await fleet.add("host-1", "menus");
  other = await fleet.add("host-2", "bookings");
  await expect.poll(() => host.node.isReady && other.node.isReady).toBe(true);
  await expect.poll(async () => (await fleet.call(other, "/menus/1")).status)
    .toBe(200);
});
afterEach(() => fleet.close());

/** Sends bytes on a connection of its own and waits until it has closed. */
function sendRaw(address: string, port: number, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect(port, address);
    socket.on("error", () => undefined);
    socket.on("close", () => resolve());
    socket.on("data", () => undefined);
    socket.end(bytes);
  });
}

/** JSON texts that resemble the state that nodes exchange. */
const stateText = fc.oneof(
  fc.json(),
  fc.string(),
  fc.record({
    configuration: fc.oneof(
      fc.jsonValue(),
      fc.record({
        version: fc.integer({ min: 2 }),
        routes: fc.oneof(fc.jsonValue(), fc.array(fc.jsonValue())),
        services: fc.jsonValue(),
        limits: fc.jsonValue(),
      }, { requiredKeys: ["version"] }),
    ),
    records: fc.oneof(
      fc.jsonValue(),
      fc.array(fc.record({
        revision: fc.oneof(fc.jsonValue(), fc.constant(1_000_000)),
        record: fc.oneof(
          fc.jsonValue(),
          fc.record({
            node: fc.oneof(fc.jsonValue(), fc.constant("host-9")),
            address: fc.jsonValue(),
            service: fc.constant("menus"),
          }),
        ),
      })),
    ),
  }, { requiredKeys: [] }).map((state) => JSON.stringify(state)),
);

// Guards against one malformed message of a peer that ends the whole node.
test("a node survives malformed states of peers", async () => {
  await fc.assert(
    fc.asyncProperty(stateText, async (text) => {
      const body = Buffer.from(text);
      const frame = new FrameEncoder().encode({ kind: "knowledge", body });
      await sendRaw(host.address, host.linkPort, Buffer.concat(frame));
    }),
    { seed: SEED, numRuns: RUNS },
  );
  expect((await fleet.call(host, "/menus/1")).status).toBe(200);
  expect((await fleet.call(other, "/menus/1")).status).toBe(200);
});

test("a node survives changed bytes of callers and peers", async () => {
  const call = new FrameEncoder().encode({
    kind: "call",
    id: 1,
    service: "menus",
    requestId: "r1",
    route: "route",
    method: "GET",
    target: "/menus/1",
    headers: ["host", "test.example", "x-request", "r1"],
    timeLeftMs: 900,
    latencyTargetMs: 500,
    rank: 8,
    isIdempotent: true,
    isRepeat: false,
    body: Buffer.alloc(0),
  });
  const claims = new FrameEncoder();
  const claim = Buffer.concat([
    ...claims.encode({
      kind: "hello",
      node: "host-2",
      service: "bookings",
      configurationVersion: 1,
      load: IDLE_LOAD,
      processId: "p",
      linkId: "l",
    }),
    ...claims.encode({ kind: "claim", linkIds: ["k"], ids: [1, 2] }),
  ]);
  const request = "POST /menus/1 HTTP/1.1\r\nhost: test.example\r\n" +
    "x-request: r1\r\nx-time-left: 500\r\ncontent-length: 4\r\n\r\nsoup";
  const targets = [
    { port: host.linkPort, bytes: Buffer.concat(call) },
    { port: host.linkPort, bytes: claim },
    { port: host.callPort, bytes: Buffer.from(request) },
  ];
  const change = fc.tuple(fc.nat(), fc.nat({ max: 255 }));
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(...targets),
      fc.array(change, { minLength: 1, maxLength: 6 }),
      async ({ port, bytes }, changes) => {
        const changed = Buffer.from(bytes);
        changes.forEach(([at, value]) => changed[at % changed.length] = value);
        await sendRaw(host.address, port, changed);
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  expect((await fleet.call(host, "/menus/1")).status).toBe(200);
  expect((await fleet.call(other, "/menus/1")).status).toBe(200);
});
