import { z } from "zod";

/** Longest delay that can be added to a call, in milliseconds. */
export const MAX_ADDED_DELAY_MS = 600_000;

/** Schema of {@linkcode StoreFaults}, for the control endpoint. */
export const STORE_FAULTS_SCHEMA = z.strictObject({
  outage: z.enum(["none", "refuse", "hang"]),
  delayMs: z.number().min(0).max(MAX_ADDED_DELAY_MS),
  loseWriteAnswers: z.int().min(0),
});

/**
 * Faults of a store that tests can switch on.
 *
 * - `outage`: `refuse` answers each call with `store_unavailable` without
 *   running it; `hang` gives no answer until the outage ends.
 * - `delayMs`: time between the arrival of a call and the moment it is run.
 * - `loseWriteAnswers`: number of following writes that take effect although
 *   their answer is lost.
 */
export type StoreFaults = Readonly<z.infer<typeof STORE_FAULTS_SCHEMA>>;

/** Faults of a store that works. */
export const NO_FAULTS: StoreFaults = {
  outage: "none",
  delayMs: 0,
  loseWriteAnswers: 0,
};

/** Kinds of calls of a store, as counted. */
export const STORE_CALL_KINDS = [
  "get",
  "list",
  "put",
  "delete",
  "watch",
] as const;

/** Kind of a call of a store. */
export type StoreCallKind = (typeof STORE_CALL_KINDS)[number];

/**
 * Number of calls by kind since the start or the last reset, failed ones
 * included. A waiting watch counts as one call.
 */
export type StoreCounters = Readonly<Record<StoreCallKind, number>>;
