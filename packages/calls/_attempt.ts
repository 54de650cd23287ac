import type { Dispatcher } from "undici";
import type { AdmittedAttempt } from "@oleanderdeck/admission";
import { DeckError } from "@oleanderdeck/errors";
import type { RetryReason } from "@oleanderdeck/observability";

/** Part of a refused answer that is read so that the connection stays usable. */
const DISCARDED_BYTES = 65_536;

/** Time for the rest of a refused answer to arrive, in milliseconds. */
const DISCARD_MS = 1000;

/** Receives what happens to an attempt. Nothing follows `onAttemptFailed`. */
export interface AttemptOwner {
  /**
   * Called with the header of the answer.
   *
   * @param raw Names and values in turn.
   */
  onAnswerStart(status: number, reason: string, raw: Buffer[]): void;
  /** @returns Whether more data is wanted now. */
  onAnswerData(chunk: Buffer): boolean;
  onAnswerEnd(): void;
  onAttemptFailed(error: DeckError, reason: RetryReason | undefined): void;
  /** Called when a callback has thrown; undici would swallow the error. */
  onFault(error: unknown): void;
}

/** One request to a target, as a handler for undici's `dispatch`. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly #owner: AttemptOwner;
  readonly #now: () => number;
  #abort: ((error?: Error) => void) | undefined;
  #resume: (() => void) | undefined;
  #answered = false;
  #ended = false;
  #discarding = false;
  #discarded = 0;
  #discardTimer: NodeJS.Timeout | undefined;
  #paused = false;

  /** Slot and target of the attempt. */
  readonly admitted: AdmittedAttempt;
  /** Retries lent with the attempt. */
  readonly lent: number;
  readonly callId: Uint8Array;
  readonly startedAt: number;
  /** Time of the last byte in either direction. */
  progressAt: number;
  /** Threshold that the serving node sent. */
  threshold: number | undefined;

  constructor(owner: AttemptOwner, options: AttemptOptions) {
    this.#owner = owner;
    this.#now = options.now;
    this.admitted = options.admitted;
    this.lent = options.lent;
    this.callId = options.callId;
    this.startedAt = options.now();
    this.progressAt = this.startedAt;
  }

  /** Whether any byte may have reached the target. */
  get sent(): boolean {
    return this.#abort !== undefined;
  }

  /** Whether the header of the answer has arrived. */
  get answered(): boolean {
    return this.#answered;
  }

  /** Whether the target waits for the caller to read. */
  get paused(): boolean {
    return this.#paused;
  }

  /** Gives the attempt up and destroys its connection. */
  cancel(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#abort?.();
  }

  /** Ignores the rest of the answer but keeps the connection if it is short. */
  discard(): void {
    this.#discarding = true;
    this.#discardTimer = setTimeout(() => this.cancel(), DISCARD_MS).unref();
  }

  /** Continues after `onAnswerData` returned false. */
  resume(): void {
    if (!this.#paused) return;
    this.#paused = false;
    this.progressAt = this.#now();
    this.#resume?.();
  }

  /** Called by undici right before the first byte is written. */
  onConnect(abort: (error?: Error) => void): void {
    if (this.#ended) return abort();
    this.#abort = abort;
    this.progressAt = this.#now();
  }

  onBodySent(): void {
    this.progressAt = this.#now();
  }

  onHeaders(
    status: number,
    raw: Buffer[],
    resume: () => void,
    reason: string,
  ): boolean {
    this.progressAt = this.#now();
    if (status < 200) return true;
    this.#answered = true;
    this.#resume = resume;
    this.#guard(() => this.#owner.onAnswerStart(status, reason, raw));
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#discarding) {
      this.#discarded += chunk.byteLength;
      if (this.#discarded > DISCARDED_BYTES) this.cancel();
      return true;
    }
    if (this.#ended) return true;
    this.progressAt = this.#now();
    this.#paused = !this.#owner.onAnswerData(chunk);
    return !this.#paused;
  }

  onComplete(): void {
    if (this.#ended) return;
    this.#ended = true;
    if (this.#discarding) clearTimeout(this.#discardTimer);
    else this.#guard(() => this.#owner.onAnswerEnd());
  }

  onError(error: Error): void {
    if (this.#ended) return;
    this.#ended = true;
    if (this.#discarding) clearTimeout(this.#discardTimer);
    else this.#guard(() => this.#fail(error));
  }

  #fail(error: Error): void {
    if (error instanceof DeckError) {
      this.#owner.onAttemptFailed(error, undefined);
    } else if (isInvalidArgument(error)) {
      this.#owner.onAttemptFailed(
        new DeckError("malformed_request", { cause: error }),
        undefined,
      );
    } else {
      const kind = !this.sent
        ? "connection_refused"
        : this.#answered
        ? "answer_cut"
        : "connection_lost";
      this.#owner.onAttemptFailed(new DeckError(kind, { cause: error }), kind);
    }
  }

  #guard(callback: () => void): void {
    try {
      callback();
    } catch (error) {
      this.#owner.onFault(error);
    }
  }
}

/** Options of {@linkcode Attempt}. */
export interface AttemptOptions {
  readonly admitted: AdmittedAttempt;
  readonly lent: number;
  readonly callId: Uint8Array;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
}

function isInvalidArgument(error: Error): boolean {
  const code = (error as NodeJS.ErrnoException).code;
  return code === "UND_ERR_INVALID_ARG" || code === "UND_ERR_NOT_SUPPORTED";
}
