import type { OpenDeposit, TokenShare } from "@oleanderdeck/leases";
import type { QuotaAccount } from "./_quota_account.ts";

/**
 * Time without a reply after which another broker is used, in milliseconds. It is
 * well above a round trip between data centres.
 */
const UNRESPONSIVE_MS = 750;

/** Number of requests without a reply that are remembered. */
const MAX_UNANSWERED = 100;

/**
 * Time for which a pool counts as in need of deposits after its broker has said
 * so, in milliseconds. Brokers repeat it at each regular exchange.
 */
const NEED_MS = 1_200;

/** Deposit of one organisation that was sent in a request. */
export interface SentDeposit {
  readonly account: QuotaAccount;
  readonly share: TokenShare;
  readonly deposit: OpenDeposit;
}

/** Request that was sent to a broker. */
export interface SentRequest {
  readonly id: number;
  readonly sentAt: number;
  /** Names of the organisations by their positions in the request. */
  readonly names: readonly string[];
  readonly deposits: readonly SentDeposit[];
  /** Accounts that deposit at another broker now. */
  readonly left: readonly QuotaAccount[];
  /** Shares that have asked for tokens. */
  readonly askers: ReadonlySet<TokenShare>;
}

/**
 * What a host knows of one broker: requests without a reply, and the pools there
 * that need deposits. Without sockets and timers.
 */
export class BrokerLink {
  readonly node: string;
  /** Oldest first. */
  #unanswered: SentRequest[] = [];
  readonly #neededUntil = new Map<string, number>();
  #repliedAt = -Infinity;
  #sentAt = -Infinity;

  /** @param node Name of the broker's node. */
  constructor(node: string) {
    this.node = node;
  }

  /** Time at which the last request was sent. */
  get sentAt(): number {
    return this.#sentAt;
  }

  /** Time at which the last reply arrived. */
  get repliedAt(): number {
    return this.#repliedAt;
  }

  /**
   * Whether all requests have a reply. Only then are tokens deposited, so that a
   * deposit is not late by more than the time that its host counts it for.
   */
  get isIdle(): boolean {
    return this.#unanswered.length === 0;
  }

  /** Whether the broker replies. */
  isResponsive(now: number): boolean {
    const [oldest] = this.#unanswered;
    return oldest === undefined || now - oldest.sentAt < UNRESPONSIVE_MS;
  }

  /** Organisations whose pools at the broker need deposits. */
  needed(now: number): readonly string[] {
    this.#neededUntil.forEach((until, organisation) => {
      if (until <= now) this.#neededUntil.delete(organisation);
    });
    return [...this.#neededUntil.keys()];
  }

  /**
   * Records that pools at the broker need deposits.
   *
   * @returns Whether one of them did not before.
   */
  recordNeeded(organisations: readonly string[], now: number): boolean {
    const known = new Set(this.needed(now));
    organisations.forEach((organisation) =>
      this.#neededUntil.set(organisation, now + NEED_MS)
    );
    return organisations.some((organisation) => !known.has(organisation));
  }

  /** Records a request that was sent. */
  recordSent(request: SentRequest): void {
    this.#sentAt = request.sentAt;
    this.#unanswered.push(request);
    // The first one stays, so that the broker counts as silent.
    if (this.#unanswered.length > MAX_UNANSWERED) this.#unanswered.splice(1, 1);
  }

  /**
   * Records a reply.
   *
   * @returns Request that it answers; undefined if there is none.
   */
  recordReply(id: number, now: number): SentRequest | undefined {
    const request = this.#unanswered.find((sent) => sent.id === id);
    if (request === undefined) return undefined;
    this.#repliedAt = now;
    // Replies come in order, so the earlier ones are lost.
    this.#unanswered = this.#unanswered.filter((sent) => sent.id > id);
    return request;
  }
}
