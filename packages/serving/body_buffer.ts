/**
 * Size of the first block of a body of unknown length, in bytes. Such bodies are
 * small mostly.
 */
const FIRST_BLOCK_BYTES = 4_096;

/** Size up to which a block doubles when it is full, in bytes. */
const MAX_DOUBLED_BYTES = 1_048_576;

/**
 * Factor by which a larger block grows. Hardly anything is then copied twice, and
 * the part that is not written yet occupies no memory.
 */
const LARGE_GROWTH_FACTOR = 16;

/** Options of {@linkcode BodyBuffer}. */
export interface BodyBufferOptions {
  /** Length of the complete body in bytes; undefined if it is not known. */
  readonly length?: number;
  /** Maximum length in bytes, if the length is not known. */
  readonly maxLength: number;
}

/**
 * Collects the chunks of a body in one block, so that its memory follows the bytes
 * and not the number of chunks, and nothing is joined at the end. The system
 * provides the memory of a large block only as it is written.
 */
export class BodyBuffer {
  readonly #options: BodyBufferOptions;
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

  /** Bytes so far; they remain valid when others are added. */
  get bytes(): Buffer {
    return this.#block?.subarray(0, this.#length) ?? Buffer.alloc(0);
  }

  /**
   * Adds a chunk.
   *
   * @throws {RangeError} If the body would be longer than its length.
   */
  add(chunk: Buffer): void {
    const length = this.#length + chunk.length;
    const { length: known, maxLength } = this.#options;
    if (length > (known ?? maxLength)) {
      throw new RangeError("Body is longer than stated");
    }
    if (chunk.length === 0) return;
    if (chunk.length === (known ?? maxLength)) {
      this.#block = chunk;
    } else {
      this.#reserve(length);
      chunk.copy(this.#block!, this.#length);
    }
    this.#length = length;
  }

  /** Frees the bytes. */
  clear(): void {
    this.#block = undefined;
    this.#length = 0;
  }

  #reserve(length: number): void {
    const size = this.#block?.length ?? 0;
    if (size >= length) return;
    const { length: known, maxLength } = this.#options;
    const factor = size < MAX_DOUBLED_BYTES ? 2 : LARGE_GROWTH_FACTOR;
    const wanted = Math.max(FIRST_BLOCK_BYTES, factor * size, length);
    const block = Buffer.allocUnsafeSlow(known ?? Math.min(wanted, maxLength));
    this.#block?.copy(block, 0, 0, this.#length);
    this.#block = block;
  }
}
