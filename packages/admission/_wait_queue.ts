import type { Priority } from "@oleanderdeck/agreement";
import type { AdmissionRequest } from "./admission_control.ts";

/** Attempt that waits for a slot. */
export interface WaitingAttempt {
  readonly request: AdmissionRequest;
  /** Time at which it was queued, in milliseconds on the node's clock. */
  readonly enqueuedAt: number;
}

/** Waiting and running calls of one organisation within one priority. */
interface Account<Entry extends WaitingAttempt> {
  readonly organisation: string;
  readonly waiting: Entry[];
  running: number;
  /**
   * Exponentially decayed number of starts, divided by the organisation's
   * weight. Decides between accounts with equal running calls per weight.
   */
  weightedStarts: number;
}

/** Factor by which start counts decay per interval. */
const START_DECAY = 0.9;

/**
 * Wait queue of a service. Priorities are served strictly in order. Within a
 * priority, the organisation with the fewest running calls per weight is served
 * first (weighted max-min fairness).
 */
export class WaitQueue<Entry extends WaitingAttempt> {
  readonly #weight: (organisation: string) => number;
  readonly #accounts: readonly Map<string, Account<Entry>>[] = [
    new Map(),
    new Map(),
    new Map(),
    new Map(),
  ];
  #length = 0;

  /** @param weight Returns the weight of an organisation, above 0. */
  constructor(weight: (organisation: string) => number) {
    this.#weight = weight;
  }

  /** Number of waiting attempts. */
  get length(): number {
    return this.#length;
  }

  /**
   * Returns the number of waiting attempts of a priority and of more important
   * ones, which are counted as served before a new attempt.
   */
  lengthBefore(priority: Priority): number {
    let count = 0;
    for (let rank = 0; rank <= priority; rank++) {
      for (const account of this.#accounts[rank]!.values()) {
        count += account.waiting.length;
      }
    }
    return count;
  }

  /** Returns the number of waiting attempts of a priority and organisation. */
  waiting({ priority, organisation }: AdmissionRequest): number {
    return this.#accounts[priority]!.get(organisation)?.waiting.length ?? 0;
  }

  /** Returns the number of running calls of an organisation. */
  running(organisation: string): number {
    return this.#accounts.reduce(
      (sum, accounts) => sum + (accounts.get(organisation)?.running ?? 0),
      0,
    );
  }

  /** Returns the organisations that have an account in any priority. */
  organisations(): Set<string> {
    return new Set(this.#accounts.flatMap((accounts) => [...accounts.keys()]));
  }

  /**
   * Calls `visit` with the number of running and waiting calls of each priority
   * and organisation.
   */
  forEach(
    visit: (priority: number, organisation: string, work: number) => void,
  ): void {
    this.#accounts.forEach((accounts, priority) => {
      for (const account of accounts.values()) {
        visit(
          priority,
          account.organisation,
          account.running + account.waiting.length,
        );
      }
    });
  }

  /** Adds an attempt at the end of its organisation's queue. */
  push(entry: Entry): void {
    this.#account(entry.request).waiting.push(entry);
    this.#length += 1;
  }

  /** Returns the attempt to serve next without removing it. */
  peek(): Entry | undefined {
    if (this.#length === 0) return undefined;
    for (const accounts of this.#accounts) {
      let best: Account<Entry> | undefined;
      for (const account of accounts.values()) {
        if (account.waiting.length === 0) continue;
        if (best === undefined || this.#precedes(account, best)) best = account;
      }
      if (best !== undefined) return best.waiting[0];
    }
    return undefined;
  }

  /**
   * Returns the age of the oldest waiting attempt by priority, in milliseconds;
   * undefined where none waits.
   */
  oldestAges(now: number): (number | undefined)[] {
    return this.#accounts.map((accounts) => {
      let oldest: number | undefined;
      for (const { waiting } of accounts.values()) {
        const first = waiting[0];
        if (first === undefined) continue;
        oldest = Math.min(oldest ?? Infinity, first.enqueuedAt);
      }
      return oldest === undefined ? undefined : now - oldest;
    });
  }

  /** Yields all waiting attempts. */
  *entries(): Iterable<Entry> {
    for (const accounts of this.#accounts) {
      for (const account of accounts.values()) yield* account.waiting;
    }
  }

  /**
   * Removes a waiting attempt.
   *
   * @returns Whether the attempt was in the queue.
   */
  remove(entry: Entry): boolean {
    const account = this.#account(entry.request);
    const index = account.waiting.indexOf(entry);
    if (index < 0) return false;
    account.waiting.splice(index, 1);
    this.#length -= 1;
    return true;
  }

  /**
   * Finds the waiting attempt to evict in favour of a new one: the last one of
   * the organisation with the longest queue per weight, within the least
   * important priority that has waiting attempts.
   *
   * @returns The attempt; undefined if the new attempt is the one to refuse.
   */
  evictionCandidate(request: AdmissionRequest): Entry | undefined {
    for (let rank = 3; rank >= request.priority; rank--) {
      let longest: Account<Entry> | undefined;
      for (const account of this.#accounts[rank]!.values()) {
        if (account.waiting.length === 0) continue;
        if (
          longest === undefined ||
          this.#backlog(account) > this.#backlog(longest)
        ) longest = account;
      }
      if (longest === undefined) continue;
      if (rank > request.priority) return longest.waiting.at(-1);
      const own = this.#account(request);
      const ownBacklog = (own.waiting.length + 1) /
        this.#weight(own.organisation);
      return this.#backlog(longest) > ownBacklog
        ? longest.waiting.at(-1)
        : undefined;
    }
    return undefined;
  }

  /** Counts the start of a call. */
  start(request: AdmissionRequest): void {
    const account = this.#account(request);
    account.running += 1;
    account.weightedStarts += 1 / this.#weight(request.organisation);
  }

  /** Counts the end of a call. */
  finish(request: AdmissionRequest): void {
    this.#account(request).running -= 1;
  }

  /** Decays the start counts and removes accounts without recent calls. */
  decay(): void {
    for (const accounts of this.#accounts) {
      for (const [organisation, account] of accounts) {
        account.weightedStarts *= START_DECAY;
        if (
          account.running === 0 && account.waiting.length === 0 &&
          account.weightedStarts < 0.01
        ) accounts.delete(organisation);
      }
    }
  }

  #account(request: AdmissionRequest): Account<Entry> {
    const accounts = this.#accounts[request.priority]!;
    let account = accounts.get(request.organisation);
    if (account === undefined) {
      account = {
        organisation: request.organisation,
        waiting: [],
        running: 0,
        weightedStarts: 0,
      };
      accounts.set(request.organisation, account);
    }
    return account;
  }

  /** Returns the number of waiting attempts per weight. */
  #backlog(account: Account<Entry>): number {
    return account.waiting.length / this.#weight(account.organisation);
  }

  /** Whether the first account is served before the second. */
  #precedes(left: Account<Entry>, right: Account<Entry>): boolean {
    const leftWork = left.running / this.#weight(left.organisation);
    const rightWork = right.running / this.#weight(right.organisation);
    if (leftWork !== rightWork) return leftWork < rightWork;
    return left.weightedStarts < right.weightedStarts;
  }
}
