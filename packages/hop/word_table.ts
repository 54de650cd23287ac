/** Words that each side of a link remembers. */
const REMEMBERED_WORDS = 256;

/** Longest word that is remembered, in UTF-16 code units. */
const MAX_WORD_LENGTH = 200;

/** Words seen once that a writer keeps in mind before it forgets them all. */
const MAX_CANDIDATES = 512;

/**
 * Form of a word on a link: the number of a remembered word, a word in a list
 * that the reader is to remember, or a plain word.
 */
export type PackedWord = number | readonly [string] | string;

/**
 * Replaces words that come again on a link, such as names of header fields, by
 * numbers. A word is remembered when it is written for the second time; the
 * oldest one is then forgotten.
 */
export class WordWriter {
  readonly #numbers = new Map<string, number>();
  readonly #words: string[] = [];
  readonly #candidates = new Set<string>();
  #next = 0;

  /** Packs the next word of the link. */
  pack(word: string): PackedWord {
    const number = this.#numbers.get(word);
    if (number !== undefined) return number;
    if (word.length > MAX_WORD_LENGTH) return word;
    if (!this.#candidates.delete(word)) {
      if (this.#candidates.size >= MAX_CANDIDATES) this.#candidates.clear();
      this.#candidates.add(word);
      return word;
    }
    const replaced = this.#words[this.#next];
    if (replaced !== undefined) this.#numbers.delete(replaced);
    this.#words[this.#next] = word;
    this.#numbers.set(word, this.#next);
    this.#next = (this.#next + 1) % REMEMBERED_WORDS;
    return [word];
  }
}

/** Restores the words of a {@linkcode WordWriter} on the other side. */
export class WordReader {
  readonly #words: string[] = [];
  #next = 0;

  /**
   * Unpacks the next word of the link.
   *
   * @throws {Error} If a number stands for no word.
   */
  unpack(packed: PackedWord): string {
    if (typeof packed === "string") return packed;
    if (typeof packed === "number") {
      const word = this.#words[packed];
      if (word === undefined) throw new Error(`Unknown word ${packed}`);
      return word;
    }
    const [word] = packed;
    this.#words[this.#next] = word;
    this.#next = (this.#next + 1) % REMEMBERED_WORDS;
    return word;
  }
}
