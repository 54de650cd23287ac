/**
 * Map with a bounded number of entries in two generations. When the younger
 * generation is full, it replaces the older one, whose entries are dropped
 * unless they were read since. Reading and writing take constant time.
 */
export class BoundedCache<Value> {
  readonly #generationSize: number;
  #young = new Map<string, Value>();
  #old = new Map<string, Value>();

  /** @param capacity Greatest number of entries. */
  constructor(capacity: number) {
    this.#generationSize = Math.max(1, Math.floor(capacity / 2));
  }

  /** Number of entries. */
  get size(): number {
    return this.#young.size + this.#old.size;
  }

  /** Finds an entry and keeps it for another generation. */
  get(key: string): Value | undefined {
    const young = this.#young.get(key);
    if (young !== undefined) return young;
    const old = this.#old.get(key);
    if (old !== undefined) {
      this.#old.delete(key);
      this.set(key, old);
    }
    return old;
  }

  /** Adds or replaces an entry. */
  set(key: string, value: Value): void {
    if (this.#young.size >= this.#generationSize) {
      this.#old = this.#young;
      this.#young = new Map();
    }
    this.#young.set(key, value);
  }
}
