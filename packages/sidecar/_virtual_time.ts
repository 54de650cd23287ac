interface Timer {
  readonly dueAt: number;
  readonly order: number;
  callback: (() => void) | undefined;
}

/**
 * Virtual time for replays with several thousand timers at once, for which the
 * fake timers of vitest take too long. It replaces the timers, the steady clock
 * and the random numbers of the process until it is closed.
 */
export class VirtualTime {
  /** Binary heap of timers, by time and order of creation. */
  readonly #heap: Timer[] = [];
  readonly #restore: () => void;
  #now = 0;
  #timers = 0;

  /** @param random Returns a random number from 0 to 1. */
  constructor(random: () => number) {
    const { clearTimeout, setTimeout } = globalThis;
    const now = performance.now;
    const systemRandom = Math.random;
    this.#restore = () => {
      Object.assign(globalThis, { clearTimeout, setTimeout });
      performance.now = now;
      Math.random = systemRandom;
    };
    Object.assign(globalThis, {
      setTimeout: (callback: () => void, delayMs = 0) =>
        this.#add(callback, delayMs),
      clearTimeout: (timer: Timer | undefined) => {
        if (timer !== undefined) timer.callback = undefined;
      },
    });
    performance.now = () => this.#now;
    Math.random = random;
  }

  /** Restores what was replaced. */
  close(): void {
    this.#restore();
  }

  /** Runs all timers that are due up to a time, in milliseconds. */
  runUntil(endMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.dueAt <= endMs) {
      const { callback, dueAt } = this.#takeFirst();
      if (callback === undefined) continue;
      this.#now = dueAt;
      callback();
    }
    this.#now = endMs;
  }

  #add(callback: () => void, delayMs: number): unknown {
    const timer = {
      dueAt: this.#now + Math.max(0, delayMs),
      order: this.#timers++,
      callback,
      unref: () => timer,
    };
    let index = this.#heap.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, this.#heap[parent]!)) break;
      this.#heap[index] = this.#heap[parent]!;
      index = parent;
    }
    this.#heap[index] = timer;
    return timer;
  }

  #takeFirst(): Timer {
    const first = this.#heap[0]!;
    const last = this.#heap.pop()!;
    const { length } = this.#heap;
    if (length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= length) break;
      if (
        child + 1 < length &&
        isBefore(this.#heap[child + 1]!, this.#heap[child]!)
      ) child++;
      if (!isBefore(this.#heap[child]!, last)) break;
      this.#heap[index] = this.#heap[child]!;
      index = child;
    }
    this.#heap[index] = last;
    return first;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.order < b.order);
}
