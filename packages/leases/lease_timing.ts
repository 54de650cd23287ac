/**
 * Term of a slot lease: the design's limit on the time until the slots of an
 * unreachable holder are free again.
 */
export const SLOT_TERM_MS = 2_000;

/** Interval between the demand reports of a holder. */
export const DEMAND_INTERVAL_MS = 1_000;

/** Minimum time between two messages to the same peer about a shortage. */
export const SHORTAGE_INTERVAL_MS = 50;

/**
 * Term of a rate lease. It is longer than the time to detect a dead owner
 * (about 6 s), so that holders can use the shares of a dead owner until its
 * successor has taken over.
 */
export const RATE_TERM_MS = 8_000;

/** Time without an answer after which a lease request is sent again. */
export const ANSWER_TIMEOUT_MS = 300;
