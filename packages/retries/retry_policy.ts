import type { ErrorKind, ExecutionStatus } from "@oleanderdeck/errors";
import { Allowance } from "./allowance.ts";
import type { AllowanceLedger } from "./allowance_ledger.ts";

/** First bound of the random wait before a retry, in milliseconds. */
const FIRST_BACKOFF_MS = 5;

/** Greatest bound of the random wait before a retry, in milliseconds. */
const GREATEST_BACKOFF_MS = 100;

/**
 * Refusals by one worker or node that another one may accept. Shedding and
 * limits are not among them, because they hold for the whole service.
 */
const REFUSED_BY_ONE_WORKER: ReadonlySet<ErrorKind> = new Set([
  "worker_refused",
  "connection_refused",
  "queue_full",
  "no_worker",
  "not_ready",
  "draining",
]);

/** Failures after which it is unknown whether the request has run. */
const LOST_ANSWERS: ReadonlySet<ErrorKind> = new Set([
  "connection_lost",
  "answer_cut",
]);

/** Failed attempt that may be made again. */
export interface AttemptFailure {
  readonly kind: ErrorKind;
  /** Whether the failed attempt was run. */
  readonly run: ExecutionStatus;
  readonly idempotent: boolean;
  /** Whether the whole body can be sent again. */
  readonly bodyResendable: boolean;
  /** Number of the failed attempt, from 1. */
  readonly attempt: number;
  /** Time until the deadline, in milliseconds. */
  readonly timeLeftMs: number;
  /** Expected duration of an attempt, in milliseconds. */
  readonly expectedDurationMs: number;
}

/** Call for which an allowance is needed. */
export interface AllowanceQuery {
  /** Retries that the service policy grants to a root request. */
  readonly policyRetries: number;
  /** Retries that the caller asks for; undefined when it does not say. */
  readonly requestedRetries: number | undefined;
  /** Signed context of the parent, for this node; undefined for a root. */
  readonly parent:
    | { readonly callId: Uint8Array; readonly lentRetries: number }
    | undefined;
}

/** Decides how many retries a call has and whether an attempt is repeated. */
export abstract class RetryPolicy {
  /** Finds the allowance of a call at this node. */
  abstract allowance(query: AllowanceQuery): Allowance;

  /**
   * Decides about a failed attempt, apart from the allowance and the budget.
   *
   * @returns Time to wait in milliseconds; undefined for no retry.
   */
  abstract delayMs(failure: AttemptFailure): number | undefined;
}

/**
 * Tells whether the same request may be sent again without a second run of a
 * non-idempotent request.
 */
export function maySendAgain(failure: AttemptFailure): boolean {
  if (!failure.bodyResendable) return false;
  if (failure.run === "no") return REFUSED_BY_ONE_WORKER.has(failure.kind);
  return failure.idempotent && failure.run === "unknown" &&
    LOST_ANSWERS.has(failure.kind);
}

/** Allowance of the whole call chain, handed down in signed contexts. */
export class ChainRetryPolicy extends RetryPolicy {
  readonly #ledger: AllowanceLedger;
  readonly #random: () => number;

  /**
   * @param ledger Retries lent to this node.
   * @param random Seeded source of numbers from 0 to below 1.
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
      GREATEST_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** (failure.attempt - 1),
    );
    const delay = this.#random() * bound;
    return delay + failure.expectedDurationMs < failure.timeLeftMs
      ? delay
      : undefined;
  }
}

/**
 * Fixed number of retries at every hop, without regard to the chain or the
 * time left. Baseline for comparisons; it multiplies load with the depth.
 */
export class PerHopRetryPolicy extends RetryPolicy {
  readonly #retries: number;
  readonly #delayMs: number;

  /**
   * @param retries Retries of each call at each hop.
   * @param delayMs Fixed wait before a retry, in milliseconds.
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

class HopAllowance extends Allowance {
  override lend(): number {
    return 0;
  }
}
