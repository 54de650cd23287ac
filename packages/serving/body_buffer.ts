import { allocateBody, copyToBody } from "@oleanderdeck/hop";

/** Usual value of {@linkcode BodyBufferOptions.maxJoinedLength}, in bytes. */
const MAX_JOINED_BYTES = 4_194_304;

/** Factor by which the block of a long body of unknown length grows. */
const BLOCK_GROWTH_FACTOR = 16;

/** Length from which a chunk is kept as it is, in bytes. */
const LARGE_CHUNK_BYTES = 8_192;

/** Greatest length of the buffer of a chunk that is kept, in lengths of the chunk. */
const MAX_KEPT_FACTOR = 8;

/** Bounds of the size of a block into which small chunks are copied, in bytes. */
const MIN_PART_BYTES = 4_096;
const MAX_PART_BYTES = 1_048_576;

/** Length of a body from which all its chunks are copied, in bytes. */
const COPIED_BODY_BYTES = 262_144;

/** Options of {@linkcode BodyBuffer}. */
export interface BodyBufferOptions {
  /** Length of the complete body in bytes, if it is known and fits in. */
  readonly length?: number | undefined;
  /** Maximum length in bytes, if the length is not known. */
  readonly maxLength: number;
  /**
   * Length of a body of unknown length up to which its chunks are kept and joined
   * at the end, in bytes. A longer one is collected in one block, so that it is not
   * held twice.
   */
  readonly maxJoinedLength?: number;
}

/**
 * Collects the chunks of a body, so that its memory follows the bytes and not the
 * number of chunks. The system provides the memory of a large block only as it is
 * written.
 */
export class BodyBuffer {
  readonly #options: BodyBufferOptions;
  /** Chunks, and filled blocks of small chunks, in order. */
  #parts: Buffer[] = [];
  /** Block that small chunks are copied into, behind the parts. */
  #open: Buffer | undefined;
  #openLength = 0;
  /** Block with all bytes, in place of the parts. */
  #block: Buffer | undefined;
  #length = 0;

  /** @param options Known or maximum length. */
  constructor(options: BodyBufferOptions) {
    this.#options = options;
  }

  /** Number of bytes so far. */
  get length(): number {
    return this.#length;
  }

  /** Bytes so far. */
  get bytes(): Buffer {
    if (this.#block === undefined) {
      this.#closePart();
      this.#block = this.#parts.length === 1
        ? this.#parts[0]!
        : copyParts(this.#parts, allocateBody(this.#length));
      this.#parts = [];
    }
    return this.#block.subarray(0, this.#length);
  }

  /**
   * Adds a chunk.
   *
   * @throws {RangeError} If the body would be longer than its length.
   */
  add(chunk: Buffer): void {
    if (chunk.length === 0) return;
    const length = this.#length + chunk.length;
    const { length: known, maxLength } = this.#options;
    const { maxJoinedLength = MAX_JOINED_BYTES } = this.#options;
    if (length > (known ?? maxLength)) {
      throw new RangeError("Body is longer than stated");
    }
    if (chunk.length === (known ?? maxLength)) this.#block = chunk;
    else if (known !== undefined) this.#copyToBlock(chunk, known);
    else if (length > maxJoinedLength || this.#block !== undefined) {
      this.#copyToBlock(chunk, BLOCK_GROWTH_FACTOR * this.#length);
    } else this.#addPart(chunk);
    this.#length = length;
  }

  /** Frees the bytes. */
  clear(): void {
    this.#parts = [];
    this.#open = undefined;
    this.#openLength = 0;
    this.#block = undefined;
    this.#length = 0;
  }

  #copyToBlock(chunk: Buffer, wantedSize: number): void {
    const length = this.#length + chunk.length;
    if (this.#block === undefined || this.#block.length < length) {
      const { length: known, maxLength } = this.#options;
      const size = Math.min(Math.max(wantedSize, length), known ?? maxLength);
      const block = allocateBody(size);
      this.#closePart();
      const parts = this.#block === undefined
        ? this.#parts
        : [this.#block.subarray(0, this.#length)];
      copyParts(parts, block);
      this.#parts = [];
      this.#block = block;
    }
    copyToBody(chunk, this.#block, this.#length);
  }

  #addPart(chunk: Buffer): void {
    // A view of a much larger buffer would keep all of that.
    const isOwn = MAX_KEPT_FACTOR * chunk.length >= chunk.buffer.byteLength;
    const isKept = chunk.length >= LARGE_CHUNK_BYTES && isOwn &&
      this.#length < COPIED_BODY_BYTES;
    if (isKept) {
      this.#closePart();
      this.#parts.push(chunk);
      return;
    }
    const room = (this.#open?.length ?? 0) - this.#openLength;
    if (room < chunk.length) {
      this.#closePart();
      const size = Math.min(this.#length, MAX_PART_BYTES);
      this.#open = allocateBody(Math.max(MIN_PART_BYTES, size, chunk.length));
    }
    this.#openLength += copyToBody(chunk, this.#open!, this.#openLength);
  }

  #closePart(): void {
    if (this.#open === undefined) return;
    this.#parts.push(this.#open.subarray(0, this.#openLength));
    this.#open = undefined;
    this.#openLength = 0;
  }
}

function copyParts(parts: readonly Buffer[], block: Buffer): Buffer {
  parts.reduce((at, part) => at + part.copy(block, at), 0);
  return block;
}
