import type { Either } from "purify-ts";
import type { DeckError } from "@oleanderdeck/errors";

/** Priorities from the most to the least important. */
export const PRIORITIES = ["critical", "high", "normal", "low"] as const;

/** Name of a priority in documents. */
export type PriorityName = (typeof PRIORITIES)[number];

/** Index in {@linkcode PRIORITIES}, from 0 for `critical` to 3 for `low`. */
export type Priority = 0 | 1 | 2 | 3;

/**
 * Number of shed keys within one priority. The shed key, from 0 to 127, orders
 * the requests of a priority, so that overload rejects only some of them.
 */
export const SHED_KEY_COUNT = 128;

/** Organisation to which callers without a credential belong. */
export const ANONYMOUS_ORGANISATION = "anonymous";

/** Properties of a request according to the agreement of its organisation. */
export interface RequestRule {
  readonly priority: Priority;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Whether the request must carry a permit; `optional` if idempotent. */
  readonly permit: "optional" | "required";
  /** Cost of a failed request relative to an ordinary one, 1 by default. */
  readonly failureCost: number;
}

/** Limits of an organisation according to its agreement. */
export interface OrganisationPolicy {
  readonly organisation: string;
  /** Share of the capacity under overload relative to others, above 0. */
  readonly weight: number;
  /** Root requests per second over all nodes; undefined if unlimited. */
  readonly callsPerSecond: number | undefined;
}

/** Limits of a service according to its service policy. */
export interface ServicePolicy {
  readonly service: string;
  /** Timeout of a request that specifies none, in milliseconds. */
  readonly defaultTimeoutMs: number;
  /** Maximum timeout that a request may specify, in milliseconds. */
  readonly maximumTimeoutMs: number;
  /** Maximum number of retries of a root request, over its call chain. */
  readonly retries: number;
  /** Maximum size of a request body, in bytes. */
  readonly maximumBodyBytes: number;
  /** Maximum number of queued requests per node. */
  readonly queueLength: number;
  /** Time without progress after which a call is aborted, in milliseconds. */
  readonly progressTimeoutMs: number;
}

/** Request whose rule {@linkcode PolicyView.rule} looks up. */
export interface RuleQuery {
  readonly organisation: string;
  readonly service: string;
  /** HTTP method in upper case. */
  readonly method: string;
  /** Path after the service name, beginning with a slash. */
  readonly path: string;
}

/**
 * Read-only view of the policies and rules in all current documents. When a
 * document changes, a new view replaces it.
 */
export abstract class PolicyView {
  /** Returns the policy of a service; undefined if it has none. */
  abstract service(name: string): ServicePolicy | undefined;

  /** Returns the policy of an organisation; undefined without an agreement. */
  abstract organisation(name: string): OrganisationPolicy | undefined;

  /** Returns the policies of all organisations that have an agreement. */
  abstract organisations(): readonly OrganisationPolicy[];

  /**
   * Authenticates a caller.
   *
   * @param credential `<organisation>:<secret>`; undefined for a caller that
   * sends none.
   * @returns The policy of the caller's organisation, or an error of kind
   * `credential_refused` or `no_agreement` on the left side.
   */
  abstract authenticate(
    credential: string | undefined,
  ): Either<DeckError, OrganisationPolicy>;

  /**
   * Returns the rule of a request. The rule with the longest matching path
   * prefix applies.
   */
  abstract rule(query: RuleQuery): RequestRule;
}
