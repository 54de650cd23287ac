import { create, toBinary } from "@bufbuild/protobuf";
import fc from "fast-check";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type Datagram,
  DatagramSchema,
  MemberSchema,
  MemberState,
} from "@oleanderdeck/protocol";
import { SystemClock } from "@oleanderdeck/settings";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  type DatagramHandler,
  DatagramTransport,
  MAX_DATAGRAM_BYTES,
} from "./datagram_transport.ts";
import { newIncarnation } from "./incarnation.ts";
import { Membership } from "./membership.ts";
import { PeerKeys } from "./peer_keys.ts";

const keys = new PeerKeys(["test"]);

/** Transport that receives the datagrams passed to `receive` by the test. */
class DirectTransport extends DatagramTransport {
  receive: DatagramHandler = () => {};
  readonly sent: Uint8Array[] = [];

  open(handler: DatagramHandler): Promise<void> {
    this.receive = handler;
    return Promise.resolve();
  }

  address(): string {
    return "10.0.0.1:7000";
  }

  send(_address: string, bytes: Uint8Array): void {
    this.sent.push(bytes);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

let transport: DirectTransport;
let node: Membership;

beforeEach(async () => {
  transport = new DirectTransport();
  node = new Membership({
    nodeId: "node",
    callAddress: "10.0.0.1:7001",
    controlAddress: "10.0.0.1:7002",
    dataCentre: "wa-a",
    region: "wa",
    transport,
    keys,
    clock: new SystemClock(),
    random: xoroshiro128plus(1),
    seeds: () => Promise.reject(new Error("The settings are not readable")),
  });
  await node.start();
});

afterEach(() => node.close());

function signed(message: Uint8Array): Uint8Array {
  return Buffer.concat([keys.sign("datagram", message), message]);
}

function totalDrops(): number {
  return Object.values(node.counters().drops)
    .reduce((total, count) => total + count, 0);
}

function datagram(
  content: Partial<Pick<Datagram, "sender" | "updates" | "body">>,
): Uint8Array {
  return toBinary(
    DatagramSchema,
    create(DatagramSchema, { sender: "peer", sequence: 1, ...content }),
  );
}

// Guards against a crash or a change of state by bytes from outside the fleet.
test("bytes without a signature are dropped and counted", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 1500 }), (bytes) => {
      const before = totalDrops();
      transport.receive(bytes, "10.0.0.9:7000");
      expect(totalDrops()).toBe(before + 1);
    }),
    { seed: 1 },
  );
  expect(node.members()).toHaveLength(1);
});

// Guards against a crash by a signed datagram of a faulty node of the fleet.
test("signed bytes with any content raise no exception", () => {
  const valid = datagram({
    updates: [create(MemberSchema, {
      nodeId: "peer",
      state: MemberState.ALIVE,
      peerAddress: "10.0.0.2:7000",
    })],
  });
  const changed = fc.tuple(fc.nat(valid.length - 1), fc.nat(255))
    .map(([index, value]) => valid.with(index, value));
  fc.assert(
    fc.property(fc.oneof(fc.uint8Array(), changed), (message) => {
      transport.receive(signed(message), "10.0.0.9:7000");
    }),
    { seed: 2, numRuns: 1000 },
  );
  expect(node.self().state).toBe(MemberState.ALIVE);
});

// Guards against invalid records that are gossiped through the fleet.
test("invalid records are dropped", () => {
  const record = {
    nodeId: "other",
    state: MemberState.ALIVE,
    peerAddress: "10.0.0.2:7000",
  };
  const invalid = [
    { ...record, nodeId: "" },
    { ...record, nodeId: "x".repeat(49) },
    { ...record, peerAddress: "no address" },
    { ...record, peerAddress: "10.0.0.2:70000" },
    { ...record, callAddress: "x".repeat(200) },
    { ...record, state: 17 as MemberState },
    { ...record, state: MemberState.UNSPECIFIED },
  ];
  invalid.forEach((content) => {
    const updates = [create(MemberSchema, content)];
    transport.receive(signed(datagram({ updates })), "10.0.0.9:7000");
  });
  expect(node.counters().drops.malformed).toBe(invalid.length);
  expect(node.members()).toHaveLength(1);
});

// Guards against datagrams that the network splits into fragments.
test("no datagram is larger than the limit", () => {
  const updates = Array.from(
    { length: 200 },
    (_, index) =>
      create(MemberSchema, {
        nodeId: `${index}`.padStart(48, "x"),
        incarnation: newIncarnation(xoroshiro128plus(index)),
        state: MemberState.ALIVE,
        peerAddress: "10.0.0.2:7000",
        callAddress: "10.0.0.2:7001",
        controlAddress: "10.0.0.2:7002",
      }),
  );
  for (let index = 0; index < updates.length; index += 5) {
    const bytes = datagram({
      sender: "x".repeat(48),
      updates: updates.slice(index, index + 5),
      body: { case: "ping", value: { $typeName: "oleanderdeck.peer.v1.Ping" } },
    });
    transport.receive(signed(bytes), "10.0.0.9:7000");
  }
  expect(node.members()).toHaveLength(201);
  const sizes = transport.sent.map((bytes) => bytes.length);
  expect(sizes.length).toBeGreaterThanOrEqual(40);
  expect(Math.max(...sizes)).toBeLessThanOrEqual(MAX_DATAGRAM_BYTES);
  expect(node.counters().drops.oversized).toBe(0);
});

// Guards against a record that peers drop because it is too long.
test("a worker that makes the record too long is rejected", () => {
  const service = "x".repeat(200);
  expect(() =>
    node.setWorker({
      $typeName: "oleanderdeck.peer.v1.Worker",
      service,
      address: "10.0.0.1:8000",
      slots: 1,
      connectionLimit: 1,
      state: 1,
    })
  ).toThrow(RangeError);
  expect(node.self().worker).toBeUndefined();
});

// Guards against two processes of one node that cannot be distinguished.
test("incarnations are unique and ordered by start time", () => {
  const random = xoroshiro128plus(1);
  const [first, second, later] = [1000, 1000, 1001]
    .map((startMs) => newIncarnation(random, startMs));
  expect(first).not.toBe(second);
  expect(later! > first! && later! > second!).toBe(true);
});

// Guards against a node that cannot join after its wall clock was set back, because
// peers have a higher incarnation of it and ignore its records.
test("a started node exceeds a higher incarnation that peers have", () => {
  const incarnation = node.self().incarnation + 5n;
  const updates = [create(MemberSchema, {
    nodeId: "node",
    incarnation,
    state: MemberState.ALIVE,
    peerAddress: "10.0.0.1:7000",
  })];
  transport.receive(signed(datagram({ updates })), "10.0.0.9:7000");
  expect(node.self().incarnation).toBeGreaterThan(incarnation);
});
