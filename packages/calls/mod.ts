/**
 * Data path of calls: HTTP edge, streaming dispatch, deadlines, cancellation and forwarding.
 *
 * @module
 */

export {};
