/** Term of a slot lease; the design's bound for the end of a lost lease. */
export const SLOT_TERM_MS = 2_000;

/** Interval between demand reports of a holder. */
export const DEMAND_INTERVAL_MS = 1_000;

/** Least time between two messages to the same peer about a shortage. */
export const SHORTAGE_INTERVAL_MS = 50;

/**
 * Term of a rate lease. It is longer than the detection of a dead owner
 * (about 6 s), so that the shares of a dead owner stay in use until its
 * successor has taken over.
 */
export const RATE_TERM_MS = 8_000;

/** Time without an answer after which a lease request is repeated. */
export const ANSWER_TIMEOUT_MS = 300;
