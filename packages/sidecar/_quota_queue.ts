import type { TakenToken, TokenShare } from "@oleanderdeck/leases";
import type { QuotaClaim, QuotaRequest } from "@oleanderdeck/calling";

/** Longest wait of a request for a token, in milliseconds. */
const MAX_WAIT_MS = 250;

/** Least number of requests of an organisation that may wait. */
const MIN_WAITING = 2;

/** Limits of the retry delays of refused requests, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 5_000;

/**
 * Requests a second that a host counts on at least for the retry delays. Without
 * recent requests it does not know what the brokers would grant.
 */
const MIN_SERVED_PER_SECOND = 1;

/** Time over which the served requests are averaged, in milliseconds. */
const SERVED_MEMORY_MS = 2_000;

/** Request that waits for a token or has one. */
export interface QueuedClaim extends QuotaClaim {
  readonly request: QuotaRequest;
  readonly deadline: number;
  token: TakenToken | undefined;
}

/**
 * Requests of one organisation at one host that wait for tokens, in the order of
 * their arrival. Their number is limited to what the limit allows within the
 * longest wait; requests beyond it are refused at once.
 */
export class QuotaQueue {
  readonly share: TokenShare;
  readonly #waiting = new Set<QueuedClaim>();
  #served = 0;
  #servedAt: number;
  /** Time at which the capacity for all refused requests is used up. */
  #promisedUntil = -Infinity;
  /** Requests refused since they were last reported. */
  refused = 0;
  /** Time at which refused requests were last reported. */
  reportedAt = -Infinity;

  /** @param share Tokens of the organisation at this host. */
  constructor(share: TokenShare, now: number) {
    this.share = share;
    this.#servedAt = now;
  }

  /** Number of requests that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Whether another request may wait. */
  get hasRoom(): boolean {
    const { ratePerSecond } = this.share.limit;
    const max = Math.ceil(ratePerSecond * MAX_WAIT_MS / 1_000);
    return this.size < Math.max(MIN_WAITING, max);
  }

  /** Creates the claim of a request that has arrived. */
  open(request: QuotaRequest, now: number): QueuedClaim {
    this.share.recordArrival(now);
    const claim: QueuedClaim = {
      request,
      deadline: now + Math.min(MAX_WAIT_MS, request.maxWaitMs),
      token: undefined,
      release: () => undefined,
    };
    return claim;
  }

  /**
   * Takes a token for a request, unless others wait or there is none.
   *
   * @returns Whether it has one.
   */
  tryTake(claim: QueuedClaim, now: number): boolean {
    if (this.size > 0 && !this.#isNext(claim)) return false;
    claim.token = this.share.take(now);
    if (claim.token === undefined) return false;
    this.#waiting.delete(claim);
    this.#served = this.#decayedServed(now) + 1;
    this.#servedAt = now;
    return true;
  }

  /** Lets a request wait. */
  add(claim: QueuedClaim): void {
    this.#waiting.add(claim);
  }

  /** Removes a request that no longer waits. */
  remove(claim: QueuedClaim): void {
    this.#waiting.delete(claim);
  }

  /** Takes tokens for the waiting requests, as far as there are any. */
  takeServed(now: number): readonly QueuedClaim[] {
    return [...this.#waiting].filter((claim) => this.tryTake(claim, now));
  }

  /** Removes the requests that have waited for long enough. */
  takeExpired(now: number): readonly QueuedClaim[] {
    const expired = [...this.#waiting].filter(({ deadline }) =>
      deadline <= now
    );
    expired.forEach((claim) => this.#waiting.delete(claim));
    return expired;
  }

  /** Earliest end of the wait of a request; infinite if none waits. */
  get nextDeadline(): number {
    return Math.min(...[...this.#waiting].map(({ deadline }) => deadline));
  }

  /**
   * Returns the time after which there is capacity for a refused request, in
   * milliseconds. Each one is told a later time than those refused before it, at
   * the rate that this host gives tokens.
   */
  retryAfterMs(now: number): number {
    const latest = now + MAX_RETRY_AFTER_MS;
    const from = Math.max(now, this.#promisedUntil);
    this.#promisedUntil = Math.min(latest, from + 1_000 / this.#rate(now));
    return Math.max(MIN_RETRY_AFTER_MS, this.#promisedUntil - now);
  }

  #isNext(claim: QueuedClaim): boolean {
    const [next] = this.#waiting;
    return next === claim;
  }

  #rate(now: number): number {
    const served = this.#decayedServed(now) * 1_000 / SERVED_MEMORY_MS;
    const { accrualPerSecond, limit } = this.share;
    const least = Math.min(MIN_SERVED_PER_SECOND, limit.ratePerSecond);
    return Math.max(served, accrualPerSecond, least);
  }

  #decayedServed(now: number): number {
    return this.#served *
      Math.exp(-Math.max(0, now - this.#servedAt) / SERVED_MEMORY_MS);
  }
}
