import { LeaseKind } from "@oleanderdeck/protocol";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import type { Clock } from "@oleanderdeck/settings";
import { LeaseLink } from "./_lease_link.ts";
import type { RateLeaseOwnerRanking } from "./rate_lease_owner_ranking.ts";
import { RATE_TERM_MS } from "./lease_timing.ts";
import { RATE_UNIT } from "./rate_lease_owner.ts";

/** Time over which unused rate is kept; bounds a burst to a tenth of a second. */
const BURST_SECONDS = 0.1;

/** Room above the observed rate in the reported demand. */
const HEADROOM = 1.2;

/** Weight of a second in a falling rate of calls. */
const RATE_WEIGHT = 0.3;

/** Time without calls after which the leases are given back. */
const IDLE_MS = 30_000;

/** Longest wait for the first grants of an organisation. */
const FIRST_GRANT_MS = 250;

/**
 * Longest wait of a call for a token. It covers a request to the owners and
 * their answer, so that a node which begins to call is not refused while the
 * organisation is below its limit.
 */
const TOKEN_WAIT_MS = 250;

/** Time between two tries of a waiting call. */
const TOKEN_CHECK_MS = 25;

/** Calls that may wait at a node with a low rate. */
const LEAST_WAITING_CALLS = 4;

/** Options of {@linkcode RateLease}. */
export interface RateLeaseOptions {
  readonly organisation: string;
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  readonly ranking: RateLeaseOwnerRanking;
  /** Limit of the organisation in calls per second. */
  readonly limit: () => number;
  /** Is called when the lease has closed itself for lack of calls. */
  readonly onIdle: () => void;
}

/** Part of the rate that was held from an owner that left. */
interface Inheritance {
  readonly amount: number;
  readonly until: number;
}

const NOTHING: Inheritance = { amount: 0, until: 0 };

interface OwnerLink {
  readonly link: LeaseLink;
  readonly inheritance: Inheritance;
}

/**
 * Part of an organisation's limit that this node may use: the sum of what the
 * owners grant. Where an owner has granted nothing yet, the node uses an even
 * part of that owner's share, so that calls are possible while owners start.
 */
export class RateLease {
  readonly #options: RateLeaseOptions;
  readonly #links = new Map<string, OwnerLink>();
  #orphans: readonly Inheritance[] = [];
  #rankingVersion = -1;
  #tokens = 0;
  #refilledAt: number;
  #arrived = 0;
  #countedAt: number;
  #perSecond = 0;
  #lastCallAt: number;
  #ready = false;
  readonly #waiting: (() => void)[] = [];
  #waitingCalls = 0;

  /** @param options Organisation and collaborators. */
  constructor(options: RateLeaseOptions) {
    this.#options = options;
    const now = options.clock.now();
    this.#refilledAt = now;
    this.#countedAt = now;
    this.#lastCallAt = now;
    this.#refreshOwners(now);
    void options.clock.sleep(FIRST_GRANT_MS).then(() => this.#becomeReady());
  }

  /** Whether the owners have answered, or the wait for them is over. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Resolves when {@linkcode RateLease.ready} is true. */
  whenReady(): Promise<void> {
    if (this.#ready) return Promise.resolve();
    return new Promise((resolve) => this.#waiting.push(resolve));
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
      } else if (inheritance.until > now) {
        rate += inheritance.amount * RATE_UNIT;
      } else {
        rate += share / Math.max(1, ranking.liveCount);
      }
    }
    for (const orphan of this.#orphans) {
      if (orphan.until > now) rate += orphan.amount * RATE_UNIT;
    }
    return rate;
  }

  /** Counts a call and takes a token for it. */
  take(): boolean {
    this.#lastCallAt = this.#options.clock.now();
    this.#arrived += 1;
    return this.#takeToken();
  }

  /**
   * Counts a call and takes a token for it, now or after a short wait in which
   * the owners are asked for more. Few calls wait; the others are refused at
   * once, so that a caller above its limit gets its answer early.
   */
  acquireToken(): boolean | Promise<boolean> {
    if (this.take()) return true;
    const places = Math.max(
      LEAST_WAITING_CALLS,
      this.callsPerSecond() * TOKEN_WAIT_MS / 1_000,
    );
    return this.#waitingCalls < places ? this.#waitForToken() : false;
  }

  async #waitForToken(): Promise<boolean> {
    const { clock } = this.#options;
    const end = clock.now() + TOKEN_WAIT_MS;
    this.#waitingCalls += 1;
    let taken = false;
    while (!taken && clock.now() < end) {
      await clock.sleep(TOKEN_CHECK_MS);
      taken = this.#takeToken();
    }
    this.#waitingCalls -= 1;
    return taken;
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
    for (const { link } of this.#links.values()) link.askForMore();
    return false;
  }

  /** Gives all leases back. */
  close(): void {
    for (const { link } of this.#links.values()) link.close();
    this.#links.clear();
    this.#becomeReady();
  }

  #refreshOwners(now: number): void {
    const { organisation, ranking } = this.#options;
    this.#rankingVersion = ranking.version;
    const owners = ranking.owners(organisation);
    this.#orphans = this.#orphans.filter((orphan) => orphan.until > now);
    const left: Inheritance[] = [];
    for (const [nodeId, { link, inheritance }] of this.#links) {
      if (owners.includes(nodeId)) continue;
      // An owner that left grants its part to nobody else, and its successor
      // grants only inherited parts for one term.
      const held = link.lease()?.amount ?? 0;
      left.push({
        amount: Math.max(
          held,
          inheritance.until > now ? inheritance.amount : 0,
        ),
        until: now + RATE_TERM_MS,
      });
      link.close();
      this.#links.delete(nodeId);
    }
    for (const nodeId of owners) {
      if (this.#links.has(nodeId)) continue;
      const inheritance = left.shift() ?? NOTHING;
      this.#links.set(nodeId, {
        link: this.#connect(nodeId, inheritance),
        inheritance,
      });
    }
    this.#orphans = [...this.#orphans, ...left];
  }

  #connect(nodeId: string, inheritance: Inheritance): LeaseLink {
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
        inherited: inheritance.until > clock.now() ? inheritance.amount : 0,
      }),
      onGrant: () => {
        const links = [...this.#links.values()];
        if (links.every(({ link }) => link.answered)) this.#becomeReady();
      },
    });
  }

  /** Demand for the part of one owner, in units of the rate lease. */
  #demand(): number {
    const { clock, organisation, ranking } = this.#options;
    const now = clock.now();
    if (now - this.#lastCallAt > IDLE_MS) {
      queueMicrotask(() => {
        this.close();
        this.#options.onIdle();
      });
    }
    const elapsedMs = now - this.#countedAt;
    if (elapsedMs >= 1_000) {
      const recent = this.#arrived * 1_000 / elapsedMs;
      this.#perSecond = recent > this.#perSecond
        ? recent
        : this.#perSecond + (recent - this.#perSecond) * RATE_WEIGHT;
      this.#arrived = 0;
      this.#countedAt = now;
    }
    const perSecond = Math.max(this.#perSecond, this.#arrived, 1);
    const owners = Math.max(1, ranking.owners(organisation).length);
    return Math.ceil(perSecond * HEADROOM / owners / RATE_UNIT);
  }

  #becomeReady(): void {
    this.#ready = true;
    for (const resolve of this.#waiting.splice(0)) resolve();
  }
}
