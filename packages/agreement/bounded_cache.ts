/**
 * Cache with a bounded number of entries in two generations. When the young
 * generation is full, it replaces the old one, whose remaining entries are
 * evicted. Reading an entry of the old generation moves it to the young one.
 * Reads and writes take constant time.
 */
export class BoundedCache<Value> {
  readonly #generationSize: number;
  #young = new Map<string, Value>();
  #old = new Map<string, Value>();

  /** @param capacity Maximum number of entries, at least 2. */
  constructor(capacity: number) {
    this.#generationSize = Math.max(1, Math.floor(capacity / 2));
  }

  /** Number of cached entries. */
  get size(): number {
    return this.#young.size + this.#old.size;
  }

  /** Returns an entry and moves it to the young generation. */
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
