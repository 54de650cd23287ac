import type { ErrorKind } from "@oleanderdeck/errors";
import type { HeaderLines } from "@oleanderdeck/hop";

/** One call for the own worker. */
export interface WorkerCall {
  readonly requestId: string;
  /** Name of the request's route. */
  readonly route: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderLines;
  readonly body: Buffer;
  /** Time until the caller needs an answer, in milliseconds. */
  readonly timeLeftMs: number;
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly latencyTargetMs: number;
  /** Rank of the request; 0 is served first. */
  readonly rank: number;
  readonly isIdempotent: boolean;
  /**
   * Whether the request, or one that led to it, was sent to another worker
   * before.
   */
  readonly isRepeat: boolean;
}

/** Complete answer of the worker. */
export interface WorkerAnswer {
  readonly kind: "answer";
  readonly status: number;
  readonly headers: HeaderLines;
  readonly body: Buffer;
}

/** A call that got no usable answer. */
export interface WorkerFailure {
  readonly kind: "failure";
  readonly error: ErrorKind;
  /** Whether the worker may have run the call, or may still run it. */
  readonly mayHaveRun: boolean;
  /** Whether the call was sent to the worker. */
  readonly wasSent: boolean;
  /** Time after which a slot is expected to be free, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Outcome of a call at the own worker. */
export type WorkerResult = WorkerAnswer | WorkerFailure;
