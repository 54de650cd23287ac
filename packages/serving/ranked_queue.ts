/** First-in first-out queues by rank; the lowest rank is taken first. */
export class RankedQueue<Entry extends { readonly rank: number }> {
  readonly #queues: Entry[][] = [];
  #length = 0;

  /** Number of entries. */
  get length(): number {
    return this.#length;
  }

  /** Number of entries that are taken before a new one of a rank. */
  lengthBefore(rank: number): number {
    let count = 0;
    this.#queues.forEach((queue, index) => {
      if (index <= rank) count += queue.length;
    });
    return count;
  }

  /** Appends an entry. */
  push(entry: Entry): void {
    while (this.#queues.length <= entry.rank) this.#queues.push([]);
    this.#queues[entry.rank]!.push(entry);
    this.#length++;
  }

  /** Takes the next entry. */
  shift(): Entry | undefined {
    const queue = this.#queues.find((entries) => entries.length > 0);
    if (queue === undefined) return undefined;
    this.#length--;
    return queue.shift();
  }

  /** Removes an entry, wherever it is. */
  remove(entry: Entry): boolean {
    const queue = this.#queues[entry.rank] ?? [];
    const index = queue.indexOf(entry);
    if (index < 0) return false;
    queue.splice(index, 1);
    this.#length--;
    return true;
  }

  /** Takes all entries. */
  drain(): readonly Entry[] {
    const entries = this.#queues.flat();
    this.#queues.length = 0;
    this.#length = 0;
    return entries;
  }
}
