import type { ErrorKind } from "@oleanderdeck/errors";
import type { HeaderList, WorkerStatement } from "@oleanderdeck/hop";
import type { MemoryReservation } from "./memory_reservation.ts";

/** One call to the worker beside this node. */
export interface WorkerCall {
  readonly requestId: string;
  /** Name of the request's route. */
  readonly route: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly timeLeftMs: number;
  /**
   * Latency up to which an answer has its full value to the caller, in
   * milliseconds.
   */
  readonly latencyTargetMs: number;
  /** Position of the request in the priority order; 0 is served first. */
  readonly rank: number;
  readonly isIdempotent: boolean;
  /**
   * Whether the request, or one during whose execution it was made, had been
   * sent to another worker before.
   */
  readonly isRepeat: boolean;
  /**
   * Share of the requests like the one that began the chain that were admitted
   * when it began, above 0 and up to 1; 1 if absent.
   */
  readonly admittedShare?: number | undefined;
  /** What the caller's node knows that the worker has said in its answers. */
  readonly statement?: WorkerStatement;
}

/** What a worker says of itself in the header of an answer. */
export interface AnswerStatement {
  /**
   * Requests a second that it takes from all hosts together, as text; undefined
   * if it names no limit.
   */
  readonly requestLimit: string | undefined;
  /** Whether it takes no more requests, because it stops. */
  readonly isLeaving: boolean;
}

/** Complete answer of the worker. */
export interface WorkerAnswer {
  readonly kind: "answer";
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /**
   * Whether a call that the worker made for the request was refused, so that
   * another worker would most likely fail as well.
   */
  readonly isRefusedBelow: boolean;
  /**
   * Memory of the body. Whoever keeps the body after the call that delivers the
   * answer hands it over to itself; otherwise it is closed then.
   */
  readonly memory?: MemoryReservation | undefined;
}

/** Outcome of a call that received no usable answer. */
export interface WorkerFailure {
  readonly kind: "failure";
  readonly error: ErrorKind;
  /** Whether the worker may have run the call, or may still run it. */
  readonly mayHaveRun: boolean;
  /** Whether the call was sent to the worker. */
  readonly wasSent: boolean;
  /**
   * Time after which a slot is expected to be free, in milliseconds; 0 if it
   * was not estimated.
   */
  readonly retryAfterMs: number;
}

/** Outcome of a call to the worker beside this node. */
export type WorkerResult = WorkerAnswer | WorkerFailure;
