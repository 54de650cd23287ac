/** Length from which a body gets pages of its own, in bytes. */
const MIN_OWN_PAGES_BYTES = 131_072;

/** Copied bytes after which the memory of their chunks is collected. */
const MAX_UNCOLLECTED_BYTES = 8_388_608;

/** Bytes of chunks of this process that were copied since the last collection. */
let uncollectedBytes = 0;

/**
 * Returns a block for a body. A long one has pages of its own, which the system
 * provides as they are written and gets back with the block; the usual allocator
 * would keep them for later blocks, and splits them for small ones.
 *
 * @param length Length in bytes.
 */
export function allocateBody(length: number): Buffer {
  if (length < MIN_OWN_PAGES_BYTES) return Buffer.allocUnsafeSlow(length);
  // Only a resizable buffer is not taken from the usual allocator.
  const pages = new ArrayBuffer(length, { maxByteLength: length });
  return Buffer.from(pages, 0, length);
}

/**
 * Returns the pages of a body to the system at once, not only when its block is
 * collected. Has no effect on a block without pages of its own.
 *
 * @param body Body that nothing reads or writes any more, the system included.
 */
export function freeBody({ buffer }: Buffer): void {
  if (buffer instanceof ArrayBuffer && buffer.resizable) buffer.resize(0);
}

/**
 * Copies the next chunk of a body to its block. The memory of the chunks, which
 * Node.js does not count as its own, is collected after some of them.
 *
 * @returns Number of bytes that were copied.
 */
export function copyToBody(
  chunk: Buffer,
  block: Buffer,
  position: number,
): number {
  const bytes = chunk.copy(block, position);
  uncollectedBytes += bytes;
  if (uncollectedBytes > MAX_UNCOLLECTED_BYTES) {
    uncollectedBytes = 0;
    // Only with the option --expose-gc, as in the deploy file.
    globalThis.gc?.({ type: "minor" });
  }
  return bytes;
}
