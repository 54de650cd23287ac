import type { Frame } from "./frame.ts";

/** Bytes of the length of a frame and of the length of its head. */
const PREFIX_BYTES = 8;

/** Longest frame that is accepted, in bytes; a longer one ends the link. */
export const MAX_FRAME_BYTES = 80 * 1024 * 1024;

/** Positions of the kinds are part of the protocol; new kinds go to the end. */
const KINDS = [
  "hello",
  "call",
  "cancel",
  "answer",
  "failure",
  "load",
  "ping",
  "pong",
  "version",
  "knowledge_request",
  "knowledge",
] as const satisfies readonly Frame["kind"][];

/** Fields of each kind in their order in the head of a frame. */
const FIELDS: Readonly<Record<Frame["kind"], readonly string[]>> = {
  hello: ["node", "service", "configurationVersion", "load"],
  call: [
    "id",
    "service",
    "requestId",
    "route",
    "method",
    "target",
    "headers",
    "timeLeftMs",
    "latencyTargetMs",
    "rank",
    "isIdempotent",
    "isRepeat",
  ],
  cancel: ["id"],
  answer: ["id", "status", "headers", "load"],
  failure: [
    "id",
    "error",
    "mayHaveRun",
    "wasSent",
    "retryAfterMs",
    "load",
  ],
  load: ["load"],
  ping: [],
  pong: [],
  version: ["configurationVersion"],
  knowledge_request: [],
  knowledge: [],
};

/** Fields of a load report in their order. */
const LOAD_FIELDS = [
  "running",
  "waiting",
  "slots",
  "holdMs",
  "failureShare",
  "pressure",
  "routePressures",
] as const;

const EMPTY = Buffer.alloc(0);

type Fields = Record<string, unknown>;

function packLoad(load: Fields): unknown[] {
  return LOAD_FIELDS.map((field) => load[field]);
}

function unpackLoad(values: readonly unknown[]): Fields {
  return Object.fromEntries(
    LOAD_FIELDS.map((field, index) => [field, values[index]]),
  );
}

/**
 * Encodes a frame as the chunks to write: length of the rest, length of the
 * head, head, body. The head is a JSON list of the kind and its fields, so that
 * names do not cross the network with each call.
 *
 * @param frame Frame to send.
 */
export function encodeFrame(frame: Frame): readonly Buffer[] {
  const fields = frame as unknown as Fields;
  const head: unknown[] = [KINDS.indexOf(frame.kind)];
  for (const field of FIELDS[frame.kind]) {
    const value = fields[field];
    head.push(field === "load" ? packLoad(value as Fields) : value);
  }
  const text = JSON.stringify(head);
  const body = "body" in frame ? frame.body : EMPTY;
  const headBytes = Buffer.byteLength(text);
  const start = Buffer.allocUnsafe(PREFIX_BYTES + headBytes);
  start.writeUInt32BE(4 + headBytes + body.length, 0);
  start.writeUInt32BE(headBytes, 4);
  start.write(text, PREFIX_BYTES);
  return body.length === 0 ? [start] : [start, body];
}

function decodeFrame(bytes: Buffer): Frame {
  const headEnd = 4 + bytes.readUInt32BE(0);
  if (headEnd > bytes.length) throw new Error("The head exceeds the frame");
  const head = JSON.parse(bytes.toString("utf8", 4, headEnd)) as unknown[];
  const kind = KINDS[head[0] as number];
  if (kind === undefined) throw new Error(`Unknown frame kind ${head[0]}`);
  const frame: Fields = { kind };
  FIELDS[kind].forEach((field, index) => {
    const value = head[index + 1];
    frame[field] = field === "load" ? unpackLoad(value as unknown[]) : value;
  });
  frame["body"] = bytes.subarray(headEnd);
  return frame as unknown as Frame;
}

/** Collects the bytes of a link and returns the frames that are complete. */
export class FrameReader {
  #chunks: Buffer[] = [];
  #buffered = 0;

  /** Bytes that wait for the rest of their frame. */
  get buffered(): number {
    return this.#buffered;
  }

  /**
   * Adds bytes and returns the frames that they complete.
   *
   * @throws {Error} If the bytes are not a frame.
   */
  read(chunk: Buffer): readonly Frame[] {
    this.#chunks.push(chunk);
    this.#buffered += chunk.length;
    const frames: Frame[] = [];
    let needed = this.#needed();
    while (needed !== undefined && this.#buffered >= needed) {
      frames.push(decodeFrame(this.#take(needed).subarray(4)));
      needed = this.#needed();
    }
    return frames;
  }

  #needed(): number | undefined {
    if (this.#buffered < PREFIX_BYTES) return undefined;
    if (this.#chunks[0]!.length < PREFIX_BYTES) this.#join();
    const length = this.#chunks[0]!.readUInt32BE(0);
    if (length > MAX_FRAME_BYTES) throw new Error("The frame is too long");
    return 4 + length;
  }

  #take(length: number): Buffer {
    if (this.#chunks[0]!.length < length) this.#join();
    const first = this.#chunks[0]!;
    const rest = first.subarray(length);
    if (rest.length === 0) this.#chunks.shift();
    else this.#chunks[0] = rest;
    this.#buffered -= length;
    return first.subarray(0, length);
  }

  #join(): void {
    this.#chunks = [Buffer.concat(this.#chunks)];
  }
}
