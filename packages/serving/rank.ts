/** Priorities that are told apart; higher ones count as the last. */
const PRIORITIES = 8;

/**
 * Rank of a request that begins a call chain. It is behind all calls of chains
 * that have begun, because refusing one of those wastes the work above it.
 *
 * @param priority Priority of the route; 0 is the most important.
 */
export function rankOfRoot(priority: number): number {
  return PRIORITIES + Math.min(Math.max(0, priority), PRIORITIES - 1);
}

/**
 * Rank of a call that a worker makes while it runs a request.
 *
 * @param parentRank Rank of that request.
 */
export function rankOfNested(parentRank: number): number {
  return parentRank % PRIORITIES;
}

/** Tells whether a rank is that of a call within a chain. */
export function isNestedRank(rank: number): boolean {
  return rank < PRIORITIES;
}
