import { ERROR_DETAILS, type ErrorKind } from "@oleanderdeck/errors";
import {
  packIdentities,
  unpackClaim,
  unpackIdentities,
  unpackIds,
} from "./_claim_fields.ts";
import { allocateBody, copyToBody } from "./body_block.ts";
import { asCount, asList, asNumber, asText } from "./_fields.ts";
import { packLoad, unpackLoad } from "./_load_fields.ts";
import { packStatement, unpackStatement } from "./_statement_fields.ts";
import type { Frame, HeaderList } from "./frame.ts";
import {
  type EncodedString,
  StringTableDecoder,
  StringTableEncoder,
} from "./string_table.ts";

/**
 * Size of the prefix of a frame in bytes: length of the rest of the frame and
 * length of its head, 4 bytes each.
 */
const PREFIX_BYTES = 8;

/**
 * Maximum rank of a call. The receiver keeps a queue for each rank up to the
 * greatest that it has received.
 */
const MAX_RANK = 255;

/** Greatest status code of an answer. */
const MAX_STATUS = 999;

/** Maximum length of a received frame in bytes; a longer one closes the link. */
export const MAX_FRAME_BYTES = 80 * 1024 * 1024;

/**
 * Length in bytes above which the body of a received frame is announced, and is
 * collected in one block.
 */
const LONG_FRAME_BYTES = 65_536;

/**
 * Frame kinds. The protocol uses their indices, so new kinds are added at the
 * end.
 */
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
  "configuration_request",
  "configuration",
  "claim",
  "claimed",
] as const satisfies readonly Frame["kind"][];

const EMPTY = Buffer.alloc(0);

/** Replaces the request id in the header fields of a call. */
const REQUEST_ID = null;

type PackedLine = EncodedString | typeof REQUEST_ID;

function packLines(
  lines: HeaderList,
  requestId: string,
  strings: StringTableEncoder,
): readonly PackedLine[] {
  return lines.map((text) =>
    text === requestId && text !== "" ? REQUEST_ID : strings.pack(text)
  );
}

function unpackLines(
  packed: unknown,
  requestId: string,
  strings: StringTableDecoder,
): HeaderList {
  const lines = asList(packed).map((line) =>
    line === REQUEST_ID ? requestId : strings.unpack(line)
  );
  if (lines.length % 2 !== 0) throw new TypeError("A header has no value");
  return lines;
}

function asErrorKind(value: unknown): ErrorKind {
  const kind = asText(value);
  if (!Object.hasOwn(ERROR_DETAILS, kind)) {
    throw new TypeError(`Unknown error kind ${kind}`);
  }
  return kind as ErrorKind;
}

function asId(value: unknown): number {
  return asCount(value, Number.MAX_SAFE_INTEGER);
}

// Each kind is packed and unpacked field by field for speed, since this runs four
// times per call.
function packHead(
  frame: Frame,
  strings: StringTableEncoder,
): readonly unknown[] {
  const kind = KINDS.indexOf(frame.kind);
  switch (frame.kind) {
    case "call":
      return [
        kind,
        frame.id,
        strings.pack(frame.service),
        frame.requestId,
        strings.pack(frame.route),
        strings.pack(frame.method),
        frame.target,
        packLines(frame.headers, frame.requestId, strings),
        frame.timeLeftMs,
        frame.latencyTargetMs,
        frame.rank,
        frame.isIdempotent ? 1 : 0,
        frame.isRepeat ? 1 : 0,
        ...(frame.statement === undefined
          ? []
          : [packStatement(frame.statement)]),
      ];
    case "answer":
      return [
        kind,
        frame.id,
        frame.status,
        packLines(frame.headers, "", strings),
        packLoad(frame.load),
        frame.isRefusedBelow ? 1 : 0,
      ];
    case "failure":
      return [
        kind,
        frame.id,
        frame.error,
        frame.mayHaveRun ? 1 : 0,
        frame.wasSent ? 1 : 0,
        frame.retryAfterMs,
        packLoad(frame.load),
      ];
    case "hello":
      return [
        kind,
        frame.node,
        frame.service,
        frame.configurationVersion,
        packLoad(frame.load),
        ...packIdentities(frame),
      ];
    case "cancel":
      return [kind, frame.id];
    case "load":
      return [kind, packLoad(frame.load)];
    case "version":
      return [kind, frame.configurationVersion, frame.followsStore ? 1 : 0];
    case "claim":
      return [kind, frame.linkIds, frame.ids];
    case "claimed":
      return [kind, frame.missingIds];
    case "ping":
    case "pong":
    case "knowledge_request":
    case "knowledge":
    case "configuration_request":
    case "configuration":
      return [kind];
  }
}

// Another program may hold the address of a peer, and releases of this one may
// differ, so each field is checked before anything uses it.
function unpackHead(
  head: readonly unknown[],
  { body, strings }: {
    readonly body: Buffer;
    readonly strings: StringTableDecoder;
  },
): Frame {
  const kind = KINDS[asNumber(head[0])];
  switch (kind) {
    case "call": {
      const requestId = asText(head[3]);
      return {
        kind,
        id: asId(head[1]),
        service: strings.unpack(head[2]),
        requestId,
        route: strings.unpack(head[4]),
        method: strings.unpack(head[5]),
        target: asText(head[6]),
        headers: unpackLines(head[7], requestId, strings),
        timeLeftMs: asNumber(head[8]),
        latencyTargetMs: asNumber(head[9]),
        rank: asCount(head[10], MAX_RANK),
        isIdempotent: head[11] === 1,
        isRepeat: head[12] === 1,
        ...(head[13] !== undefined && { statement: unpackStatement(head[13]) }),
        body,
      };
    }
    case "answer":
      return {
        kind,
        id: asId(head[1]),
        status: asCount(head[2], MAX_STATUS),
        headers: unpackLines(head[3], "", strings),
        load: unpackLoad(head[4]),
        isRefusedBelow: head[5] === 1,
        body,
      };
    case "failure":
      return {
        kind,
        id: asId(head[1]),
        error: asErrorKind(head[2]),
        mayHaveRun: head[3] === 1,
        wasSent: head[4] === 1,
        retryAfterMs: asNumber(head[5]),
        load: unpackLoad(head[6]),
      };
    case "hello":
      return {
        kind,
        node: asText(head[1]),
        service: asText(head[2]),
        configurationVersion: asNumber(head[3]),
        load: unpackLoad(head[4]),
        ...unpackIdentities(head[5], head[6]),
      };
    case "cancel":
      return { kind, id: asId(head[1]) };
    case "load":
      return { kind, load: unpackLoad(head[1]) };
    case "version":
      return {
        kind,
        configurationVersion: asNumber(head[1]),
        followsStore: head[2] === 1,
      };
    case "claim":
      return { kind, ...unpackClaim(head[1], head[2]) };
    case "claimed":
      return { kind, missingIds: unpackIds(head[1]) };
    case "ping":
    case "pong":
    case "knowledge_request":
    case "configuration_request":
      return { kind };
    case "knowledge":
    case "configuration":
      return { kind, body };
    default:
      throw new Error(`Unknown frame kind ${head[0]}`);
  }
}

/**
 * Encodes the frames of one link. The head of a frame is a JSON list of the
 * kind and its fields; strings that recur are sent as numbers.
 */
export class FrameEncoder {
  readonly #strings = new StringTableEncoder();

  /**
   * Encodes the next frame.
   *
   * @returns Chunks to write, which contain in this order: length of the rest of
   * the frame, length of the head, head, body.
   */
  encode(frame: Frame): readonly Buffer[] {
    const text = JSON.stringify(packHead(frame, this.#strings));
    const body = "body" in frame ? frame.body : EMPTY;
    const headBytes = Buffer.byteLength(text);
    const prefixAndHead = Buffer.allocUnsafe(PREFIX_BYTES + headBytes);
    prefixAndHead.writeUInt32BE(4 + headBytes + body.length, 0);
    prefixAndHead.writeUInt32BE(headBytes, 4);
    prefixAndHead.write(text, PREFIX_BYTES);
    return body.length === 0 ? [prefixAndHead] : [prefixAndHead, body];
  }
}

function decodeHead(
  bytes: Buffer,
  body: Buffer,
  strings: StringTableDecoder,
): Frame {
  return unpackHead(asList(JSON.parse(bytes.toString("utf8"))), {
    body,
    strings,
  });
}

function decodeFrame(bytes: Buffer, strings: StringTableDecoder): Frame {
  const headEnd = 4 + bytes.readUInt32BE(0);
  if (headEnd > bytes.length) throw new Error("Head is longer than its frame");
  return decodeHead(
    bytes.subarray(4, headEnd),
    bytes.subarray(headEnd),
    strings,
  );
}

type FrameWithBody = Extract<Frame, { readonly body: Buffer }>;

/**
 * Decides whether the long body of a frame is received.
 *
 * @param frame Frame without its body.
 * @param bytes Length of the body in bytes.
 * @returns Whether the body is received; otherwise it is thrown away, and the frame
 * with it.
 */
export type BodyAcceptance = (frame: Frame, bytes: number) => boolean;

/** Body of a long frame that is being received. */
interface IncomingBody {
  readonly frame: FrameWithBody;
  /** Block for the body; undefined if it is thrown away. */
  readonly block: Buffer | undefined;
  readonly length: number;
  received: number;
}

/** Decodes the frames of one link from the received bytes. */
export class FrameDecoder {
  readonly #strings = new StringTableDecoder();
  readonly #acceptBody: BodyAcceptance;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #body: IncomingBody | undefined;

  /** @param acceptBody Asked for each long body; all are received if omitted. */
  constructor(acceptBody: BodyAcceptance = () => true) {
    this.#acceptBody = acceptBody;
  }

  /** Number of buffered bytes whose frame is still incomplete. */
  get bufferedBytes(): number {
    return this.#bufferedBytes + (this.#body?.block ? this.#body.received : 0);
  }

  /** Whether the last frame is incomplete, also if its body is thrown away. */
  get isWithinFrame(): boolean {
    return this.#bufferedBytes > 0 || this.#body !== undefined;
  }

  /**
   * Adds received bytes.
   *
   * @returns The frames that are complete with these bytes.
   * @throws {Error} If the bytes are not a valid frame.
   */
  read(chunk: Buffer): readonly Frame[] {
    const frames: Frame[] = [];
    let rest = this.#body === undefined
      ? chunk
      : this.#readBody(this.#body, chunk, frames);
    if (rest.length > 0) this.#push(rest);
    let needed = this.#nextBytes();
    while (needed !== undefined && this.#bufferedBytes >= needed) {
      const bytes = this.#takeBytes(needed);
      const isWhole = needed === 4 + bytes.readUInt32BE(0);
      if (isWhole) {
        frames.push(decodeFrame(bytes.subarray(4), this.#strings));
      } else {
        this.#body = this.#startBody(bytes);
        rest = this.#readBody(this.#body, this.#takeBytes(), frames);
        if (rest.length > 0) this.#push(rest);
      }
      needed = this.#body === undefined ? this.#nextBytes() : undefined;
    }
    return frames;
  }

  #push(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
  }

  /** Bytes of the next frame, or of the head of a long one with a body. */
  #nextBytes(): number | undefined {
    if (this.#bufferedBytes < PREFIX_BYTES) return undefined;
    if (this.#chunks[0]!.length < PREFIX_BYTES) this.#joinChunks();
    const length = this.#chunks[0]!.readUInt32BE(0);
    if (length > MAX_FRAME_BYTES) {
      throw new Error(
        `Frame is too long: ${length} bytes, at most ${MAX_FRAME_BYTES} are accepted`,
      );
    }
    if (length <= LONG_FRAME_BYTES) return 4 + length;
    const headBytes = this.#chunks[0]!.readUInt32BE(4);
    return Math.min(4 + length, PREFIX_BYTES + headBytes);
  }

  #startBody(prefixAndHead: Buffer): IncomingBody {
    const length = 4 + prefixAndHead.readUInt32BE(0) - prefixAndHead.length;
    const frame = decodeHead(
      prefixAndHead.subarray(PREFIX_BYTES),
      EMPTY,
      this.#strings,
    );
    if (!("body" in frame)) throw new Error(`A ${frame.kind} has a body`);
    const isAccepted = this.#acceptBody(frame, length);
    return {
      frame,
      block: isAccepted ? allocateBody(length) : undefined,
      length,
      received: 0,
    };
  }

  /** Returns the bytes behind the body. */
  #readBody(body: IncomingBody, chunk: Buffer, frames: Frame[]): Buffer {
    const end = Math.min(chunk.length, body.length - body.received);
    if (body.block !== undefined) {
      copyToBody(chunk.subarray(0, end), body.block, body.received);
    }
    body.received += end;
    if (body.received === body.length) {
      this.#body = undefined;
      if (body.block !== undefined) {
        frames.push({ ...body.frame, body: body.block });
      }
    }
    return chunk.subarray(end);
  }

  #takeBytes(length = this.#bufferedBytes): Buffer {
    if (length === 0) return EMPTY;
    if (this.#chunks[0]!.length < length) this.#joinChunks();
    const first = this.#chunks[0]!;
    const rest = first.subarray(length);
    if (rest.length === 0) this.#chunks.shift();
    else this.#chunks[0] = rest;
    this.#bufferedBytes -= length;
    return first.subarray(0, length);
  }

  #joinChunks(): void {
    this.#chunks = [Buffer.concat(this.#chunks)];
  }
}
