/** Events in virtual time, ordered by a binary heap. */
export class EventQueue {
  readonly #times: number[] = [];
  readonly #events: (() => void)[] = [];
  #now = 0;

  /** Virtual time, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Schedules an event after a time in milliseconds. */
  after(delayMs: number, event: () => void): void {
    const times = this.#times;
    const events = this.#events;
    const at = this.#now + delayMs;
    let index = times.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (times[parent]! <= at) break;
      times[index] = times[parent]!;
      events[index] = events[parent]!;
      index = parent;
    }
    times[index] = at;
    events[index] = event;
  }

  /** Runs the events up to a time, in milliseconds. */
  runUntil(endMs: number): void {
    while (this.#times.length > 0 && this.#times[0]! <= endMs) {
      this.#now = this.#times[0]!;
      this.#takeFirst()();
    }
  }

  #takeFirst(): () => void {
    const times = this.#times;
    const events = this.#events;
    const first = events[0]!;
    const at = times.pop()!;
    const event = events.pop()!;
    const { length } = times;
    if (length === 0) return first;
    let index = 0;
    for (let child = 1; child < length; child = 2 * index + 1) {
      if (child + 1 < length && times[child + 1]! < times[child]!) child++;
      if (times[child]! >= at) break;
      times[index] = times[child]!;
      events[index] = events[child]!;
      index = child;
    }
    times[index] = at;
    events[index] = event;
    return first;
  }
}
