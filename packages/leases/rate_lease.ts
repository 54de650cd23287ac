import { LeaseKind } from "@oleanderdeck/protocol";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import type { Clock } from "@oleanderdeck/settings";
import { LeaseLink } from "./_lease_link.ts";
import type { RateLeaseOwnerRanking } from "./rate_lease_owner_ranking.ts";
import { RATE_TERM_MS } from "./lease_timing.ts";
import { RATE_UNIT } from "./rate_lease_owner.ts";

/**
 * Capacity of the token bucket in seconds at the current rate; bounds bursts.
 */
const BURST_SECONDS = 0.1;

/** Ratio of the reported demand to the observed rate of calls. */
const HEADROOM_FACTOR = 1.2;

/** Weight of a new measurement in the average while the rate of calls falls. */
const FALLING_RATE_WEIGHT = 0.3;

/** Time without calls after which the leases are returned to the owners. */
const IDLE_MS = 30_000;

/**
 * Maximum wait for the first grants of all owners of an organisation's limit.
 */
const FIRST_GRANT_TIMEOUT_MS = 250;

/**
 * Maximum wait of a call for a token. It covers a request to the owners and
 * their answer, so that the first calls of a node are not refused while the
 * organisation is below its limit.
 */
const TOKEN_WAIT_MS = 250;

/** Interval at which a waiting call tries to acquire a token. */
const TOKEN_CHECK_MS = 25;

/** Lower bound of the limit on waiting calls, for a node with a low rate. */
const MIN_WAITING_CALLS_LIMIT = 4;

/** Options of {@linkcode RateLease}. */
export interface RateLeaseOptions {
  readonly organisation: string;
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  readonly ranking: RateLeaseOwnerRanking;
  /** Limit of the organisation in calls per second. */
  readonly limit: () => number;
  /** Called when the lease has closed itself for lack of calls. */
  readonly onIdle: () => void;
}

/**
 * Amount that this node held from an owner that is no longer one. It stays
 * usable for one term after the change of owners.
 */
interface Inheritance {
  readonly amount: number;
  readonly expiresAt: number;
}

const NO_INHERITANCE: Inheritance = { amount: 0, expiresAt: 0 };

interface OwnerLink {
  readonly link: LeaseLink;
  readonly inheritance: Inheritance;
}

/**
 * Part of an organisation's limit that this node may use: the sum of the grants
 * of all owners. For an owner without a current grant, the node uses the amount
 * inherited from its predecessor or else an equal part of that owner's share,
 * so that calls are possible while owners start.
 */
export class RateLease {
  readonly #options: RateLeaseOptions;
  readonly #links = new Map<string, OwnerLink>();
  /** Amounts held from former owners that have no successor. */
  #orphans: readonly Inheritance[] = [];
  #rankingVersion = -1;
  #tokens = 0;
  #refilledAt: number;
  #arrivedCalls = 0;
  #rateMeasuredAt: number;
  #arrivalsPerSecond = 0;
  #lastCallAt: number;
  #ready = false;
  readonly #readyResolvers: (() => void)[] = [];
  #waitingCalls = 0;

  /** @param options Organisation and collaborators. */
  constructor(options: RateLeaseOptions) {
    this.#options = options;
    const now = options.clock.now();
    this.#refilledAt = now;
    this.#rateMeasuredAt = now;
    this.#lastCallAt = now;
    this.#refreshOwners(now);
    void options.clock.sleep(FIRST_GRANT_TIMEOUT_MS).then(() =>
      this.#becomeReady()
    );
  }

  /** Whether all owners have answered, or the wait for them has timed out. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Resolves when {@linkcode RateLease.ready} is true. */
  whenReady(): Promise<void> {
    if (this.#ready) return Promise.resolve();
    return new Promise((resolve) => this.#readyResolvers.push(resolve));
  }

  /** Calls per second that this node may make now. */
  callsPerSecond(): number {
    const { clock, limit, ranking, organisation } = this.#options;
    const now = clock.now();
    const share = limit() / Math.max(1, ranking.owners(organisation).length);
    let rate = 0;
    for (const { link, inheritance } of this.#links.values()) {
      const lease = link.lease();
      if (lease !== undefined && lease.amount > 0) {
        rate += lease.amount * RATE_UNIT;
      } else if (inheritance.expiresAt > now) {
        rate += inheritance.amount * RATE_UNIT;
      } else {
        rate += share / Math.max(1, ranking.liveCount);
      }
    }
    for (const orphan of this.#orphans) {
      if (orphan.expiresAt > now) rate += orphan.amount * RATE_UNIT;
    }
    return rate;
  }

  /**
   * Counts a call and tries to acquire a token for it without waiting.
   *
   * @returns Whether a token was acquired.
   */
  tryAcquireToken(): boolean {
    this.#lastCallAt = this.#options.clock.now();
    this.#arrivedCalls += 1;
    return this.#takeToken();
  }

  /**
   * Counts a call and acquires a token for it, at once or after a short wait in
   * which the owners are asked for a higher rate. The number of waiting calls
   * is limited; further calls are refused at once, so that a caller above its
   * limit is refused early.
   *
   * @returns Whether a token was acquired; a promise if the call waits.
   */
  acquireToken(): boolean | Promise<boolean> {
    if (this.tryAcquireToken()) return true;
    const waitingCallsLimit = Math.max(
      MIN_WAITING_CALLS_LIMIT,
      this.callsPerSecond() * TOKEN_WAIT_MS / 1_000,
    );
    return this.#waitingCalls < waitingCallsLimit
      ? this.#waitForToken()
      : false;
  }

  async #waitForToken(): Promise<boolean> {
    const { clock } = this.#options;
    const end = clock.now() + TOKEN_WAIT_MS;
    this.#waitingCalls += 1;
    let acquired = false;
    while (!acquired && clock.now() < end) {
      await clock.sleep(TOKEN_CHECK_MS);
      acquired = this.#takeToken();
    }
    this.#waitingCalls -= 1;
    return acquired;
  }

  #takeToken(): boolean {
    const now = this.#options.clock.now();
    if (this.#rankingVersion !== this.#options.ranking.version) {
      this.#refreshOwners(now);
    }
    const rate = this.callsPerSecond();
    const capacity = Math.max(1, rate * BURST_SECONDS);
    this.#tokens = Math.min(
      capacity,
      this.#tokens + rate * (now - this.#refilledAt) / 1_000,
    );
    this.#refilledAt = now;
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return true;
    }
    for (const { link } of this.#links.values()) link.requestMore();
    return false;
  }

  /** Returns all leases to their owners. */
  close(): void {
    for (const { link } of this.#links.values()) link.close();
    this.#links.clear();
    this.#becomeReady();
  }

  #refreshOwners(now: number): void {
    const { organisation, ranking } = this.#options;
    this.#rankingVersion = ranking.version;
    const owners = ranking.owners(organisation);
    this.#orphans = this.#orphans.filter((orphan) => orphan.expiresAt > now);
    const departed: Inheritance[] = [];
    for (const [nodeId, { link, inheritance }] of this.#links) {
      if (owners.includes(nodeId)) continue;
      // A former owner makes no further grants, and for one term its successor
      // grants only inherited amounts, so the amount may still be used here.
      const held = link.lease()?.amount ?? 0;
      departed.push({
        amount: Math.max(
          held,
          inheritance.expiresAt > now ? inheritance.amount : 0,
        ),
        expiresAt: now + RATE_TERM_MS,
      });
      link.close();
      this.#links.delete(nodeId);
    }
    for (const nodeId of owners) {
      if (this.#links.has(nodeId)) continue;
      const inheritance = departed.shift() ?? NO_INHERITANCE;
      this.#links.set(nodeId, {
        link: this.#createLink(nodeId, inheritance),
        inheritance,
      });
    }
    this.#orphans = [...this.#orphans, ...departed];
  }

  #createLink(nodeId: string, inheritance: Inheritance): LeaseLink {
    const { channel, clock, members, organisation } = this.#options;
    return new LeaseLink({
      kind: LeaseKind.RATE,
      resource: organisation,
      ownerId: nodeId,
      members,
      channel,
      clock,
      report: () => ({
        demands: [{ priority: 0, organisation: "", amount: this.#demand() }],
        calls: 0,
        meanDurationMs: 0,
        inUse: 0,
        inherited: inheritance.expiresAt > clock.now() ? inheritance.amount : 0,
      }),
      onGrant: () => {
        const links = [...this.#links.values()];
        if (links.every(({ link }) => link.answered)) this.#becomeReady();
      },
    });
  }

  /** Demand reported to each owner, in multiples of {@linkcode RATE_UNIT}. */
  #demand(): number {
    const { clock, organisation, ranking } = this.#options;
    const now = clock.now();
    if (now - this.#lastCallAt > IDLE_MS) {
      queueMicrotask(() => {
        this.close();
        this.#options.onIdle();
      });
    }
    const elapsedMs = now - this.#rateMeasuredAt;
    if (elapsedMs >= 1_000) {
      const recent = this.#arrivedCalls * 1_000 / elapsedMs;
      this.#arrivalsPerSecond = recent > this.#arrivalsPerSecond
        ? recent
        : this.#arrivalsPerSecond +
          (recent - this.#arrivalsPerSecond) * FALLING_RATE_WEIGHT;
      this.#arrivedCalls = 0;
      this.#rateMeasuredAt = now;
    }
    const arrivalsPerSecond = Math.max(
      this.#arrivalsPerSecond,
      this.#arrivedCalls,
      1,
    );
    const owners = Math.max(1, ranking.owners(organisation).length);
    return Math.ceil(arrivalsPerSecond * HEADROOM_FACTOR / owners / RATE_UNIT);
  }

  #becomeReady(): void {
    this.#ready = true;
    for (const resolve of this.#readyResolvers.splice(0)) resolve();
  }
}
