import type { Either } from "purify-ts";
import type { DeckError } from "@oleanderdeck/errors";

/** Priorities from the most to the least important. */
export const PRIORITIES = ["critical", "high", "normal", "low"] as const;

/** Name of a priority in documents. */
export type PriorityName = (typeof PRIORITIES)[number];

/** Rank of a priority, 0 for `critical` to 3 for `low`. */
export type Priority = 0 | 1 | 2 | 3;

/** Number of shed keys within one priority. */
export const SHED_KEY_COUNT = 128;

/** Organisation of callers that send no credential. */
export const ANONYMOUS_ORGANISATION = "anonymous";

/** What an agreement says about one kind of request. */
export interface RequestRule {
  readonly priority: Priority;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Whether a non-idempotent request must bring a permit. */
  readonly permit: "optional" | "required";
  /** Cost of a failure relative to an ordinary request, 1 by default. */
  readonly failureCost: number;
}

/** What an agreement says about one organisation. */
export interface OrganisationPolicy {
  readonly organisation: string;
  /** Share under shortage relative to other organisations, above 0. */
  readonly weight: number;
  /** Root requests per second over all nodes; undefined means no limit. */
  readonly callsPerSecond: number | undefined;
}

/** What a service policy says. */
export interface ServicePolicy {
  readonly service: string;
  /** Time for a request that brings no timeout, in milliseconds. */
  readonly defaultTimeoutMs: number;
  /** Longest time that a request may ask for, in milliseconds. */
  readonly maximumTimeoutMs: number;
  /** Retry allowance of a root request. */
  readonly retries: number;
  /** Greatest size of a request body in bytes. */
  readonly maximumBodyBytes: number;
  /** Greatest number of waiting requests per node. */
  readonly queueLength: number;
  /** Time without progress after which a call is given up, in milliseconds. */
  readonly progressTimeoutMs: number;
}

/** Request whose rule is looked up. */
export interface RuleQuery {
  readonly organisation: string;
  readonly service: string;
  /** HTTP method in upper case. */
  readonly method: string;
  /** Path after the service segment, beginning with a slash. */
  readonly path: string;
}

/** Read-only lookup over all documents in force, replaced as a whole. */
export abstract class PolicyView {
  /** Policy of a service; undefined when the service has none. */
  abstract service(name: string): ServicePolicy | undefined;

  /** Policy of an organisation; undefined when it has no agreement. */
  abstract organisation(name: string): OrganisationPolicy | undefined;

  /** All organisations with an agreement. */
  abstract organisations(): readonly OrganisationPolicy[];

  /**
   * Finds the organisation of a caller.
   *
   * Answers with `credential_refused` or `no_agreement` on the left side.
   *
   * @param credential `<organisation>:<secret>`; undefined for a caller that
   * sends none.
   */
  abstract authenticate(
    credential: string | undefined,
  ): Either<DeckError, OrganisationPolicy>;

  /** Finds the rule of a request. The most specific rule applies. */
  abstract rule(query: RuleQuery): RequestRule;
}
