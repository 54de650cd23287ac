/** Priority queue: the lowest rank first, first in first out within a rank. */
export class RankedQueue<Entry extends { readonly rank: number }> {
  readonly #queues: Entry[][] = [];
  #length = 0;

  /** Number of entries. */
  get length(): number {
    return this.#length;
  }

  /** Returns the number of entries ahead of a new entry of a rank. */
  lengthBefore(rank: number): number {
    let count = 0;
    this.#queues.forEach((queue, index) => {
      if (index <= rank) count += queue.length;
    });
    return count;
  }

  /** Adds an entry behind those of its rank. */
  push(entry: Entry): void {
    while (this.#queues.length <= entry.rank) this.#queues.push([]);
    this.#queues[entry.rank]!.push(entry);
    this.#length++;
  }

  /** Removes and returns the next entry; undefined if the queue is empty. */
  shift(): Entry | undefined {
    const queue = this.#queues.find((entries) => entries.length > 0);
    if (queue === undefined) return undefined;
    this.#length--;
    return queue.shift();
  }

  /** Removes an entry; returns whether the queue contained it. */
  remove(entry: Entry): boolean {
    const queue = this.#queues[entry.rank] ?? [];
    const index = queue.indexOf(entry);
    if (index < 0) return false;
    queue.splice(index, 1);
    this.#length--;
    return true;
  }

  /** Removes and returns all entries, by rank and age. */
  drain(): readonly Entry[] {
    const entries = this.#queues.flat();
    this.#queues.length = 0;
    this.#length = 0;
    return entries;
  }
}
