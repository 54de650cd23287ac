import type { PolicyView } from "@oleanderdeck/agreement";
import {
  LoopbackChannel,
  RateLease,
  RateLeaseOwner,
  RateLeaseOwnerRanking,
} from "@oleanderdeck/leases";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import type { Clock } from "@oleanderdeck/settings";

/** Collaborators of {@linkcode RateLimits}. */
export interface RateLimitsOptions {
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  readonly policies: () => PolicyView;
}

/**
 * Rate limits of organisations, which apply across all nodes. The node holds
 * rate leases for its own calls and owns those of some organisations.
 */
export class RateLimits {
  readonly #options: RateLimitsOptions;
  readonly #channel: DatagramChannel;
  readonly #ranking: RateLeaseOwnerRanking;
  readonly #owner: RateLeaseOwner;
  readonly #leases = new Map<string, RateLease>();

  /** @param options Collaborators of the node. */
  constructor(options: RateLimitsOptions) {
    this.#options = options;
    this.#channel = new LoopbackChannel(options.channel, options.members);
    this.#ranking = new RateLeaseOwnerRanking(options);
    this.#owner = new RateLeaseOwner({
      ...options,
      channel: this.#channel,
      ranking: this.#ranking,
      limit: (organisation) => this.#limit(organisation),
    });
  }

  /**
   * Acquires a rate token for a root call.
   *
   * @returns Whether the rate limit allows the call; a promise while the lease
   * requests its first grants, or more of them, from the owners.
   */
  acquireToken(organisation: string): boolean | Promise<boolean> {
    if (this.#limit(organisation) === undefined) return true;
    const lease = this.#lease(organisation);
    if (lease.ready) return lease.acquireToken();
    return lease.whenReady().then(() => lease.acquireToken());
  }

  /**
   * Returns the calls per second that this node may make for an organisation;
   * undefined if there is no lease.
   */
  callsPerSecond(organisation: string): number | undefined {
    return this.#leases.get(organisation)?.callsPerSecond();
  }

  /** Releases all leases and stops the owner. */
  close(): void {
    for (const lease of this.#leases.values()) lease.close();
    this.#owner.close();
    this.#ranking.close();
  }

  #limit(organisation: string): number | undefined {
    return this.#options.policies().organisation(organisation)?.callsPerSecond;
  }

  #lease(organisation: string): RateLease {
    let lease = this.#leases.get(organisation);
    if (lease === undefined) {
      lease = new RateLease({
        ...this.#options,
        channel: this.#channel,
        organisation,
        ranking: this.#ranking,
        limit: () => this.#limit(organisation) ?? 0,
        onIdle: () => this.#leases.delete(organisation),
      });
      this.#leases.set(organisation, lease);
    }
    return lease;
  }
}
