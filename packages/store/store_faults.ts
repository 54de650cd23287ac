import { z } from "zod";

/** Maximum delay that can be added to a call, in milliseconds. */
export const MAX_ADDED_DELAY_MS = 600_000;

/** Schema of {@linkcode StoreFaults}, for the control endpoint. */
export const STORE_FAULTS_SCHEMA = z.strictObject({
  outage: z.enum(["none", "refuse", "hang"]),
  delayMs: z.number().min(0).max(MAX_ADDED_DELAY_MS),
  loseWriteAnswers: z.int().min(0),
});

/**
 * Faults that tests can inject into a {@linkcode MemoryStore}.
 *
 * - `outage`: `refuse` fails each call with `store_unavailable` without running
 *   it; `hang` delays calls until the outage ends.
 * - `delayMs`: time from the arrival of a call until it runs, in milliseconds.
 * - `loseWriteAnswers`: number of subsequent writes that take effect but whose
 *   answer is lost.
 */
export type StoreFaults = Readonly<z.infer<typeof STORE_FAULTS_SCHEMA>>;

/** No faults, the initial state of a store. */
export const NO_FAULTS: StoreFaults = {
  outage: "none",
  delayMs: 0,
  loseWriteAnswers: 0,
};

/** Kinds of store calls by which {@linkcode StoreCounters} counts. */
export const STORE_CALL_KINDS = [
  "get",
  "list",
  "put",
  "delete",
  "watch",
] as const;

/** Kind of a store call. */
export type StoreCallKind = (typeof STORE_CALL_KINDS)[number];

/**
 * Number of calls by kind since the start or the last reset, including failed
 * ones. A waiting watch counts as one call.
 */
export type StoreCounters = Readonly<Record<StoreCallKind, number>>;
