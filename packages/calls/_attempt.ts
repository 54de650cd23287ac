import type { Dispatcher } from "undici";
import type { AdmittedAttempt } from "@oleanderdeck/admission";
import { DeckError } from "@oleanderdeck/errors";
import type { RetryReason } from "@oleanderdeck/observability";

/**
 * Maximum size of the rest of a refusal that is read so that the connection can
 * be reused, in bytes.
 */
const MAX_DISCARDED_BYTES = 65_536;

/** Time within which the rest of a refusal must arrive, in milliseconds. */
const DISCARD_TIMEOUT_MS = 1000;

/**
 * Receives the events of an attempt. No event follows
 * {@linkcode AttemptListener.onAttemptFailed}.
 */
export interface AttemptListener {
  /**
   * Called with the header of the final response.
   *
   * @param status HTTP status code.
   * @param reason HTTP reason phrase.
   * @param raw Alternating names and values.
   */
  onResponseStart(status: number, reason: string, raw: Buffer[]): void;
  /** @returns Whether more data is wanted now. */
  onResponseData(chunk: Buffer): boolean;
  /** Called when the complete response has arrived. */
  onResponseEnd(): void;
  /**
   * Called when the attempt has failed.
   *
   * @param error Failure, with its execution status.
   * @param reason Reason for a retry; undefined if no retry may follow.
   */
  onAttemptFailed(error: DeckError, reason: RetryReason | undefined): void;
  /** Called when a callback has thrown, because undici ignores such errors. */
  onFault(error: unknown): void;
}

/** One request to a target, implemented as a handler of undici's `dispatch`. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly #listener: AttemptListener;
  readonly #now: () => number;
  #abort: ((error?: Error) => void) | undefined;
  #resume: (() => void) | undefined;
  #responded = false;
  #ended = false;
  #discarding = false;
  #discardedBytes = 0;
  #discardTimer: NodeJS.Timeout | undefined;
  #paused = false;

  /** Admission result, which holds the slot and the target. */
  readonly admitted: AdmittedAttempt;
  /** Retries of the allowance that the target may use. */
  readonly lentRetries: number;
  /** Call identity in the context that is sent with the attempt. */
  readonly callId: Uint8Array;
  /** Monotonic time of the dispatch in milliseconds. */
  readonly startedAt: number;
  /** Monotonic time of the last observed progress in milliseconds. */
  progressAt: number;
  /** Shedding threshold of the service, as reported by the serving node. */
  threshold: number | undefined;

  constructor(listener: AttemptListener, options: AttemptOptions) {
    this.#listener = listener;
    this.#now = options.now;
    this.admitted = options.admitted;
    this.lentRetries = options.lentRetries;
    this.callId = options.callId;
    this.startedAt = options.now();
    this.progressAt = this.startedAt;
  }

  /** Whether any byte may have reached the target. */
  get sent(): boolean {
    return this.#abort !== undefined;
  }

  /** Whether the header of the final response has arrived. */
  get responded(): boolean {
    return this.#responded;
  }

  /** Whether reading the response is paused until the caller reads. */
  get paused(): boolean {
    return this.#paused;
  }

  /** Cancels the attempt and destroys its connection. */
  cancel(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#abort?.();
  }

  /** Ignores the rest of the response, and keeps the connection if it is short. */
  discard(): void {
    this.#discarding = true;
    this.#discardTimer = setTimeout(() => this.cancel(), DISCARD_TIMEOUT_MS)
      .unref();
  }

  /** Continues after {@linkcode AttemptListener.onResponseData} returned false. */
  resume(): void {
    if (!this.#paused) return;
    this.#paused = false;
    this.progressAt = this.#now();
    this.#resume?.();
  }

  /** Called by undici immediately before the first byte is written. */
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
    this.#responded = true;
    this.#resume = resume;
    this.#guard(() => this.#listener.onResponseStart(status, reason, raw));
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#discarding) {
      this.#discardedBytes += chunk.byteLength;
      if (this.#discardedBytes > MAX_DISCARDED_BYTES) this.cancel();
      return true;
    }
    if (this.#ended) return true;
    this.progressAt = this.#now();
    this.#paused = !this.#listener.onResponseData(chunk);
    return !this.#paused;
  }

  onComplete(): void {
    if (this.#ended) return;
    this.#ended = true;
    if (this.#discarding) clearTimeout(this.#discardTimer);
    else this.#guard(() => this.#listener.onResponseEnd());
  }

  onError(error: Error): void {
    if (this.#ended) return;
    this.#ended = true;
    if (this.#discarding) clearTimeout(this.#discardTimer);
    else this.#guard(() => this.#fail(error));
  }

  #fail(error: Error): void {
    if (error instanceof DeckError) {
      this.#listener.onAttemptFailed(error, undefined);
    } else if (isInvalidArgument(error)) {
      this.#listener.onAttemptFailed(
        new DeckError("malformed_request", { cause: error }),
        undefined,
      );
    } else {
      const kind = !this.sent
        ? "connection_refused"
        : this.#responded
        ? "answer_cut"
        : "connection_lost";
      this.#listener.onAttemptFailed(
        new DeckError(kind, { cause: error }),
        kind,
      );
    }
  }

  #guard(callback: () => void): void {
    try {
      callback();
    } catch (error) {
      this.#listener.onFault(error);
    }
  }
}

/** Options of {@linkcode Attempt}. */
export interface AttemptOptions {
  /** Admission result, which holds the slot and the target. */
  readonly admitted: AdmittedAttempt;
  /** Retries of the allowance that the target may use. */
  readonly lentRetries: number;
  /** Call identity in the context that is sent with the attempt. */
  readonly callId: Uint8Array;
  /** Returns the monotonic time in milliseconds. */
  readonly now: () => number;
}

function isInvalidArgument(error: Error): boolean {
  const code = (error as NodeJS.ErrnoException).code;
  return code === "UND_ERR_INVALID_ARG" || code === "UND_ERR_NOT_SUPPORTED";
}
