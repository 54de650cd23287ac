import type { Readable } from "node:stream";
import type { Either } from "purify-ts";
import type { AdmittedAttempt } from "@oleanderdeck/admission";
import { DeckError, type ExecutionStatus } from "@oleanderdeck/errors";
import type { RetryReason } from "@oleanderdeck/observability";
import { CONTEXT_FIELD } from "@oleanderdeck/protocol";
import { readResponseHeader, type ResponseHeader } from "./_response_header.ts";
import { Attempt, type AttemptListener } from "./_attempt.ts";
import { CallAllowance } from "./_call_allowance.ts";
import type { SharedCallState } from "./_shared_call_state.ts";
import type { IncomingCall } from "./_incoming_call.ts";
import { dispatchAttempt } from "./_outgoing_request.ts";

/** Call on whose behalf an {@linkcode AttemptSeries} makes attempts. */
export interface AttemptSeriesDelegate {
  /** Whether the call has ended, so that later events are ignored. */
  readonly isOver: boolean;
  /** Whether another attempt may follow a failed one. */
  readonly mayRetry: boolean;
  /** Whether the complete request body can still be sent. */
  readonly bodyResendable: boolean;
  /** Returns the request body for one attempt. */
  payload(): Buffer | Readable | null;
  /** Called with the header of a response that is forwarded to the caller. */
  onResponseStart(status: number, reason: string, header: ResponseHeader): void;
  /** @returns Whether more data is wanted now. */
  onResponseData(chunk: Buffer): boolean;
  /** Called when the complete response has arrived. */
  onResponseEnd(): void;
  /** Called when the call has failed and no further attempt is made. */
  onFailed(error: DeckError): void;
  /** Called when a callback has thrown. */
  onFault(error: unknown): void;
}

/**
 * Sequential attempts of one call, each with its admission, dispatch, retry
 * decision and use of the retry allowance.
 */
export class AttemptSeries implements AttemptListener {
  readonly #shared: SharedCallState;
  readonly #incoming: IncomingCall;
  readonly #identity: string;
  readonly #delegate: AttemptSeriesDelegate;
  readonly #allowance: CallAllowance;
  #issuer: AdmittedAttempt | undefined;
  #excluded: readonly string[] = [];
  #number = 0;
  #attempt: Attempt | undefined;
  #admissionAbort: AbortController | undefined;
  #backoff: NodeJS.Timeout | undefined;
  #lastFailure: DeckError | undefined;
  #mayHaveRun = false;

  constructor(
    shared: SharedCallState,
    incoming: IncomingCall,
    options: {
      readonly identity: string;
      readonly delegate: AttemptSeriesDelegate;
    },
  ) {
    this.#shared = shared;
    this.#incoming = incoming;
    this.#identity = options.identity;
    this.#delegate = options.delegate;
    this.#allowance = new CallAllowance(shared, incoming);
  }

  /** Attempt in flight. */
  get current(): Attempt | undefined {
    return this.#attempt;
  }

  /** `unknown` if any attempt may have been executed, `no` otherwise. */
  get executionStatus(): ExecutionStatus {
    return this.#mayHaveRun || this.#attempt?.sent ? "unknown" : "no";
  }

  /** Starts the first attempt on the target that admission selects. */
  start(): void {
    if (!this.#allowance.shareEarlierAllowance()) return this.#admit();
    this.#mayHaveRun = true;
    if (this.#allowance.take()) return this.#admit();
    this.#delegate.onFailed(
      new DeckError("organisation_limit", {
        run: "unknown",
        message: "The retries of the request are used up",
      }),
    );
  }

  /** Forwards the call to the node that issued its permit. */
  startAtIssuer(issuer: AdmittedAttempt): void {
    this.#issuer = issuer;
    this.#dispatch(issuer);
  }

  /**
   * Cancels the attempt in flight, a pending admission and a pending retry,
   * because the call ends with an error.
   */
  stop(error: DeckError): void {
    const attempt = this.#attempt;
    if (attempt !== undefined && !attempt.sent) {
      this.#allowance.restore(attempt.lentRetries);
    }
    attempt?.cancel();
    this.#finishAttempt(error);
    clearTimeout(this.#backoff);
    this.#admissionAbort?.abort();
    if (error.run === "no") this.#allowance.recordNotRun();
  }

  /** Cancels the attempt after its progress timeout has expired. */
  onProgressTimeout(): void {
    const attempt = this.#attempt!;
    attempt.cancel();
    const kind = attempt.sent ? "connection_lost" : "connection_refused";
    const message = "The target made no progress";
    this.onAttemptFailed(new DeckError(kind, { message }), "no_progress");
  }

  onResponseStart(status: number, reason: string, raw: Buffer[]): void {
    const attempt = this.#attempt!;
    const { kind } = attempt.admitted.target;
    const header = readResponseHeader(raw, kind);
    attempt.threshold = header.threshold;
    const notRun = header.refusal?.run === "no";
    const unused = header.unusedRetries ?? (notRun ? attempt.lentRetries : 0);
    this.#allowance.restore(Math.min(unused, attempt.lentRetries));
    if (header.refusal === undefined) {
      return this.#delegate.onResponseStart(status, reason, header);
    }
    attempt.discard();
    this.onAttemptFailed(
      header.refusal,
      kind === "forward" ? "shed_by_serving_node" : "worker_refused",
    );
  }

  onResponseData(chunk: Buffer): boolean {
    return this.#delegate.onResponseData(chunk);
  }

  onResponseEnd(): void {
    const attempt = this.#attempt!;
    this.#finishAttempt(undefined);
    this.#allowance.recordLoan(attempt);
    this.#delegate.onResponseEnd();
  }

  onFault(error: unknown): void {
    this.#delegate.onFault(error);
  }

  onAttemptFailed(error: DeckError, reason: RetryReason | undefined): void {
    const attempt = this.#attempt!;
    this.#finishAttempt(error);
    if (error.run !== "no") this.#mayHaveRun = true;
    // After a response header, `onResponseStart` has already given back the
    // unused part of the lent retries.
    else if (!attempt.responded) this.#allowance.restore(attempt.lentRetries);
    if (this.#issuer !== undefined) return this.#failAtIssuer(error, reason);
    this.#lastFailure = error;
    const delay = reason === undefined || !this.#delegate.mayRetry
      ? undefined
      : this.#retryDelay(error);
    if (delay === undefined) return this.#fail(error);
    this.#excluded = [...this.#excluded, attempt.admitted.target.nodeId];
    const recovery = this.#allowance.recover();
    if (recovery === undefined) return this.#retry(delay, reason!);
    recovery.catch(() => {}).then(() => this.#retry(delay, reason!));
  }

  // Only the issuer of a permit can state whether the request has run. Without
  // its response the outcome is unknown.
  #failAtIssuer(error: DeckError, reason: RetryReason | undefined): void {
    const isServingNodeRefusal = reason === "shed_by_serving_node";
    this.#delegate.onFailed(
      isServingNodeRefusal
        ? error
        : new DeckError("outcome_unknown", { cause: error }),
    );
  }

  // If an earlier attempt may have run, the call may have run even if its last
  // attempt did not.
  #fail(error: DeckError): void {
    this.#delegate.onFailed(
      this.#mayHaveRun && error.run === "no"
        ? new DeckError(error.kind, { message: error.message, run: "unknown" })
        : error,
    );
  }

  #retryDelay(error: DeckError): number | undefined {
    const { options, durations } = this.#shared;
    return options.retryPolicy.delayMs({
      kind: error.kind,
      run: error.run,
      idempotent: this.#incoming.rule.idempotent,
      bodyResendable: this.#delegate.bodyResendable,
      attempt: this.#number,
      timeLeftMs: this.#incoming.deadline - options.clock.now(),
      expectedDurationMs: durations.of(this.#incoming.service),
    });
  }

  #retry(delay: number, reason: RetryReason): void {
    if (this.#delegate.isOver) return;
    if (!this.#allowance.take()) return this.#fail(this.#lastFailure!);
    this.#shared.options.metrics.countRetry(reason, this.#incoming.service);
    this.#backoff = setTimeout(() => {
      try {
        this.#admit();
      } catch (error) {
        this.#delegate.onFault(error);
      }
    }, delay);
  }

  #admit(): void {
    const incoming = this.#incoming;
    const controller = this.#shared.abortControllers.acquire();
    const result = this.#shared.options.admission.admit({
      service: incoming.service,
      organisation: incoming.organisation,
      priority: incoming.priority,
      shedKey: incoming.shedKey,
      deadline: incoming.deadline,
      excludedNodes: this.#excluded,
      countsForLimit: incoming.depth === 0 && this.#number === 0 &&
        incoming.forwardMode !== "serve",
      forwarded: incoming.forwardMode === "serve",
      callingService: incoming.forwardMode === undefined
        ? incoming.receivedContext?.service
        : undefined,
    }, controller.signal);
    if (!(result instanceof Promise)) {
      this.#shared.abortControllers.release(controller);
      return this.#onAdmission(result);
    }
    this.#admissionAbort = controller;
    result.then((lateResult) => this.#onAdmission(lateResult))
      .catch((error) => this.#delegate.onFault(error));
  }

  #onAdmission(result: Either<DeckError, AdmittedAttempt>): void {
    this.#admissionAbort = undefined;
    result.caseOf({
      Left: (error) => this.#onRefused(error),
      Right: (admitted) => {
        if (!this.#delegate.isOver) return this.#dispatch(admitted);
        admitted.finish({
          durationMs: 0,
          failure: "caller_cancelled",
          threshold: undefined,
        });
      },
    });
  }

  #onRefused(error: DeckError): void {
    if (this.#delegate.isOver) return;
    // The failure that caused a retry is more informative to the caller than the
    // refusal of that retry.
    if (this.#lastFailure !== undefined) this.#allowance.restore(1);
    this.#fail(this.#lastFailure ?? error);
  }

  #dispatch(admitted: AdmittedAttempt): void {
    const shared = this.#shared;
    const incoming = this.#incoming;
    this.#number++;
    if (this.#number === 1 && !this.#mayHaveRun) {
      shared.options.retryBudget.countFirstAttempt(incoming.organisation);
    }
    this.#allowance.registerRequest();
    const serving = incoming.forwardMode === "serve";
    const attempt = new Attempt(this, {
      admitted,
      lentRetries: serving ? 0 : this.#allowance.lend(),
      callId: serving
        ? incoming.receivedContext!.callId
        : shared.callIds.next(),
      now: shared.now,
    });
    this.#attempt = attempt;
    dispatchAttempt(shared, attempt, {
      incoming,
      identity: this.#identity,
      attemptNumber: this.#number,
      body: this.#delegate.payload(),
      mode: this.#issuer === undefined ? "serve" : "permit",
      context: serving
        ? incoming.headers.protocolFields!.get(CONTEXT_FIELD)
        : undefined,
    });
  }

  #finishAttempt(error: DeckError | undefined): void {
    const attempt = this.#attempt;
    if (attempt === undefined) return;
    this.#attempt = undefined;
    const durationMs = this.#shared.now() - attempt.startedAt;
    if (error === undefined) {
      this.#shared.durations.observe(this.#incoming.service, durationMs);
    }
    attempt.admitted.finish({
      durationMs,
      failure: error?.kind,
      threshold: attempt.threshold,
    });
  }
}
