import { createHash } from "node:crypto";
import { isLive } from "@oleanderdeck/membership";
import type { Member } from "@oleanderdeck/protocol";

/** Number of nodes in each data centre that watch the store. */
export const READERS_PER_DATA_CENTRE = 2;

/**
 * Scores by node id, cached because every node repeats the selection about
 * twice per second.
 */
const scores = new Map<string, number>();
const MAX_CACHED_SCORES = 20_000;

/** Returns the hash of a node id by which the members are ranked. */
function score(nodeId: string): number {
  const cached = scores.get(nodeId);
  if (cached !== undefined) return cached;
  if (scores.size >= MAX_CACHED_SCORES) scores.clear();
  const computed = createHash("sha256")
    .update("store reader\0")
    .update(nodeId)
    .digest()
    .readUIntBE(0, 6);
  scores.set(nodeId, computed);
  return computed;
}

/**
 * Returns whether a node is selected to watch the store, that is, is among the
 * first {@linkcode READERS_PER_DATA_CENTRE} live members of its data centre by
 * rendezvous hashing.
 *
 * @param self The node.
 * @param members All members that the node knows of.
 */
export function isStoreReader(
  self: Member,
  members: readonly Member[],
): boolean {
  const own = score(self.nodeId);
  const higherRanked = members.filter((member) =>
    member.nodeId !== self.nodeId &&
    member.dataCentre === self.dataCentre && isLive(member) &&
    (score(member.nodeId) > own ||
      (score(member.nodeId) === own && member.nodeId < self.nodeId))
  );
  return higherRanked.length < READERS_PER_DATA_CENTRE;
}
