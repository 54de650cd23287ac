import { type Either, Left } from "purify-ts";
import { DeckError, type ErrorKind } from "@oleanderdeck/errors";
import { type WaitingAttempt, WaitQueue } from "./_wait_queue.ts";
import type { AdmissionRequest, AdmittedAttempt } from "./admission_control.ts";

/** Result of a request for a slot. */
export type AdmissionResult = Either<DeckError, AdmittedAttempt>;

/** Waiting attempt whose result is still to be delivered. */
export interface PendingAttempt extends WaitingAttempt {
  /** Delivers the result to the caller. */
  resolve(result: AdmissionResult): void;
}

/** Options of {@linkcode WaitingAttempts.wait}. */
export interface WaitOptions {
  /** Current time in milliseconds on the node's clock. */
  readonly now: number;
  /** Maximum number of waiting attempts. */
  readonly limit: number;
  /** Withdraws the attempt. */
  readonly signal: AbortSignal | undefined;
}

/** Returns the error of an attempt that its caller withdrew before it ran. */
export function cancelledError(): DeckError {
  return new DeckError("caller_cancelled", { run: "no" });
}

/** Wait queue that delivers the result of attempts that it refuses. */
export class WaitingAttempts extends WaitQueue<PendingAttempt> {
  /**
   * Queues an attempt. If the queue is full, the least important attempt, which
   * may be the new one, is refused with `queue_full`.
   */
  wait(
    request: AdmissionRequest,
    options: WaitOptions,
  ): AdmissionResult | Promise<AdmissionResult> {
    const { limit, now, signal } = options;
    if (this.length >= limit) {
      const candidate = this.evictionCandidate(request);
      if (candidate === undefined) return Left(new DeckError("queue_full"));
      this.refuse(candidate, "queue_full");
    }
    return new Promise((resolve) => {
      const withdraw = () => {
        if (this.remove(entry)) resolve(Left(cancelledError()));
      };
      const entry: PendingAttempt = {
        request,
        enqueuedAt: now,
        resolve: (result) => {
          signal?.removeEventListener("abort", withdraw);
          resolve(result);
        },
      };
      this.push(entry);
      signal?.addEventListener("abort", withdraw);
    });
  }

  /** Refuses a waiting attempt with an error kind. */
  refuse(entry: PendingAttempt, kind: ErrorKind): void {
    if (!this.remove(entry)) return;
    entry.resolve(Left(new DeckError(kind)));
  }

  /** Refuses the waiting attempts whose request meets a condition. */
  refuseWhere(
    kind: ErrorKind,
    condition: (request: AdmissionRequest) => boolean,
  ): void {
    [...this.entries()]
      .filter((entry) => condition(entry.request))
      .forEach((entry) => this.refuse(entry, kind));
  }

  /**
   * Refuses a waiting attempt of a lower priority instead of a request that
   * would be shed.
   *
   * @returns Whether there was such an attempt.
   */
  evictLowerPriority(request: AdmissionRequest): boolean {
    const candidate = this.evictionCandidate(request);
    if (candidate === undefined) return false;
    if (candidate.request.priority <= request.priority) return false;
    this.refuse(candidate, "shed_low_priority");
    return true;
  }
}
