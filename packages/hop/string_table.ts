/** Strings that each side of a link remembers. */
const REMEMBERED_STRINGS = 256;

/** Longest string that is remembered, in UTF-16 code units. */
const MAX_STRING_LENGTH = 200;

/** Strings seen once that an encoder keeps in mind before it forgets them all. */
const MAX_CANDIDATES = 512;

/**
 * Form of a string on a link: the number of a remembered string, a string in a
 * list that the decoder is to remember, or a plain string.
 */
export type EncodedString = number | readonly [string] | string;

/**
 * Replaces strings that come again on a link, such as names of header fields,
 * by numbers. A string is remembered when it is written for the second time;
 * the oldest one is then forgotten.
 */
export class StringTableEncoder {
  readonly #numbers = new Map<string, number>();
  readonly #strings: string[] = [];
  readonly #candidates = new Set<string>();
  #next = 0;

  /** Packs the next string of the link. */
  pack(text: string): EncodedString {
    const number = this.#numbers.get(text);
    if (number !== undefined) return number;
    if (text.length > MAX_STRING_LENGTH) return text;
    if (!this.#candidates.delete(text)) {
      if (this.#candidates.size >= MAX_CANDIDATES) this.#candidates.clear();
      this.#candidates.add(text);
      return text;
    }
    const replaced = this.#strings[this.#next];
    if (replaced !== undefined) this.#numbers.delete(replaced);
    this.#strings[this.#next] = text;
    this.#numbers.set(text, this.#next);
    this.#next = (this.#next + 1) % REMEMBERED_STRINGS;
    return [text];
  }
}

/** Restores the strings of a {@linkcode StringTableEncoder} on the other side. */
export class StringTableDecoder {
  readonly #strings: string[] = [];
  #next = 0;

  /**
   * Unpacks the next string of the link.
   *
   * @throws {Error} If a number stands for no string.
   */
  unpack(packed: EncodedString): string {
    if (typeof packed === "string") return packed;
    if (typeof packed === "number") {
      const text = this.#strings[packed];
      if (text === undefined) throw new Error(`Unknown word ${packed}`);
      return text;
    }
    const [text] = packed;
    this.#strings[this.#next] = text;
    this.#next = (this.#next + 1) % REMEMBERED_STRINGS;
    return text;
  }
}
