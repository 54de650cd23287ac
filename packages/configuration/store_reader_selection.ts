import { createHash } from "node:crypto";
import { isLive } from "@oleanderdeck/membership";
import type { Member } from "@oleanderdeck/protocol";

/** Number of nodes of a data centre that watch the store. */
export const READERS_PER_DATA_CENTRE = 2;

/** Hash of a node id, cached because ranks are computed every second. */
const scores = new Map<string, number>();
const MAX_CACHED_SCORES = 20_000;

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
 * Tells whether it is a node's turn to watch the store: whether it is among the
 * first {@linkcode READERS_PER_DATA_CENTRE} live members of its data centre by
 * rendezvous rank.
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
