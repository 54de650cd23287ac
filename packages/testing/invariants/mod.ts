/**
 * Guarantees of the system as invariants that are checked against recorded
 * sessions.
 *
 * @module
 */

import { AccurateRejections } from "./accurate_rejections.ts";
import { AtMostOnce } from "./at_most_once.ts";
import { CompleteResponses } from "./complete_responses.ts";
import { ConfigurationInForce } from "./configuration_in_force.ts";
import { GracefulStops } from "./graceful_stops.ts";
import { PriorityRespected } from "./priority_respected.ts";
import type { Invariant, Violation } from "./invariant.ts";
import { NoWorkAfterDrain } from "./no_work_after_drain.ts";
import { RetriesBounded } from "./retries_bounded.ts";
import type { SessionEvent } from "./session_event.ts";

export * from "./accurate_rejections.ts";
export * from "./at_most_once.ts";
export * from "./complete_responses.ts";
export * from "./configuration_in_force.ts";
export * from "./graceful_stops.ts";
export * from "./priority_respected.ts";
export * from "./invariant.ts";
export * from "./no_work_after_drain.ts";
export * from "./retries_bounded.ts";
export * from "./session_event.ts";

/** All invariants, in the order of the guarantees in the design. */
export const INVARIANTS: readonly Invariant[] = [
  new RetriesBounded(),
  new PriorityRespected(),
  new CompleteResponses(),
  new AccurateRejections(),
  new AtMostOnce(),
  new NoWorkAfterDrain(),
  new GracefulStops(),
  new ConfigurationInForce(),
];

/** Checks all invariants against a session. */
export function checkInvariants(
  session: readonly SessionEvent[],
): readonly Violation[] {
  return INVARIANTS.flatMap((invariant) => invariant.check(session));
}
