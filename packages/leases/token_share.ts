import {
  bucketTokens,
  GRANT_LIFETIME_MS,
  roundTokensDown,
  roundTokensUp,
  SILENCE_MS,
  type TokenLimit,
} from "./token_limits.ts";

/** Time over which the demand is averaged, in milliseconds. */
const DEMAND_MEMORY_MS = 2_000;

/** Time that tokens are asked for in advance, in milliseconds. */
const ADVANCE_MS = 500;

/**
 * Time after an unanswered request for tokens in which they are still expected,
 * in milliseconds. It covers a slow round trip between data centres.
 */
const EXPECTED_GRANT_MS = 200;

/**
 * Number of requests in {@linkcode ADVANCE_MS} from which tokens are asked for in
 * advance. Tokens for rarer requests would mostly expire unused.
 */
const MIN_ADVANCE = 1;

/** Smallest deposit that is worth its bytes. */
const MIN_DEPOSIT = 0.01;

/**
 * Parts of the bucket from which on a deposit is made, unless it is larger. They
 * are drawn at random, so that hosts which started together do not go on to
 * deposit together.
 */
const MIN_DEPOSIT_SHARE = 0.15;
const MAX_DEPOSIT_SHARE = 0.5;

/** Greatest deposit that waits for more, in tokens. */
const MAX_DELAYED_DEPOSIT = 0.5;

/** Size of a bucket from which on it keeps tokens for expected requests. */
const MIN_RESERVING_BUCKET = 2;

/**
 * Greatest part of a bucket that is kept, so that what accrues until the next
 * exchange has room.
 */
const MAX_RESERVE_SHARE = 0.5;

/** Smallest error of sums of fractions that is ignored, in tokens. */
const EPSILON = 1e-9;

/** Tokens of a grant that expire together. */
interface Grant {
  tokens: number;
  readonly expiresAt: number;
}

/** Token that was taken for one request. */
export interface TakenToken {
  /** Time at which it expires; infinite if it comes from the own bucket. */
  readonly expiresAt: number;
}

/** Deposit that the broker has not replied to. */
export interface OpenDeposit {
  readonly tokens: number;
  readonly sentAt: number;
}

/**
 * Tokens of one organisation's limit at one host, for requests that arrive at
 * many hosts in uneven and changing parts. The host accrues an equal share of
 * the rate into a bucket. It deposits at a broker what its recent demand does
 * not need, and asks the broker for what it lacks. Granted tokens expire.
 *
 * Times are monotonic, in milliseconds.
 */
export class TokenShare {
  #limit: TokenLimit;
  /** Share of the limit that this host accrues, 0 to 1. */
  #share = 0;
  #tokens = 0;
  #accruedAt: number;
  #grants: Grant[] = [];
  #openDeposits: OpenDeposit[] = [];
  /** Tokens asked for in requests without a reply, and when. */
  #asked: { readonly tokens: number; readonly at: number }[] = [];
  #demand = 0;
  #demandAt: number;
  readonly #random: () => number;
  /** Part of the bucket from which on the next deposit is made. */
  #depositShare: number;

  /**
   * @param limit Limit over all hosts.
   * @param now Current time.
   * @param random Returns a random number from 0 to 1.
   */
  constructor(limit: TokenLimit, now: number, random: () => number) {
    this.#limit = limit;
    this.#random = random;
    this.#depositShare = this.#drawDepositShare();
    this.#accruedAt = now;
    this.#demandAt = now;
  }

  /** Limit over all hosts. */
  get limit(): TokenLimit {
    return this.#limit;
  }

  /**
   * Changes the limit or the share of this host. Tokens beyond the new bucket
   * are dropped.
   *
   * @param limit Limit over all hosts.
   * @param share Share of the limit that this host accrues, 0 to 1.
   */
  update(limit: TokenLimit, share: number, now: number): void {
    this.#accrue(now);
    this.#limit = limit;
    this.#share = share;
    this.#accrue(now);
  }

  /** Time in which the bucket fills, in milliseconds. */
  get fillMs(): number {
    return bucketTokens(this.#limit) * 1_000 / this.#limit.ratePerSecond;
  }

  /** Tokens a second that this host accrues. */
  get accrualPerSecond(): number {
    return this.#ratePerMs * 1_000;
  }

  /** Records that a request has arrived. */
  recordArrival(now: number): void {
    this.#demand = this.#decayedDemand(now) + 1;
    this.#demandAt = now;
  }

  /** Recent requests a second. */
  demandPerSecond(now: number): number {
    return this.#decayedDemand(now) * 1_000 / DEMAND_MEMORY_MS;
  }

  /** Tokens that may be used now. */
  tokens(now: number): number {
    this.#accrue(now);
    return this.#tokens + this.#granted(now);
  }

  /** Takes a token for a request; undefined if there is none. */
  take(now: number): TakenToken | undefined {
    if (this.tokens(now) < 1 - EPSILON) return undefined;
    let missing = 1;
    let expiresAt = Infinity;
    for (const grant of this.#grants) {
      const used = Math.min(missing, grant.tokens);
      if (used > 0) expiresAt = Math.min(expiresAt, grant.expiresAt);
      grant.tokens -= used;
      missing -= used;
    }
    this.#tokens = Math.max(0, this.#tokens - missing);
    return { expiresAt };
  }

  /**
   * Gives back the token of a request that was refused as not run. One that was
   * granted still expires; one of the bucket is dropped if the bucket is full.
   */
  giveBack({ expiresAt }: TakenToken, now: number): void {
    this.#accrue(now);
    if (expiresAt === Infinity) {
      this.#tokens = Math.max(
        this.#tokens,
        Math.min(this.#capacity(now), this.#tokens + 1),
      );
    } else if (expiresAt > now) this.#grants.push({ tokens: 1, expiresAt });
  }

  /**
   * Adds granted tokens.
   *
   * @param sentAt Time at which the request for them was sent. A request or grant
   * that was under way for long makes the tokens expire earlier, not later.
   */
  addGrant(tokens: number, sentAt: number, now: number): void {
    const expiresAt = sentAt + GRANT_LIFETIME_MS;
    if (expiresAt <= now || tokens <= 0) return;
    this.#grants.push({ tokens, expiresAt });
    this.#grants.sort((a, b) => a.expiresAt - b.expiresAt);
  }

  /**
   * Returns the tokens to ask the broker for, for requests that wait and those
   * expected until the next exchange; 0 if none are needed.
   *
   * @param waiting Number of requests that wait for a token.
   */
  wanted(waiting: number, now: number): number {
    const held = this.tokens(now);
    const accrued = Math.min(
      this.#capacity(now) - this.#tokens,
      this.#ratePerMs * ADVANCE_MS,
    );
    // Requests that wait use what there is now; later ones also what accrues.
    const missing = Math.max(waiting, waiting + this.#advance(now) - accrued) -
      held -
      this.#expected(now);
    return missing > EPSILON ? roundTokensUp(missing) : 0;
  }

  /** Records that tokens were asked for. */
  recordAsked(tokens: number, now: number): void {
    this.#asked.push({ tokens, at: now });
  }

  /** Records the reply to all requests up to the one sent at a time. */
  recordReply(sentAt: number): void {
    this.#asked = this.#asked.filter(({ at }) => at > sentAt);
  }

  /**
   * Takes the tokens out of the bucket that the recent demand does not need.
   *
   * @returns Deposit to send; undefined if it would be too small.
   */
  deposit(now: number): OpenDeposit | undefined {
    this.#accrue(now);
    const tokens = roundTokensDown(this.#tokens - this.#reserve(now));
    const worth = Math.min(
      MAX_DELAYED_DEPOSIT,
      this.#capacity(now) * this.#depositShare,
    );
    if (tokens < Math.max(MIN_DEPOSIT, worth)) return undefined;
    const deposit: OpenDeposit = { tokens, sentAt: now };
    this.#tokens -= tokens;
    this.#depositShare = this.#drawDepositShare();
    this.#openDeposits.push(deposit);
    return deposit;
  }

  /** Records that the broker has received a deposit. */
  confirm(deposit: OpenDeposit, now: number): void {
    this.#accrue(now);
    this.#openDeposits = this.#openDeposits.filter((open) => open !== deposit);
  }

  /** Drops the granted tokens, because their age is not known any more. */
  dropGrants(): void {
    this.#grants = [];
    this.#asked = [];
  }

  /**
   * Returns the time until this host has accrued a token by itself, in
   * milliseconds; infinite if it never will.
   */
  msUntilToken(now: number): number {
    const missing = 1 - this.tokens(now);
    if (missing <= EPSILON) return 0;
    if (this.#capacity(now) < 1 || this.#ratePerMs === 0) return Infinity;
    return missing / this.#ratePerMs;
  }

  get #ratePerMs(): number {
    return this.#limit.ratePerSecond * this.#share / 1_000;
  }

  // Deposits under way may still be lost or arrive, so they count as held here.
  #capacity(now: number): number {
    const since = now - SILENCE_MS;
    this.#openDeposits = this.#openDeposits.filter(({ sentAt }) =>
      sentAt > since
    );
    const open = this.#openDeposits.reduce(
      (sum, { tokens }) => sum + tokens,
      0,
    );
    return Math.max(0, bucketTokens(this.#limit) * this.#share - open);
  }

  #accrue(now: number): void {
    const elapsedMs = Math.max(0, now - this.#accruedAt);
    this.#accruedAt = now;
    this.#tokens = Math.min(
      this.#capacity(now),
      this.#tokens + elapsedMs * this.#ratePerMs,
    );
  }

  #granted(now: number): number {
    if (this.#grants.length === 0) return 0;
    this.#grants = this.#grants.filter(({ expiresAt, tokens }) =>
      expiresAt > now && tokens > EPSILON
    );
    return this.#grants.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  #decayedDemand(now: number): number {
    return this.#demand *
      Math.exp(-Math.max(0, now - this.#demandAt) / DEMAND_MEMORY_MS);
  }

  #drawDepositShare(): number {
    return MIN_DEPOSIT_SHARE +
      (MAX_DEPOSIT_SHARE - MIN_DEPOSIT_SHARE) * this.#random();
  }

  #advance(now: number): number {
    const expected = this.demandPerSecond(now) * ADVANCE_MS / 1_000;
    return expected < MIN_ADVANCE ? 0 : expected;
  }

  // Twice the standard deviation covers most of what arrives at random. A bucket
  // for less than two tokens serves hardly a request by itself.
  #reserve(now: number): number {
    const capacity = this.#capacity(now);
    if (capacity < MIN_RESERVING_BUCKET) return 0;
    const expected = this.demandPerSecond(now) * ADVANCE_MS / 1_000;
    return Math.min(
      expected + 2 * Math.sqrt(expected),
      capacity * MAX_RESERVE_SHARE,
    );
  }

  #expected(now: number): number {
    const since = now - EXPECTED_GRANT_MS;
    this.#asked = this.#asked.filter(({ at }) => at > since);
    return this.#asked.reduce((sum, { tokens }) => sum + tokens, 0);
  }
}
