import { expect, test } from "vitest";
import {
  type CallFrame,
  type Frame,
  FrameDecoder,
  FrameEncoder,
  type LoadReport,
} from "./mod.ts";

const load: LoadReport = {
  running: 3,
  waiting: 1,
  slots: 16,
  holdMs: 42,
  failureShare: 0.25,
  pressure: 0.5,
  routePressures: [["menu-read", 0.75]],
  repeatShare: 0.5,
  unrepeatableRoutes: ["menu-read"],
};

const call: Frame = {
  kind: "call",
  id: 7,
  service: "menus",
  requestId: "a1",
  route: "menu-read",
  method: "POST",
  target: "/menus/1?day=2",
  headers: ["Host", "menus.example", "X-Note", "grüße"],
  timeLeftMs: 900,
  latencyTargetMs: 400,
  rank: 9,
  isIdempotent: false,
  isRepeat: true,
  body: Buffer.from("four courses"),
};

function decode(bytes: Buffer): readonly Frame[] {
  return new FrameDecoder().read(bytes);
}

function encode(...frames: readonly Frame[]): Buffer {
  const encoder = new FrameEncoder();
  return Buffer.concat(frames.flatMap((frame) => encoder.encode(frame)));
}

test("a call arrives with all its fields and its body", () => {
  expect(decode(encode(call))[0]).toEqual(call);
});

// Guards against header fields that are lost, or moved, where they outnumber the
// strings that a link keeps.
test("all of many header fields arrive in their order", () => {
  const headers = Array.from(
    { length: 8_000 },
    (_, index) => `x${index % 700}`,
  );
  const calls = [1, 2].map((id) => ({ ...call, id, headers }));
  expect(decode(encode(...calls))).toEqual(calls);
});

test("a first frame states the kinds of frames that its sender knows", () => {
  const hello: Frame = {
    kind: "hello",
    node: "host-1",
    service: "menus",
    configurationVersion: 1,
    load,
    processId: "process-1",
  };
  const frames: Frame[] = [
    hello,
    { ...hello, protocolRevision: 1 },
    { ...hello, protocolRevision: 1, linkId: "link-1" },
  ];
  expect(decode(encode(...frames))).toEqual(frames);
});

test("what a worker has said travels with calls and load reports", () => {
  const statement = {
    workerId: "i-1",
    startedAt: 7,
    requestsPerSecond: 31.4,
    isLeaving: false,
  };
  const ended = { ...statement, requestsPerSecond: undefined, isLeaving: true };
  const frames: Frame[] = [
    { ...call, statement },
    { kind: "load", load: { ...load, statement } },
    { kind: "load", load: { ...load, statement: ended } },
  ];
  expect(decode(encode(...frames))).toEqual(frames);
});

// Guards against shares that are lost, or read as a statement of the worker.
test("load reports keep the shares to admit", () => {
  const shares = {
    admission: [[2, 0.5]],
    routeAdmission: [["menu-read", [[1, 0.25]]]],
  } as const;
  const statement = {
    workerId: "w-1",
    startedAt: 5,
    requestsPerSecond: 20,
    isLeaving: false,
  };
  const frames: Frame[] = [
    { kind: "load", load: { ...load, ...shares } },
    { kind: "load", load: { ...load, ...shares, statement } },
  ];
  expect(decode(encode(...frames))).toEqual(frames);
});

// Guards against calls whose chain seems to be one of many refused ones, and
// against a share that is read as a statement of the worker.
test("a call keeps the share with which its chain was admitted", () => {
  const statement = {
    workerId: "w-1",
    startedAt: 5,
    requestsPerSecond: 20,
    isLeaving: false,
  };
  const frames: Frame[] = [
    { ...call, admittedShare: 0.25 },
    { ...call, admittedShare: 0.25, statement },
  ];
  expect(decode(encode(...frames))).toEqual(frames);
});

// Guards against a pace that is lost, or read as another field, and against load
// reports that are longer although the worker has its full pace.
test("load reports keep the pace of a worker", () => {
  const shares = { admission: [], routeAdmission: [] };
  const paced = { ...load, ...shares, pace: 0.25 };
  const frames: Frame[] = [{ kind: "load", load: paced }];
  expect(decode(encode(...frames))).toEqual(frames);
  const [frame] = decode(encode({ kind: "load", load }));
  expect(frame).toEqual({ kind: "load", load });
});

// Guards against an age that is read as younger than it was sent.
test("proofs and tokens keep their fields", () => {
  const frames: Frame[] = [
    { kind: "proof_request", id: 3 },
    { kind: "proof", id: 3, configurationVersion: 7, ageMs: 40 },
    { kind: "proof", id: 4, configurationVersion: 0, ageMs: Infinity },
    {
      kind: "quota_request",
      id: 1,
      configurationVersion: 7,
      deposits: [[0, 1.5]],
      wants: [[3, 2]],
    },
    { kind: "quota_grant", id: 1, configurationVersion: 7, grants: [[3, 2]] },
  ];
  expect(decode(encode(...frames))).toEqual(frames);
});

test("an answer keeps the load report", () => {
  const [frame] = decode(encode({
    kind: "answer",
    id: 7,
    status: 200,
    headers: ["A", "b"],
    isRefusedBelow: false,
    load,
    body: Buffer.from([0, 255]),
  }));
  expect(frame).toMatchObject({ load, body: Buffer.from([0, 255]) });
});

// Guards against header fields that are sent in full between data centres with
// each call.
test("a repeated call is less than a third as long and decodes equally", () => {
  const headers = Array.from(
    { length: 20 },
    (_, index) => `X-Header-${index}-of-a-usual-length`,
  );
  const long = { ...call, headers: [...headers, "X-Id", call.requestId] };
  const lengths = [1, 2, 3].map((count) =>
    encode(...Array.from({ length: count }, () => long)).length
  );
  expect(lengths[2]! - lengths[1]!).toBeLessThan(lengths[0]! / 3);
  expect(decode(encode(long, long, long))).toEqual([long, long, long]);
});

// Guards against frames that are lost or misread when the network splits them
// into chunks.
test("frames are decoded from chunks of any size", () => {
  const bytes = encode(call, { kind: "ping" }, { kind: "cancel", id: 9 });
  for (let size = 1; size < bytes.length; size++) {
    const decoder = new FrameDecoder();
    const kinds: string[] = [];
    for (let at = 0; at < bytes.length; at += size) {
      const frames = decoder.read(bytes.subarray(at, at + size));
      kinds.push(...frames.map(({ kind }) => kind));
    }
    expect(kinds).toEqual(["call", "ping", "cancel"]);
    expect(decoder.bufferedBytes).toBe(0);
  }
});

const LONG_BODY = Buffer.alloc(200_000, "0123456789");

// Guards against a link that is misread behind a body that did not fit in, and
// against a string table that differs from the peer's.
test("a long body that is not accepted is thrown away with its frame", () => {
  const long = { ...call, id: 8, body: LONG_BODY };
  const bytes = encode(call, long, { ...long, id: 9 }, call);
  for (const size of [1_000, 65_536, bytes.length]) {
    const asked: (readonly [number, number])[] = [];
    const decoder = new FrameDecoder((frame, length) => {
      const { id } = frame as CallFrame;
      asked.push([id, length]);
      return id === 9;
    });
    const frames: Frame[] = [];
    for (let at = 0; at < bytes.length; at += size) {
      frames.push(...decoder.read(bytes.subarray(at, at + size)));
    }
    expect(frames).toEqual([call, { ...long, id: 9 }, call]);
    expect(asked).toEqual([[8, LONG_BODY.length], [9, LONG_BODY.length]]);
    expect(decoder.bufferedBytes).toBe(0);
  }
});

test("a long frame of a kind without a body is an error", () => {
  const head = Buffer.from("[6]");
  const bytes = Buffer.alloc(100_000);
  bytes.writeUInt32BE(bytes.length - 4, 0);
  bytes.writeUInt32BE(head.length, 4);
  head.copy(bytes, 8);
  expect(() => decode(bytes)).toThrow("has a body");
});

test("an unknown kind is an error", () => {
  const bytes = Buffer.from([0, 0, 0, 8, 0, 0, 0, 4, 91, 57, 57, 93]);
  expect(() => decode(bytes)).toThrow("Unknown frame kind");
});

test("a length beyond the limit is an error", () => {
  expect(() => decode(Buffer.alloc(8, 255))).toThrow("too long");
});
