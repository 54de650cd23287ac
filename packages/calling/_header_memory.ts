/**
 * Memory of a header field besides its text, in bytes: two strings, and their places
 * in the lists and objects of Node.js and of this package.
 */
const FIELD_BYTES = 160;

const LINE_FEED = 0x0a;

/**
 * Returns the memory that the header of a request takes, in bytes.
 *
 * @param raw Names and values of the header fields in turn.
 */
export function headerBytes(raw: readonly string[]): number {
  return raw.reduce(
    (sum, { length }) => sum + length,
    FIELD_BYTES * raw.length / 2,
  );
}

/**
 * Returns the memory that the parser takes for a part of a header, or of trailers,
 * that is not complete, in bytes.
 */
export function headerPartBytes(part: Buffer): number {
  return part.length + FIELD_BYTES * countLines(part);
}

function countLines(part: Buffer): number {
  let count = 0;
  let end = part.indexOf(LINE_FEED);
  while (end >= 0) {
    count++;
    end = part.indexOf(LINE_FEED, end + 1);
  }
  return count;
}
