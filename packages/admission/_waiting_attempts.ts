import { type Either, Left } from "purify-ts";
import { DeckError, type ErrorKind } from "@oleanderdeck/errors";
import { type WaitingAttempt, WaitQueue } from "./_wait_queue.ts";
import type { AdmissionRequest, AdmittedAttempt } from "./admission_control.ts";

/** Answer to an attempt. */
export type Answer = Either<DeckError, AdmittedAttempt>;

/** Attempt that waits for its answer. */
export interface Waiting extends WaitingAttempt {
  answer(answer: Answer): void;
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
export function cancelled(): DeckError {
  return new DeckError("caller_cancelled", { run: "no" });
}

/** Wait queue whose attempts are answered when they are refused. */
export class WaitingAttempts extends WaitQueue<Waiting> {
  /** Adds an attempt; a full queue refuses the least important one. */
  wait(
    request: AdmissionRequest,
    options: WaitOptions,
  ): Answer | Promise<Answer> {
    const { limit, now, signal } = options;
    if (this.length >= limit) {
      const victim = this.victim(request);
      if (victim === undefined) return Left(new DeckError("queue_full"));
      this.refuse(victim, "queue_full");
    }
    return new Promise((resolve) => {
      const withdraw = () => {
        if (this.remove(entry)) resolve(Left(cancelled()));
      };
      const entry: Waiting = {
        request,
        enqueuedAt: now,
        answer: (answer) => {
          signal?.removeEventListener("abort", withdraw);
          resolve(answer);
        },
      };
      this.push(entry);
      signal?.addEventListener("abort", withdraw);
    });
  }

  /** Refuses a waiting attempt. */
  refuse(entry: Waiting, kind: ErrorKind): void {
    if (!this.remove(entry)) return;
    entry.answer(Left(new DeckError(kind)));
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
  makeWay(request: AdmissionRequest): boolean {
    const victim = this.victim(request);
    if (victim === undefined) return false;
    if (victim.request.priority <= request.priority) return false;
    this.refuse(victim, "shed_low_priority");
    return true;
  }
}
