import type { Priority } from "@oleanderdeck/agreement";
import type { AdmissionRequest } from "./admission_control.ts";

/** Attempt that waits for a slot. */
export interface WaitingAttempt {
  readonly request: AdmissionRequest;
  readonly enqueuedAt: number;
}

/** Work of one organisation within one priority of a service. */
interface Account<Entry extends WaitingAttempt> {
  readonly organisation: string;
  readonly waiting: Entry[];
  running: number;
  /** Decayed number of starts per weight; decides between equal accounts. */
  weightedStarts: number;
}

/** Decay of start counts per round, so that old work is forgotten. */
const START_DECAY = 0.9;

/**
 * Wait queue of a service: strict priority, and weighted max-min over
 * organisations by work in progress within a priority.
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

  /** @param weight Weight of an organisation, above 0. */
  constructor(weight: (organisation: string) => number) {
    this.#weight = weight;
  }

  /** Number of waiting attempts. */
  get length(): number {
    return this.#length;
  }

  /** Number of waiting attempts that are served before a new one. */
  lengthBefore(priority: Priority): number {
    let count = 0;
    for (let rank = 0; rank <= priority; rank++) {
      for (const account of this.#accounts[rank]!.values()) {
        count += account.waiting.length;
      }
    }
    return count;
  }

  /** Number of waiting attempts of a request's priority and organisation. */
  waiting({ priority, organisation }: AdmissionRequest): number {
    return this.#accounts[priority]!.get(organisation)?.waiting.length ?? 0;
  }

  /** Calls in progress of an organisation over all priorities. */
  running(organisation: string): number {
    return this.#accounts.reduce(
      (sum, accounts) => sum + (accounts.get(organisation)?.running ?? 0),
      0,
    );
  }

  /** Organisations with work, for shares. */
  organisations(): Set<string> {
    return new Set(this.#accounts.flatMap((accounts) => [...accounts.keys()]));
  }

  /** Calls `visit` with the work of each priority and organisation. */
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

  /** Appends an attempt. */
  push(entry: Entry): void {
    this.#account(entry.request).waiting.push(entry);
    this.#length += 1;
  }

  /** The attempt to serve next; it stays in the queue. */
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

  /** Age of the oldest waiting attempt by priority. */
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

  /** All waiting attempts. */
  *entries(): Iterable<Entry> {
    for (const accounts of this.#accounts) {
      for (const account of accounts.values()) yield* account.waiting;
    }
  }

  /** Removes a waiting attempt. */
  remove(entry: Entry): boolean {
    const account = this.#account(entry.request);
    const index = account.waiting.indexOf(entry);
    if (index < 0) return false;
    account.waiting.splice(index, 1);
    this.#length -= 1;
    return true;
  }

  /**
   * Finds the waiting attempt that gives way to a new one: the last one of the
   * longest queue within the least important priority.
   *
   * @returns undefined when the new attempt itself is the one to refuse.
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

  /** Counts a call that starts. */
  start(request: AdmissionRequest): void {
    const account = this.#account(request);
    account.running += 1;
    account.weightedStarts += 1 / this.#weight(request.organisation);
  }

  /** Counts a call that has ended. */
  finish(request: AdmissionRequest): void {
    this.#account(request).running -= 1;
  }

  /** Forgets old starts and organisations without work. */
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

  #backlog(account: Account<Entry>): number {
    return account.waiting.length / this.#weight(account.organisation);
  }

  #precedes(left: Account<Entry>, right: Account<Entry>): boolean {
    const leftWork = left.running / this.#weight(left.organisation);
    const rightWork = right.running / this.#weight(right.organisation);
    if (leftWork !== rightWork) return leftWork < rightWork;
    return left.weightedStarts < right.weightedStarts;
  }
}
