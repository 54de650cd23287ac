import xxhash from "xxhash-wasm";
import type { Member } from "@oleanderdeck/protocol";
import { isLive, type MemberView } from "@oleanderdeck/membership";
import type { Clock } from "@oleanderdeck/settings";
import { RATE_TERM_MS } from "./lease_timing.ts";

const { h32 } = await xxhash();

/** Owners of an organisation's limit; each grants an equal part. */
export const RATE_LEASE_OWNER_COUNT = 4;

/**
 * Ranks nodes for a name by rendezvous hashing: a node that leaves moves only
 * its own place to the next node by rank.
 *
 * @param name Name that nodes are chosen for.
 * @param nodeIds Nodes to choose from.
 * @param count Number of nodes to choose.
 * @returns The chosen nodes by rank.
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

/** Owners of the organisations' limits, by the live members. */
export class RateLeaseOwnerRanking {
  readonly #members: MemberView;
  readonly #clock: Clock;
  readonly #live = new Set<string>();
  /** Nodes that were live at some time within the last term. */
  readonly #left = new Map<string, number>();
  readonly #owners = new Map<string, readonly string[]>();
  readonly #removeListener: () => void;
  #version = 0;

  /** @param options Source of members and time. */
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

  /** Changes with the set of live members. */
  get version(): number {
    return this.#version;
  }

  /** Number of live members. */
  get liveCount(): number {
    return this.#live.size;
  }

  /** Owners of an organisation by rank. */
  owners(organisation: string): readonly string[] {
    let owners = this.#owners.get(organisation);
    if (owners === undefined) {
      owners = rankNodes(organisation, this.#live, RATE_LEASE_OWNER_COUNT);
      this.#owners.set(organisation, owners);
    }
    return owners;
  }

  /**
   * Owners that the organisation would have if no node had left within the
   * last term; leases that these nodes granted may still be in use.
   */
  ownersBeforeDepartures(organisation: string): readonly string[] {
    const now = this.#clock.now();
    for (const [nodeId, leftAt] of this.#left) {
      if (now - leftAt >= RATE_TERM_MS) this.#left.delete(nodeId);
    }
    if (this.#left.size === 0) return this.owners(organisation);
    const nodes = new Set([...this.#live, ...this.#left.keys()]);
    return rankNodes(organisation, nodes, RATE_LEASE_OWNER_COUNT);
  }

  /** Ends the updates. */
  close(): void {
    this.#removeListener();
  }

  #update(member: Member): void {
    const { nodeId } = member;
    const live = isLive(member) || nodeId === this.#members.self().nodeId;
    if (live === this.#live.has(nodeId)) return;
    if (live) {
      this.#live.add(nodeId);
      this.#left.delete(nodeId);
    } else {
      this.#live.delete(nodeId);
      this.#left.set(nodeId, this.#clock.now());
    }
    this.#version += 1;
    this.#owners.clear();
  }
}
