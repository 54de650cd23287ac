import type { ErrorKind, ExecutionStatus } from "@oleanderdeck/errors";
import { Allowance } from "./allowance.ts";
import type { AllowanceLedger } from "./allowance_ledger.ts";

/**
 * Upper bound of the random delay before the first retry, in milliseconds. It
 * doubles with each further retry.
 */
const INITIAL_BACKOFF_MS = 5;

/** Maximum of that upper bound, in milliseconds. */
const MAX_BACKOFF_MS = 100;

/**
 * Refusals by one worker or node after which another one may accept the
 * request. Shedding and limits are not included, because they apply to the
 * whole service.
 */
const REFUSED_BY_ONE_WORKER: ReadonlySet<ErrorKind> = new Set([
  "worker_refused",
  "connection_refused",
  "queue_full",
  "no_worker",
  "not_ready",
  "draining",
]);

/** Failures that leave open whether the request has run. */
const LOST_ANSWERS: ReadonlySet<ErrorKind> = new Set([
  "connection_lost",
  "answer_cut",
]);

/** Failed attempt for which a {@linkcode RetryPolicy} decides on a retry. */
export interface AttemptFailure {
  readonly kind: ErrorKind;
  /** Whether the failed attempt was executed by the worker. */
  readonly run: ExecutionStatus;
  readonly idempotent: boolean;
  /** Whether the complete body can be sent again. */
  readonly bodyResendable: boolean;
  /** Number of the failed attempt, starting at 1. */
  readonly attempt: number;
  /** Time until the deadline, in milliseconds. */
  readonly timeLeftMs: number;
  /** Expected duration of an attempt, in milliseconds. */
  readonly expectedDurationMs: number;
}

/** Properties of a call that determine its allowance. */
export interface AllowanceQuery {
  /** Number of retries that the service policy grants to a root request. */
  readonly policyRetries: number;
  /** Number of retries requested by the caller; undefined if not specified. */
  readonly requestedRetries: number | undefined;
  /**
   * Content of the parent call's signed context, issued for this node; undefined
   * for a root request.
   */
  readonly parent:
    | { readonly callId: Uint8Array; readonly lentRetries: number }
    | undefined;
}

/** Decides how many retries a call has and whether an attempt is retried. */
export abstract class RetryPolicy {
  /** Returns the allowance of a call at this node. */
  abstract allowance(query: AllowanceQuery): Allowance;

  /**
   * Decides whether a failed attempt is retried, and after which delay. The
   * caller checks the allowance and the budget separately.
   *
   * @returns Delay in milliseconds; undefined if there is no retry.
   */
  abstract delayMs(failure: AttemptFailure): number | undefined;
}

/**
 * Returns whether a request may be sent again without the risk that a
 * non-idempotent request runs twice.
 */
export function maySendAgain(failure: AttemptFailure): boolean {
  if (!failure.bodyResendable) return false;
  if (failure.run === "no") return REFUSED_BY_ONE_WORKER.has(failure.kind);
  return failure.idempotent && failure.run === "unknown" &&
    LOST_ANSWERS.has(failure.kind);
}

/**
 * Policy with one allowance for the whole call chain. Each node lends part of it
 * to the next one through the signed context of a call.
 */
export class ChainRetryPolicy extends RetryPolicy {
  readonly #ledger: AllowanceLedger;
  readonly #random: () => number;

  /**
   * @param ledger Retries lent to this node.
   * @param random Returns a random number, at least 0 and below 1.
   */
  constructor(ledger: AllowanceLedger, random: () => number) {
    super();
    this.#ledger = ledger;
    this.#random = random;
  }

  allowance(query: AllowanceQuery): Allowance {
    if (query.parent !== undefined) {
      return this.#ledger.open(query.parent.callId, query.parent.lentRetries);
    }
    return new Allowance(
      Math.min(query.policyRetries, query.requestedRetries ?? Infinity),
    );
  }

  delayMs(failure: AttemptFailure): number | undefined {
    if (!maySendAgain(failure)) return undefined;
    const bound = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** (failure.attempt - 1),
    );
    const delay = this.#random() * bound;
    return delay + failure.expectedDurationMs < failure.timeLeftMs
      ? delay
      : undefined;
  }
}

/**
 * Policy with a fixed number of retries at every hop, regardless of the call
 * chain and of the time left. It is the baseline for comparisons: the load it
 * causes multiplies with the depth of the chain.
 */
export class PerHopRetryPolicy extends RetryPolicy {
  readonly #retries: number;
  readonly #delayMs: number;

  /**
   * @param retries Number of retries of each call at each hop.
   * @param delayMs Fixed delay before a retry, in milliseconds.
   */
  constructor(retries: number, delayMs: number) {
    super();
    this.#retries = retries;
    this.#delayMs = delayMs;
  }

  allowance(_query: AllowanceQuery): Allowance {
    return new HopAllowance(this.#retries);
  }

  delayMs(failure: AttemptFailure): number | undefined {
    return maySendAgain(failure) ? this.#delayMs : undefined;
  }
}

/** Allowance of a single hop, which lends no retries to the next one. */
class HopAllowance extends Allowance {
  override lend(): number {
    return 0;
  }
}
