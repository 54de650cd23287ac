import type { Readable } from "node:stream";
import type { Either } from "purify-ts";
import type { AdmittedAttempt } from "@oleanderdeck/admission";
import { DeckError, type ExecutionStatus } from "@oleanderdeck/errors";
import type { RetryReason } from "@oleanderdeck/observability";
import { CONTEXT_FIELD } from "@oleanderdeck/protocol";
import { type Answer, readAnswer } from "./_answer.ts";
import { Attempt, type AttemptOwner } from "./_attempt.ts";
import { CallAllowance } from "./_call_allowance.ts";
import type { EdgeParts } from "./_edge_parts.ts";
import type { Intake } from "./_intake.ts";
import { send } from "./_outgoing.ts";

/** Call that a series of attempts is made for. */
export interface SeriesOwner {
  /** Whether the call has ended; later events are ignored. */
  readonly isOver: boolean;
  /** Whether a failed attempt can still be replaced by another one. */
  readonly mayRetry: boolean;
  /** Whether the whole body can be sent again. */
  readonly bodyResendable: boolean;
  /** Body for one attempt. */
  payload(): Buffer | Readable | null;
  onAnswerStart(status: number, reason: string, answer: Answer): void;
  onAnswerData(chunk: Buffer): boolean;
  onAnswerEnd(): void;
  /** Called when no further attempt is made. */
  onFailed(error: DeckError): void;
  /** Called when code of this project has thrown. */
  onFault(error: unknown): void;
}

/**
 * The attempts of one call, one after the other: admission, dispatch, retry
 * decision and retry allowance.
 */
export class AttemptSeries implements AttemptOwner {
  readonly #edge: EdgeParts;
  readonly #intake: Intake;
  readonly #identity: string;
  readonly #owner: SeriesOwner;
  readonly #allowance: CallAllowance;
  #issuer: AdmittedAttempt | undefined;
  #excluded: readonly string[] = [];
  #number = 0;
  #attempt: Attempt | undefined;
  #waiting: AbortController | undefined;
  #backoff: NodeJS.Timeout | undefined;
  #failure: DeckError | undefined;
  #mayHaveRun = false;

  constructor(
    edge: EdgeParts,
    intake: Intake,
    options: { readonly identity: string; readonly owner: SeriesOwner },
  ) {
    this.#edge = edge;
    this.#intake = intake;
    this.#identity = options.identity;
    this.#owner = options.owner;
    this.#allowance = new CallAllowance(edge, intake);
  }

  /** Attempt that is running now. */
  get current(): Attempt | undefined {
    return this.#attempt;
  }

  /** Whether any attempt may have run. */
  get runSoFar(): ExecutionStatus {
    return this.#mayHaveRun || this.#attempt?.sent ? "unknown" : "no";
  }

  /** Starts the first attempt on the target that admission chooses. */
  start(): void {
    if (!this.#allowance.joinEarlier()) return this.#admit();
    this.#mayHaveRun = true;
    if (this.#allowance.take()) return this.#admit();
    this.#owner.onFailed(
      new DeckError("organisation_limit", {
        run: "unknown",
        message: "The retries of the request are used up",
      }),
    );
  }

  /** Sends the call to the node that issued its permit. */
  startAtIssuer(issuer: AdmittedAttempt): void {
    this.#issuer = issuer;
    this.#dispatch(issuer);
  }

  /** Ends whatever is under way, because the call ends with an error. */
  stop(error: DeckError): void {
    const attempt = this.#attempt;
    if (attempt !== undefined && !attempt.sent) {
      this.#allowance.giveBack(attempt.lent);
    }
    attempt?.cancel();
    this.#finishAttempt(error);
    clearTimeout(this.#backoff);
    this.#waiting?.abort();
    if (error.run === "no") this.#allowance.recordNotRun();
  }

  /** Gives up an attempt whose target has become silent. */
  onSilence(): void {
    const attempt = this.#attempt!;
    attempt.cancel();
    const kind = attempt.sent ? "connection_lost" : "connection_refused";
    const message = "The target made no progress";
    this.onAttemptFailed(new DeckError(kind, { message }), "no_progress");
  }

  onAnswerStart(status: number, reason: string, raw: Buffer[]): void {
    const attempt = this.#attempt!;
    const { kind } = attempt.admitted.target;
    const answer = readAnswer(raw, kind);
    attempt.threshold = answer.threshold;
    const notRun = answer.refusal?.run === "no";
    const unused = answer.unusedRetries ?? (notRun ? attempt.lent : 0);
    this.#allowance.giveBack(Math.min(unused, attempt.lent));
    if (answer.refusal === undefined) {
      return this.#owner.onAnswerStart(status, reason, answer);
    }
    attempt.discard();
    this.onAttemptFailed(
      answer.refusal,
      kind === "forward" ? "shed_by_serving_node" : "worker_refused",
    );
  }

  onAnswerData(chunk: Buffer): boolean {
    return this.#owner.onAnswerData(chunk);
  }

  onAnswerEnd(): void {
    const attempt = this.#attempt!;
    this.#finishAttempt(undefined);
    this.#allowance.keepLoan(attempt);
    this.#owner.onAnswerEnd();
  }

  onFault(error: unknown): void {
    this.#owner.onFault(error);
  }

  onAttemptFailed(error: DeckError, reason: RetryReason | undefined): void {
    const attempt = this.#attempt!;
    this.#finishAttempt(error);
    if (error.run !== "no") this.#mayHaveRun = true;
    // Retries lent with an answered attempt were given back with the answer.
    else if (!attempt.answered) this.#allowance.giveBack(attempt.lent);
    if (this.#issuer !== undefined) return this.#failAtIssuer(error, reason);
    this.#failure = error;
    const delay = reason === undefined || !this.#owner.mayRetry
      ? undefined
      : this.#retryDelay(error);
    if (delay === undefined) return this.#fail(error);
    this.#excluded = [...this.#excluded, attempt.admitted.target.nodeId];
    const recovery = this.#allowance.recover();
    if (recovery === undefined) return this.#retry(delay, reason!);
    recovery.catch(() => {}).then(() => this.#retry(delay, reason!));
  }

  // Only the issuer knows whether a request under its permit has run.
  #failAtIssuer(error: DeckError, reason: RetryReason | undefined): void {
    const stated = reason === "shed_by_serving_node";
    this.#owner.onFailed(
      stated ? error : new DeckError("outcome_unknown", { cause: error }),
    );
  }

  // An earlier attempt may have run although the last one was not.
  #fail(error: DeckError): void {
    this.#owner.onFailed(
      this.#mayHaveRun && error.run === "no"
        ? new DeckError(error.kind, { message: error.message, run: "unknown" })
        : error,
    );
  }

  #retryDelay(error: DeckError): number | undefined {
    const { options, durations } = this.#edge;
    return options.retryPolicy.delayMs({
      kind: error.kind,
      run: error.run,
      idempotent: this.#intake.rule.idempotent,
      bodyResendable: this.#owner.bodyResendable,
      attempt: this.#number,
      timeLeftMs: this.#intake.deadline - options.clock.now(),
      expectedDurationMs: durations.of(this.#intake.service),
    });
  }

  #retry(delay: number, reason: RetryReason): void {
    if (this.#owner.isOver) return;
    if (!this.#allowance.take()) return this.#fail(this.#failure!);
    this.#edge.options.metrics.countRetry(reason, this.#intake.service);
    this.#backoff = setTimeout(() => {
      try {
        this.#admit();
      } catch (error) {
        this.#owner.onFault(error);
      }
    }, delay);
  }

  #admit(): void {
    const intake = this.#intake;
    const withdrawal = this.#edge.withdrawals.take();
    const answer = this.#edge.options.admission.admit({
      service: intake.service,
      organisation: intake.organisation,
      priority: intake.priority,
      shedKey: intake.shedKey,
      deadline: intake.deadline,
      excludedNodes: this.#excluded,
      countsForLimit: intake.depth === 0 && this.#number === 0 &&
        intake.mode !== "serve",
      forwarded: intake.mode === "serve",
      callingService: intake.mode === undefined
        ? intake.parent?.service
        : undefined,
    }, withdrawal.signal);
    if (!(answer instanceof Promise)) {
      this.#edge.withdrawals.giveBack(withdrawal);
      return this.#onAdmission(answer);
    }
    this.#waiting = withdrawal;
    answer.then((late) => this.#onAdmission(late))
      .catch((error) => this.#owner.onFault(error));
  }

  #onAdmission(answer: Either<DeckError, AdmittedAttempt>): void {
    this.#waiting = undefined;
    answer.caseOf({
      Left: (error) => this.#onRefused(error),
      Right: (admitted) => {
        if (!this.#owner.isOver) return this.#dispatch(admitted);
        admitted.finish({
          durationMs: 0,
          failure: "caller_cancelled",
          threshold: undefined,
        });
      },
    });
  }

  #onRefused(error: DeckError): void {
    if (this.#owner.isOver) return;
    // A refused retry tells less than the failure that led to it.
    if (this.#failure !== undefined) this.#allowance.giveBack(1);
    this.#fail(this.#failure ?? error);
  }

  #dispatch(admitted: AdmittedAttempt): void {
    const edge = this.#edge;
    const intake = this.#intake;
    this.#number++;
    if (this.#number === 1 && !this.#mayHaveRun) {
      edge.options.retryBudget.countFirstAttempt(intake.organisation);
    }
    this.#allowance.remember();
    const serving = intake.mode === "serve";
    const attempt = new Attempt(this, {
      admitted,
      lent: serving ? 0 : this.#allowance.lend(),
      callId: serving ? intake.parent!.callId : edge.callIds.next(),
      now: edge.now,
    });
    this.#attempt = attempt;
    send(edge, attempt, {
      intake,
      identity: this.#identity,
      attemptNumber: this.#number,
      body: this.#owner.payload(),
      mode: this.#issuer === undefined ? "serve" : "permit",
      context: serving ? intake.lines.own!.get(CONTEXT_FIELD) : undefined,
    });
  }

  #finishAttempt(error: DeckError | undefined): void {
    const attempt = this.#attempt;
    if (attempt === undefined) return;
    this.#attempt = undefined;
    const durationMs = this.#edge.now() - attempt.startedAt;
    if (error === undefined) {
      this.#edge.durations.observe(this.#intake.service, durationMs);
    }
    attempt.admitted.finish({
      durationMs,
      failure: error?.kind,
      threshold: attempt.threshold,
    });
  }
}
