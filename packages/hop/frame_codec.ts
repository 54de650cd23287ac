import { asList } from "./_fields.ts";
import { packHead, unpackHead } from "./_frame_head.ts";
import { allocateBody, copyToBody } from "./body_block.ts";
import type { Frame } from "./frame.ts";
import { StringTableDecoder, StringTableEncoder } from "./string_table.ts";

/**
 * Size of the prefix of a frame in bytes: length of the rest of the frame and
 * length of its head, 4 bytes each.
 */
const PREFIX_BYTES = 8;

/** Maximum length of a received frame in bytes; a longer one closes the link. */
export const MAX_FRAME_BYTES = 80 * 1024 * 1024;

/**
 * Length in bytes above which the body of a received frame is announced, and is
 * collected in one block.
 */
const LONG_FRAME_BYTES = 65_536;

const EMPTY = Buffer.alloc(0);

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
