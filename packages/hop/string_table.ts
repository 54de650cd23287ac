/** Number of strings in the table of each side of a link. */
const TABLE_ENTRIES = 256;

/** Longest string that is stored in the table, in UTF-16 code units. */
const MAX_STRING_LENGTH = 200;

/**
 * Maximum number of candidates, which are strings that an encoder has sent once.
 * When it is reached, the encoder discards all candidates.
 */
const MAX_CANDIDATES = 512;

/**
 * String as sent on a link: the number of a string in the table, a list with one
 * string that the decoder adds to its table, or a plain string.
 */
export type EncodedString = number | readonly [string] | string;

/**
 * Replaces strings that recur on a link, such as names of header fields, by
 * numbers. A string enters the table when it is sent for the second time; if the
 * table is full, it replaces the oldest string.
 */
export class StringTableEncoder {
  readonly #numbers = new Map<string, number>();
  readonly #strings: string[] = [];
  readonly #candidates = new Set<string>();
  #nextNumber = 0;

  /** Encodes the next string sent on the link. */
  pack(text: string): EncodedString {
    const number = this.#numbers.get(text);
    if (number !== undefined) return number;
    if (text.length > MAX_STRING_LENGTH) return text;
    if (!this.#candidates.delete(text)) {
      if (this.#candidates.size >= MAX_CANDIDATES) this.#candidates.clear();
      this.#candidates.add(text);
      return text;
    }
    const replaced = this.#strings[this.#nextNumber];
    if (replaced !== undefined) this.#numbers.delete(replaced);
    this.#strings[this.#nextNumber] = text;
    this.#numbers.set(text, this.#nextNumber);
    this.#nextNumber = (this.#nextNumber + 1) % TABLE_ENTRIES;
    return [text];
  }
}

/** Decodes the strings of the peer's {@linkcode StringTableEncoder}. */
export class StringTableDecoder {
  readonly #strings: string[] = [];
  #nextNumber = 0;

  /**
   * Decodes the next string received on the link.
   *
   * @param packed String as the peer's encoder packed it.
   * @throws {Error} If it is no packed string or refers to no string in the
   * table.
   */
  unpack(packed: unknown): string {
    if (typeof packed === "string") return packed;
    if (typeof packed === "number") {
      const text = this.#strings[packed];
      if (text === undefined) {
        throw new Error(`Unknown string number ${packed}`);
      }
      return text;
    }
    const text = Array.isArray(packed) ? packed[0] : undefined;
    if (typeof text !== "string") throw new Error("Malformed packed string");
    this.#strings[this.#nextNumber] = text;
    this.#nextNumber = (this.#nextNumber + 1) % TABLE_ENTRIES;
    return text;
  }
}
