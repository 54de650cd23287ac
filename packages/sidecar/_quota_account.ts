import { SILENCE_MS, type TokenShare } from "@oleanderdeck/leases";
import type { BrokerLink } from "./_broker_link.ts";
import { QuotaQueue } from "./_quota_queue.ts";

/** Tokens and waiting requests of one organisation, and where it deposits. */
export class QuotaAccount {
  readonly organisation: string;
  readonly queue: QuotaQueue;
  #home: BrokerLink | undefined;
  /** Broker that has to hear that its pool gets no more deposits. */
  #left: BrokerLink | undefined;
  /** Time from which on tokens may be deposited at the broker in use. */
  #depositsFrom = -Infinity;
  #hasDeposited = false;

  /** @param share Tokens of the organisation at this host. */
  constructor(organisation: string, share: TokenShare, now: number) {
    this.organisation = organisation;
    this.queue = new QuotaQueue(share, now);
  }

  /**
   * Changes the broker in use. Deposits go to the new one only when the former
   * has heard of it, or no longer counts this host.
   */
  use(link: BrokerLink): void {
    const former = this.#home;
    if (former === link) return;
    const isMember = this.#left === link;
    this.#home = link;
    if (former !== undefined && this.#hasDeposited) {
      this.#left = former;
      this.#depositsFrom = Math.max(
        this.#depositsFrom,
        former.repliedAt + SILENCE_MS,
      );
    } else if (isMember) this.confirmLeft(link);
    this.#hasDeposited = isMember;
  }

  /** Whether a broker has to be told that its pool gets no more deposits. */
  isLeaving(link: BrokerLink): boolean {
    return this.#left === link;
  }

  /** Records that a broker was told so. */
  confirmLeft(link: BrokerLink): void {
    if (this.#left !== link) return;
    this.#left = undefined;
    this.#depositsFrom = -Infinity;
  }

  /** Whether tokens may be deposited at a broker. */
  mayDeposit(link: BrokerLink, now: number): boolean {
    return this.#home === link && this.queue.size === 0 &&
      now >= this.#depositsFrom;
  }

  /** Records that tokens were deposited at the broker in use. */
  recordDeposit(): void {
    this.#hasDeposited = true;
  }
}
