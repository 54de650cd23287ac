/** Number of distinct priorities; greater numbers count as the last of them. */
export const PRIORITIES = 8;

/**
 * Returns the rank of a request that begins a call chain. A rank tells the
 * priority of a call and whether it is made within a chain.
 *
 * @param priority Priority of the route; 0 is the most important.
 */
export function rankOfRoot(priority: number): number {
  // The node of the worker ends the link on which a rank is not a whole number.
  const known = Math.min(Math.max(0, Math.floor(priority)), PRIORITIES - 1);
  return PRIORITIES + known;
}

/**
 * Returns the rank of a call that a worker makes while it runs a request.
 *
 * @param parentRank Rank of that request.
 */
export function rankOfNested(parentRank: number): number {
  return priorityOfRank(parentRank);
}

/** Returns whether a rank is that of a call within a call chain. */
export function isNestedRank(rank: number): boolean {
  return rank < PRIORITIES;
}

/**
 * Returns the position at which a call waits for a slot; 0 is served first.
 * Calls are ordered by priority, and those within chains come before requests
 * that begin a chain. Chains are limited where they begin, so that more important
 * requests need not wait for less important chains.
 */
export function queuePositionOf(rank: number): number {
  return 2 * priorityOfRank(rank) + (isNestedRank(rank) ? 0 : 1);
}

/** Returns the priority of the request that begins the chain of a rank. */
export function priorityOfRank(rank: number): number {
  return rank % PRIORITIES;
}
