import xxhash from "xxhash-wasm";
import type { Member } from "@oleanderdeck/protocol";
import { isLive, type MemberView } from "@oleanderdeck/membership";
import type { Clock } from "@oleanderdeck/settings";
import { RATE_TERM_MS } from "./lease_timing.ts";

const { h32 } = await xxhash();

/** Number of owners of an organisation's limit; each grants an equal share. */
export const RATE_LEASE_OWNER_COUNT = 4;

/**
 * Chooses nodes for a name by rendezvous hashing: if a chosen node leaves, the
 * node of the next rank is added and the others stay chosen.
 *
 * @param name Name for which nodes are chosen.
 * @param nodeIds Nodes to choose from.
 * @param count Maximum number of nodes to choose.
 * @returns The chosen nodes in order of rank.
 */
export function rankNodes(
  name: string,
  nodeIds: Iterable<string>,
  count: number,
): string[] {
  const best: { readonly nodeId: string; readonly score: number }[] = [];
  for (const nodeId of nodeIds) {
    const score = h32(`${name}\n${nodeId}`);
    const last = best[count - 1];
    if (last !== undefined && last.score > score) continue;
    const position = best.findIndex((other) =>
      other.score < score || other.score === score && other.nodeId > nodeId
    );
    best.splice(position < 0 ? best.length : position, 0, { nodeId, score });
    best.length = Math.min(best.length, count);
  }
  return best.map(({ nodeId }) => nodeId);
}

/** Determines the owners of each organisation's limit from the live members. */
export class RateLeaseOwnerRanking {
  readonly #members: MemberView;
  readonly #clock: Clock;
  readonly #live = new Set<string>();
  /** Times at which nodes left, for departures within the last term. */
  readonly #departedAt = new Map<string, number>();
  readonly #owners = new Map<string, readonly string[]>();
  readonly #removeListener: () => void;
  #version = 0;

  /** @param options Member view and clock. */
  constructor(options: {
    readonly members: MemberView;
    readonly clock: Clock;
  }) {
    this.#members = options.members;
    this.#clock = options.clock;
    for (const member of options.members.members()) this.#update(member);
    this.#update(options.members.self());
    this.#removeListener = options.members.onChange((member) =>
      this.#update(member)
    );
  }

  /** Number that increases with each change of the set of live members. */
  get version(): number {
    return this.#version;
  }

  /** Number of live members. */
  get liveCount(): number {
    return this.#live.size;
  }

  /** Owners of an organisation's limit in order of rank. */
  owners(organisation: string): readonly string[] {
    let owners = this.#owners.get(organisation);
    if (owners === undefined) {
      owners = rankNodes(organisation, this.#live, RATE_LEASE_OWNER_COUNT);
      this.#owners.set(organisation, owners);
    }
    return owners;
  }

  /**
   * Owners that the organisation's limit would have if no node had left within
   * the last term. Leases granted by these nodes may still be in use.
   */
  ownersBeforeDepartures(organisation: string): readonly string[] {
    const now = this.#clock.now();
    for (const [nodeId, leftAt] of this.#departedAt) {
      if (now - leftAt >= RATE_TERM_MS) this.#departedAt.delete(nodeId);
    }
    if (this.#departedAt.size === 0) return this.owners(organisation);
    const nodes = new Set([...this.#live, ...this.#departedAt.keys()]);
    return rankNodes(organisation, nodes, RATE_LEASE_OWNER_COUNT);
  }

  /** Stops following member changes. */
  close(): void {
    this.#removeListener();
  }

  #update(member: Member): void {
    const { nodeId } = member;
    const live = isLive(member) || nodeId === this.#members.self().nodeId;
    if (live === this.#live.has(nodeId)) return;
    if (live) {
      this.#live.add(nodeId);
      this.#departedAt.delete(nodeId);
    } else {
      this.#live.delete(nodeId);
      this.#departedAt.set(nodeId, this.#clock.now());
    }
    this.#version += 1;
    this.#owners.clear();
  }
}
