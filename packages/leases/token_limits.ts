/** Limit of an organisation over all hosts together. */
export interface TokenLimit {
  /** Requests a second, above 0. */
  readonly ratePerSecond: number;
  /** Requests that may come at once beyond the rate. */
  readonly burst: number;
}

/** Time after its request in which a granted token may be used, in milliseconds. */
export const GRANT_LIFETIME_MS = 500;

/**
 * Time without a request of a host after which a broker no longer counts the
 * host, in milliseconds. Within this time a deposit that has no reply counts as
 * held by the host that sent it, so it is never counted at neither side.
 */
export const SILENCE_MS = 1_500;

/** Least number of tokens that all pools of a limit hold. */
const MIN_TOKENS = 6;

/**
 * Tokens that buckets hold besides, so that small limits are deposited in few and
 * larger parts. With the least pools they are the 20 tokens by which a window may
 * exceed its limit.
 */
const EXTRA_BUCKET_TOKENS = 14;

/**
 * Time for which the buckets hold the accrued tokens of a limit with a small
 * burst, in seconds. It covers the interval of exchanges.
 */
const BUCKET_SECONDS = 0.6;

/**
 * Returns the number of tokens that the buckets of all hosts hold together, with
 * the deposits that are under way. It is half of the burst, or
 * for a smaller burst what hosts accrue between two exchanges, as far as the bound
 * of the window has room for it.
 */
export function bucketTokens({ ratePerSecond, burst }: TokenLimit): number {
  return Math.max(
    burst / 2,
    Math.min(
      ratePerSecond * BUCKET_SECONDS + EXTRA_BUCKET_TOKENS,
      burst * 0.6 + EXTRA_BUCKET_TOKENS,
    ),
  );
}

/** Returns the number of tokens that the pools of all brokers hold together. */
export function poolTokens({ burst }: TokenLimit): number {
  return Math.max(burst / 2, MIN_TOKENS);
}

/** Rounds tokens down to the hundredth that frames carry. */
export function roundTokensDown(tokens: number): number {
  return Math.floor(tokens * 100 + 1e-6) / 100;
}

/** Rounds tokens up to the hundredth that frames carry. */
export function roundTokensUp(tokens: number): number {
  return Math.ceil(tokens * 100 - 1e-6) / 100;
}
