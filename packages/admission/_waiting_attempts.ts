import { type Either, Left } from "purify-ts";
import { DeckError, type ErrorKind } from "@oleanderdeck/errors";
import { type WaitingAttempt, WaitQueue } from "./_wait_queue.ts";
import type { AdmissionRequest, AdmittedAttempt } from "./admission_control.ts";

/** Answer to an attempt. */
export type AdmissionResult = Either<DeckError, AdmittedAttempt>;

/** Attempt that waits for its answer. */
export interface PendingAttempt extends WaitingAttempt {
  resolve(result: AdmissionResult): void;
}

/** Options of {@linkcode WaitingAttempts.wait}. */
export interface WaitOptions {
  readonly now: number;
  /** Greatest number of waiting attempts. */
  readonly limit: number;
  /** Withdraws the attempt. */
  readonly signal: AbortSignal | undefined;
}

/** Answer to an attempt that its caller withdrew before it ran. */
export function cancelledError(): DeckError {
  return new DeckError("caller_cancelled", { run: "no" });
}

/** Wait queue whose attempts are answered when they are refused. */
export class WaitingAttempts extends WaitQueue<PendingAttempt> {
  /** Adds an attempt; a full queue refuses the least important one. */
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

  /** Refuses a waiting attempt. */
  refuse(entry: PendingAttempt, kind: ErrorKind): void {
    if (!this.remove(entry)) return;
    entry.resolve(Left(new DeckError(kind)));
  }

  /** Refuses the waiting attempts that a condition selects. */
  refuseWhere(
    kind: ErrorKind,
    condition: (request: AdmissionRequest) => boolean,
  ): void {
    [...this.entries()]
      .filter((entry) => condition(entry.request))
      .forEach((entry) => this.refuse(entry, kind));
  }

  /**
   * Refuses a less important waiting attempt in the place of a request that
   * would be shed.
   *
   * @returns Whether there was one.
   */
  evictLowerPriority(request: AdmissionRequest): boolean {
    const candidate = this.evictionCandidate(request);
    if (candidate === undefined) return false;
    if (candidate.request.priority <= request.priority) return false;
    this.refuse(candidate, "shed_low_priority");
    return true;
  }
}
