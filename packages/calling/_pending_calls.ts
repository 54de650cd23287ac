import type { ErrorKind } from "@oleanderdeck/errors";
import type { Link } from "@oleanderdeck/hop";
import type { MemoryReservation, WorkerResult } from "@oleanderdeck/serving";

/** Call without an outcome yet. */
export interface PendingCall {
  readonly finish: (result: WorkerResult) => void;
  readonly isIdempotent: boolean;
  readonly latencyTargetMs: number;
  /** Link on which the call was sent or claimed; undefined if it was not. */
  link: Link | undefined;
  /** Sends the call on a link. */
  readonly send: (link: Link) => void;
  /** Whether nobody waits for the outcome any more. */
  isCancelled: boolean;
  /** Memory of an answer that is being received. */
  answer?: MemoryReservation | undefined;
  /** Gives the call up while its link is silent. */
  holdTimer?: NodeJS.Timeout | undefined;
}

/** Call with its number, which no other call of the channel has. */
export type NumberedCall = readonly [id: number, call: PendingCall];

/** Calls of a channel that have no outcome yet. */
export class PendingCalls {
  readonly #calls = new Map<number, PendingCall>();

  get size(): number {
    return this.#calls.size;
  }

  get(id: number): PendingCall | undefined {
    return this.#calls.get(id);
  }

  add(id: number, call: PendingCall): void {
    this.#calls.set(id, call);
  }

  /** Calls that were sent or claimed on a link; on none if it is undefined. */
  on(link: Link | undefined): readonly NumberedCall[] {
    return [...this.#calls].filter(([, call]) => call.link === link);
  }

  /** Sends the calls that were not sent so far. */
  sendUnsent(link: Link): void {
    this.#calls.forEach((call) => {
      if (call.link === undefined) call.send(link);
    });
  }

  /** Ends a call; returns it if it had no outcome yet. */
  settle(id: number, result: WorkerResult): PendingCall | undefined {
    const call = this.#calls.get(id);
    if (call === undefined) return undefined;
    this.#calls.delete(id);
    clearTimeout(call.holdTimer);
    call.finish(result);
    call.answer?.close();
    return call;
  }
}

/** Returns the outcome of a call that has no answer. */
export function callFailure(
  error: ErrorKind,
  mayHaveRun: boolean,
): WorkerResult {
  return {
    kind: "failure",
    error,
    mayHaveRun,
    wasSent: mayHaveRun,
    retryAfterMs: 0,
  };
}
