import { divideMaxMin } from "./allocation.ts";
import {
  poolTokens,
  roundTokensDown,
  SILENCE_MS,
  type TokenLimit,
} from "./token_limits.ts";

/** Time in which an unmet want still counts, in milliseconds. */
const UNMET_WANT_MS = 250;

/** Part of a pool below which the hosts are asked for deposits. */
const LOW_POOL_SHARE = 0.5;

/**
 * Part of a pool below which the hosts are told at once, and not with their next
 * replies. It leaves time for their deposits to arrive.
 */
const URGENT_POOL_SHARE = 0.2;

/** Part of a pool from which on the hosts are no longer asked for deposits. */
const FULL_POOL_SHARE = 0.9;

/** Smallest error of sums of fractions that is ignored, in tokens. */
const EPSILON = 1e-9;

/** Amount of tokens of one organisation. */
export interface OrganisationTokens {
  readonly organisation: string;
  readonly tokens: number;
}

/**
 * Request of a host to a broker. A want of 0 tokens says that the host now
 * deposits those of the organisation at another broker.
 */
export interface BrokerRequest {
  /** Number of the request, higher than those of earlier ones of its host. */
  readonly id: number;
  readonly deposits: readonly OrganisationTokens[];
  readonly wants: readonly OrganisationTokens[];
}

interface UnmetWant {
  readonly tokens: number;
  readonly at: number;
}

/**
 * Numbers of requests that a request which was overtaken can be behind. Those of
 * an earlier process of the same host are further away.
 */
const OVERTAKEN_IDS = 100_000;

interface Pool {
  tokens: number;
  isNeeded: boolean;
  /** Whether the hosts were told since the pool was full. */
  isAnnounced: boolean;
  /** Hosts whose deposits for the organisation go to this broker. */
  readonly members: Set<string>;
  readonly unmet: Map<string, UnmetWant>;
}

/** Options of {@linkcode TokenBroker}. */
export interface TokenBrokerOptions {
  /** Returns the limit of an organisation; undefined if it has none. */
  readonly limitOf: (organisation: string) => TokenLimit | undefined;
  /** Returns the number of hosts that share the limits. */
  readonly hosts: () => number;
  /** Called when the pool of an organisation needs deposits urgently. */
  readonly onNeeded?: (organisation: string) => void;
}

/**
 * Pools of the tokens that hosts have deposited, out of which hosts with more
 * demand than their share get grants. When a pool is short, it is shared among
 * the hosts that have asked lately, so that one of them doesn't take all.
 *
 * A pool holds no more than the part of its size that its members have in the
 * fleet: the hosts that were heard lately and deposit there. A host deposits at
 * one broker at a time, so all pools of an organisation together hold at most one
 * full pool, also where hosts disagree about which node is the broker.
 */
export class TokenBroker {
  readonly #options: TokenBrokerOptions;
  readonly #pools = new Map<string, Pool>();
  readonly #heardAt = new Map<string, number>();
  /** Number of the last request of each host that was heard lately. */
  readonly #lastIds = new Map<string, number>();
  /** Number of hosts of the fleet at the last request. */
  #hosts = 1;
  /** Time before which no host is lost. */
  #nextLossAt = Infinity;

  /** @param options Limits and the number of hosts. */
  constructor(options: TokenBrokerOptions) {
    this.#options = options;
  }

  /** Organisations whose pools need deposits. */
  get needed(): readonly string[] {
    return [...this.#pools].filter(([, { isNeeded }]) => isNeeded)
      .map(([organisation]) => organisation);
  }

  /** Tokens in a pool. */
  tokens(organisation: string, now: number): number {
    this.#updateHeard(now);
    return this.#pools.get(organisation)?.tokens ?? 0;
  }

  /** Creates the pools of organisations, which then need deposits. */
  open(organisations: readonly string[]): void {
    organisations.forEach((organisation) => this.#poolOf(organisation));
  }

  /**
   * Receives the deposits of a host and grants it tokens. Deposits behind a
   * silence of the host, and those that a later request has overtaken, are
   * dropped: the host may no longer count them as its own.
   *
   * @param host Name of the host.
   * @returns Granted tokens, without those that are 0.
   */
  exchange(
    host: string,
    { id, deposits, wants }: BrokerRequest,
    now: number,
  ): readonly OrganisationTokens[] {
    this.#updateHeard(now);
    const isCounted = this.#heardAt.has(host) && !this.#isOvertaken(host, id);
    this.#heardAt.set(host, now);
    this.#lastIds.set(host, id);
    this.#nextLossAt = Math.min(this.#nextLossAt, now + SILENCE_MS);
    if (isCounted) deposits.forEach((deposit) => this.#add(host, deposit));
    return wants.flatMap(({ organisation, tokens }) => {
      if (tokens === 0) this.#leave(host, organisation);
      const granted = this.#grant(host, { organisation, tokens }, now);
      return granted > 0 ? [{ organisation, tokens: granted }] : [];
    });
  }

  /** Applies changed limits: drops what pools hold beyond them. */
  applyLimits(): void {
    this.#pools.forEach((pool, organisation) => {
      const limit = this.#options.limitOf(organisation);
      if (limit === undefined) this.#pools.delete(organisation);
      else this.#trim(organisation, pool, limit);
    });
  }

  /** Drops all tokens, because the ages of deposits are not known any more. */
  reset(): void {
    this.#heardAt.clear();
    this.#lastIds.clear();
    this.#pools.forEach(({ members }) => members.clear());
    this.applyLimits();
  }

  // Between two requests hosts are only lost, so it is enough to look for them
  // before each one.
  #updateHeard(now: number): void {
    const hosts = Math.max(1, this.#options.hosts());
    const hasGrown = hosts > this.#hosts;
    this.#hosts = hosts;
    if (now >= this.#nextLossAt) this.#removeSilent(now);
    if (hasGrown) this.applyLimits();
  }

  #removeSilent(now: number): void {
    const lost = [...this.#heardAt].filter(([, at]) => now - at >= SILENCE_MS)
      .map(([host]) => host);
    lost.forEach((host) => {
      this.#heardAt.delete(host);
      this.#lastIds.delete(host);
      this.#pools.forEach(({ members }) => members.delete(host));
    });
    this.#nextLossAt = Math.min(...this.#heardAt.values()) + SILENCE_MS;
    if (lost.length > 0) this.applyLimits();
  }

  // A request on a replaced link may arrive behind those on the next one.
  #isOvertaken(host: string, id: number): boolean {
    const lastId = this.#lastIds.get(host) ?? id;
    return id < lastId && id > lastId - OVERTAKEN_IDS;
  }

  #capacity(limit: TokenLimit, { members }: Pool): number {
    return poolTokens(limit) * Math.min(1, members.size / this.#hosts);
  }

  #trim(organisation: string, pool: Pool, limit: TokenLimit): void {
    pool.tokens = Math.min(pool.tokens, this.#capacity(limit, pool));
    this.#updateNeed(organisation, pool);
  }

  #leave(host: string, organisation: string): void {
    const pool = this.#pools.get(organisation);
    const limit = this.#options.limitOf(organisation);
    if (limit === undefined || !pool?.members.delete(host)) return;
    this.#trim(organisation, pool, limit);
  }

  #poolOf(organisation: string): Pool | undefined {
    const known = this.#pools.get(organisation);
    if (known !== undefined) return known;
    if (this.#options.limitOf(organisation) === undefined) return undefined;
    const pool: Pool = {
      tokens: 0,
      isNeeded: false,
      isAnnounced: false,
      members: new Set(),
      unmet: new Map(),
    };
    this.#pools.set(organisation, pool);
    this.#updateNeed(organisation, pool);
    return pool;
  }

  #add(host: string, { organisation, tokens }: OrganisationTokens): void {
    const limit = this.#options.limitOf(organisation);
    const pool = this.#poolOf(organisation);
    if (limit === undefined || pool === undefined) return;
    pool.members.add(host);
    pool.tokens += tokens;
    this.#trim(organisation, pool, limit);
  }

  #grant(
    host: string,
    { organisation, tokens: wanted }: OrganisationTokens,
    now: number,
  ): number {
    const pool = this.#poolOf(organisation);
    if (pool === undefined) return 0;
    const granted = this.#shareOf(host, wanted, pool, now);
    pool.tokens = Math.max(0, pool.tokens - granted);
    if (granted < wanted - EPSILON) {
      pool.unmet.set(host, { tokens: wanted - granted, at: now });
    } else pool.unmet.delete(host);
    this.#updateNeed(organisation, pool);
    return granted;
  }

  // Less than what one request lacks would expire unused.
  #shareOf(host: string, wanted: number, pool: Pool, now: number): number {
    const least = Math.min(1, wanted);
    if (pool.tokens < least - EPSILON) return 0;
    pool.unmet.forEach(({ at }, other) => {
      if (now - at >= UNMET_WANT_MS) pool.unmet.delete(other);
    });
    const others = [...pool.unmet].filter(([other]) => other !== host)
      .map(([, { tokens }]) => ({ weight: 1, amount: tokens }));
    const [share = 0] = divideMaxMin(pool.tokens, [
      { weight: 1, amount: wanted },
      ...others,
    ]);
    return Math.max(least, roundTokensDown(share));
  }

  // Hosts with demand do not deposit, so a pool that most others have joined may
  // be full below its size.
  #updateNeed(organisation: string, pool: Pool): void {
    const limit = this.#options.limitOf(organisation);
    if (limit === undefined) return;
    const size = poolTokens(limit) *
      Math.min(1, this.#heardAt.size / this.#hosts);
    const isJoined = pool.members.size > 0 &&
      pool.members.size >= this.#heardAt.size / 2;
    const full = this.#capacity(limit, pool) * FULL_POOL_SHARE;
    if (isJoined && pool.tokens >= full) {
      pool.isNeeded = false;
      pool.isAnnounced = false;
    } else if (pool.tokens <= size * LOW_POOL_SHARE) pool.isNeeded = true;
    if (pool.isAnnounced || pool.tokens > size * URGENT_POOL_SHARE) return;
    pool.isAnnounced = true;
    this.#options.onNeeded?.(organisation);
  }
}
