/** Delay after the first failed call and its usual limit, in milliseconds. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 500;

/**
 * Limit of the delay after a watch that began before the store's history, in
 * milliseconds. Outdated data may stay older than that history for seconds, and
 * are polled meanwhile.
 */
export const MAX_GAP_BACKOFF_MS = 2_000;

/**
 * Returns the delay before a failed call to the store is made again, in
 * milliseconds. It is random, so that nodes do not call at the same time.
 *
 * @param failures Consecutive failures before the last one.
 * @param limitMs Greatest delay, in milliseconds.
 */
export function backoffMs(failures: number, limitMs = MAX_BACKOFF_MS): number {
  const maxDelay = Math.min(limitMs, MIN_BACKOFF_MS * 2 ** failures);
  return maxDelay * (0.5 + Math.random() / 2);
}
