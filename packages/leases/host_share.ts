/**
 * Time after the record of this host has appeared at a first start until it
 * accrues, in milliseconds. Hosts that start together know most of each other's
 * records by then.
 */
const FIRST_START_MS = 1_000;

/** Options of {@linkcode HostShare}. */
export interface HostShareOptions {
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /**
   * Time within which the other hosts count a new one, in milliseconds.
   */
  readonly propagationMs: number;
}

interface HostCount {
  readonly hosts: number;
  readonly at: number;
}

/**
 * Share of each limit that one host accrues, for fleets whose hosts join, leave
 * and restart, and learn of that at different times. The shares of all hosts add
 * up to at most 1: a host that has joined accrues nothing until all others have
 * counted it, and after hosts have left the shares of the others grow only when
 * those that left have surely stopped.
 *
 * Times are monotonic, in milliseconds.
 */
export class HostShare {
  readonly #options: HostShareOptions;
  /** Oldest first; a count applies until the next one. */
  #counts: readonly HostCount[] = [];
  /** Time from which on this host accrues; undefined without a record. */
  #accruesFrom: number | undefined;
  #hasSeenRecords = false;
  #hasAccrued = false;

  /** @param options Start and propagation time. */
  constructor(options: HostShareOptions) {
    this.#options = options;
  }

  /**
   * Records the known records of hosts.
   *
   * @param hosts Number of hosts that have a record.
   * @param hasOwnRecord Whether this host is one of them.
   */
  update(hosts: number, hasOwnRecord: boolean, now: number): void {
    if (hosts > 0) this.#updateOwn(hasOwnRecord, now);
    const oldest = now - this.#options.propagationMs;
    if (this.#counts.at(-1)?.hosts !== hosts) {
      this.#counts = [...this.#counts, { hosts, at: now }];
    }
    this.#counts = this.#counts.filter((_, index) =>
      (this.#counts[index + 1]?.at ?? now) >= oldest
    );
  }

  /** Records that there are no records yet, so that none was there before. */
  recordNoRecords(): void {
    this.#hasSeenRecords = true;
  }

  /** Greatest number of hosts that were counted lately; at least 1. */
  get hosts(): number {
    return Math.max(1, ...this.#counts.map(({ hosts }) => hosts));
  }

  /** Share of each limit that this host accrues at present, 0 to 1. */
  accrual(now: number): number {
    const from = this.#accruesFrom;
    return from === undefined || now < from ? 0 : 1 / this.hosts;
  }

  #updateOwn(hasOwnRecord: boolean, now: number): void {
    const isFirst = !this.#hasSeenRecords;
    this.#hasSeenRecords = true;
    if (!hasOwnRecord) {
      this.#accruesFrom = undefined;
      return;
    }
    if (this.#accruesFrom !== undefined) return;
    this.#accruesFrom = now + this.#delayMs(isFirst);
    this.#hasAccrued = true;
  }

  // A record that was there from the start is one of an earlier process, and the
  // others have counted it.
  #delayMs(wasThereBefore: boolean): number {
    const { isFirstStart, propagationMs } = this.#options;
    if (isFirstStart && !this.#hasAccrued) return FIRST_START_MS;
    return wasThereBefore ? 0 : propagationMs;
  }
}
