import type { IncomingMessage, ServerResponse } from "node:http";
import type { Either } from "purify-ts";
import type { AdmittedAttempt } from "@oleanderdeck/admission";
import { DeckError, type Run } from "@oleanderdeck/errors";
import type { RetryReason } from "@oleanderdeck/observability";
import {
  CONTEXT_FIELD,
  PRESSURE_FIELD,
  REQUEST_FIELD,
  RUN_FIELD,
  UNUSED_RETRIES_FIELD,
} from "@oleanderdeck/protocol";
import { Allowance } from "@oleanderdeck/retries";
import { readAnswer } from "./_answer.ts";
import { Attempt, type AttemptOwner } from "./_attempt.ts";
import type { Watched } from "./_call_watch.ts";
import type { EdgeParts } from "./_edge_parts.ts";
import { send } from "./_outgoing.ts";
import { PermitHold } from "./_permit_hold.ts";
import type { Intake } from "./_intake.ts";
import { sendRefusal } from "./_refusal.ts";
import { RequestBody } from "./_request_body.ts";

/**
 * One call from its header to the end of its answer, over all attempts. Works
 * by callbacks, because the usual call must need no promise.
 */
export class Call implements AttemptOwner, Watched {
  readonly #edge: EdgeParts;
  readonly #intake: Intake;
  readonly #response: ServerResponse;
  readonly #body: RequestBody;
  readonly #identity: string;
  readonly #permit: PermitHold | undefined;
  #excluded: readonly string[] = [];
  #allowance: Allowance | undefined;
  #attempts = 0;
  #attempt: Attempt | undefined;
  #backoff: NodeJS.Timeout | undefined;
  #failure: DeckError | undefined;
  #bodyProgressAt: number;
  #bodyBytes = 0;
  #collecting = false;
  #waiting: AbortController | undefined;
  #mayHaveRun = false;
  #callerGone = false;
  #done = false;

  constructor(
    edge: EdgeParts,
    intake: Intake,
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    this.#edge = edge;
    this.#intake = intake;
    this.#response = response;
    this.#identity = intake.identity ?? edge.reader.newIdentity();
    this.#body = new RequestBody(
      request,
      intake.bodyBytes,
      intake.policy.maximumBodyBytes,
    );
    this.#bodyProgressAt = edge.options.clock.now();
    if (!intake.rule.idempotent && intake.mode !== "serve") {
      this.#permit = new PermitHold(edge, intake);
      this.#identity = this.#permit.identity;
    }
  }

  /** Starts the call; everything else follows from events. */
  start(): void {
    this.#edge.watch.add(this, this.#dueAt(this.#bodyProgressAt));
    this.#response.on("close", () => this.#onCallerGone());
    // Writing to a connection that the caller has just closed is no fault.
    this.#response.on("error", () => {});
    const next = this.#permit?.begin((outcome) => this.#onJoined(outcome));
    if (next === "wait") return;
    if (next instanceof DeckError) {
      return this.#refuse(next, this.#permit!.refusalLines(next));
    }
    const proceed = next === "forward"
      ? () => this.#dispatch(this.#permit!.issuer!)
      : () => this.#admit();
    if (!this.#body.collectable) return proceed();
    this.#collecting = true;
    this.#body.collect(() => {
      this.#collecting = false;
      if (!this.#done) proceed();
    });
  }

  check(now: number): number {
    if (now >= this.#intake.deadline) this.#onDeadline();
    else if (this.#collecting) return this.#checkCollecting(now);
    else if (this.#attempt !== undefined && !this.#attempt.paused) {
      return this.#checkAttempt(this.#attempt, now);
    }
    return this.#dueAt(now);
  }

  #checkAttempt(attempt: Attempt, now: number): number {
    const dueAt = this.#dueAt(attempt.progressAt);
    if (now < dueAt) return dueAt;
    attempt.cancel();
    const run = attempt.sent ? "unknown" : "no";
    if (this.#body.waitsForCaller) {
      this.#end(
        new DeckError("deadline_exceeded", {
          run,
          message: "The request body stopped arriving",
        }),
      );
    } else {
      const kind = attempt.sent ? "connection_lost" : "connection_refused";
      const message = "The target made no progress";
      this.onAttemptFailed(new DeckError(kind, { message }), "no_progress");
    }
    return this.#dueAt(now);
  }

  /** Next time at which the call may be over its deadline or silent. */
  #dueAt(progressAt: number): number {
    const { deadline, policy } = this.#intake;
    return Math.min(deadline, progressAt + policy.progressTimeoutMs);
  }

  onAnswerStart(status: number, reason: string, raw: Buffer[]): void {
    const attempt = this.#attempt!;
    const { kind } = attempt.admitted.target;
    const answer = readAnswer(raw, kind);
    attempt.threshold = answer.threshold;
    if (answer.unusedRetries !== undefined) {
      this.#allowance!.giveBack(Math.min(answer.unusedRetries, attempt.lent));
    }
    if (answer.refusal !== undefined) {
      attempt.discard();
      return this.onAttemptFailed(
        answer.refusal,
        kind === "forward" ? "shed_by_serving_node" : "worker_refused",
      );
    }
    const lines = answer.passed;
    lines.push(RUN_FIELD, answer.run);
    this.#permit?.keepHeader(status, lines);
    if (this.#permit !== undefined) lines.push(REQUEST_FIELD, this.#identity);
    if (this.#intake.mode !== undefined) this.#pushPeerLines(lines);
    if (this.#edge.isDraining()) lines.push("connection", "close");
    if (!this.#callerGone) this.#response.writeHead(status, reason, lines);
  }

  onAnswerData(chunk: Buffer): boolean {
    this.#permit?.keepData(chunk);
    if (this.#callerGone || this.#response.write(chunk)) return true;
    this.#response.once("drain", () => this.#attempt?.resume());
    return false;
  }

  onAnswerEnd(): void {
    const attempt = this.#attempt!;
    this.#finishAttempt(undefined);
    const { target } = attempt.admitted;
    if (target.kind === "direct" && this.#intake.parent !== undefined) {
      this.#allowance!.keepLoan({
        callId: attempt.callId,
        nodeId: target.nodeId,
        incarnation: target.incarnation,
        amount: attempt.lent,
      });
    }
    this.#permit?.finishAnswered();
    this.#finish();
    if (!this.#callerGone) this.#response.end();
  }

  onAttemptFailed(error: DeckError, reason: RetryReason | undefined): void {
    const attempt = this.#attempt!;
    this.#finishAttempt(error);
    if (error.run === "no") this.#allowance!.giveBack(attempt.lent);
    else this.#mayHaveRun = true;
    if (this.#response.headersSent || this.#callerGone) return this.#end(error);
    if (this.#permit?.issuer !== undefined) {
      // Only the issuer knows whether the request has run.
      const stated = reason === "shed_by_serving_node";
      return this.#end(
        stated ? error : new DeckError("outcome_unknown", { cause: error }),
      );
    }
    this.#failure = error;
    const delay = reason === undefined || this.#intake.mode === "serve"
      ? undefined
      : this.#edge.options.retryPolicy.delayMs({
        kind: error.kind,
        run: error.run,
        idempotent: this.#intake.rule.idempotent,
        bodyResendable: this.#body.resendable,
        attempt: this.#attempts,
        timeLeftMs: this.#intake.deadline - this.#edge.options.clock.now(),
        expectedDurationMs: this.#edge.durations.of(this.#intake.service),
      });
    if (delay === undefined) return this.#end(error);
    this.#excluded = [...this.#excluded, attempt.admitted.target.nodeId];
    const allowance = this.#allowance!;
    if (allowance.remaining > 0 || !allowance.recoverable) {
      return this.#retry(delay, reason!);
    }
    allowance.recover(this.#edge.options.settlement).then(
      () => this.#retry(delay, reason!),
      () => this.#end(error),
    );
  }

  #retry(delay: number, reason: RetryReason): void {
    if (this.#done) return;
    const { retryBudget, metrics } = this.#edge.options;
    if (!this.#allowance!.take()) return this.#end(this.#failure!);
    if (!retryBudget.take(this.#intake.organisation)) {
      this.#allowance!.giveBack(1);
      return this.#end(this.#failure!);
    }
    metrics.countRetry(reason, this.#intake.service);
    this.#backoff = setTimeout(() => this.#admit(), delay);
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
      countsForLimit: intake.depth === 0 && this.#attempts === 0 &&
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
    answer.then(
      (late) => this.#onAdmission(late),
      (error) =>
        this.#end(new DeckError("internal", { run: "no", cause: error })),
    );
  }

  #onAdmission(answer: Either<DeckError, AdmittedAttempt>): void {
    this.#waiting = undefined;
    answer.caseOf({
      Left: (error) => {
        if (this.#done) return;
        // A refused retry tells less than the failure that led to it.
        if (this.#failure !== undefined) this.#allowance!.giveBack(1);
        this.#end(this.#failure ?? error);
      },
      Right: (admitted) => {
        if (!this.#done) return this.#dispatch(admitted);
        admitted.finish({
          durationMs: 0,
          failure: "caller_cancelled",
          threshold: undefined,
        });
      },
    });
  }

  #dispatch(admitted: AdmittedAttempt): void {
    const edge = this.#edge;
    const intake = this.#intake;
    this.#allowance ??= this.#openAllowance();
    this.#attempts++;
    if (this.#attempts === 1) {
      edge.options.retryBudget.countFirst(intake.organisation);
    }
    const serving = intake.mode === "serve";
    const attempt = new Attempt(this, {
      admitted,
      lent: serving ? 0 : this.#allowance.lend(),
      callId: serving ? intake.parent!.callId : edge.callIds.next(),
      now: () => edge.options.clock.now(),
    });
    this.#attempt = attempt;
    send(edge, attempt, {
      intake,
      identity: this.#identity,
      attemptNumber: this.#attempts,
      body: this.#body.payload(),
      mode: this.#permit?.issuer === undefined ? "serve" : "permit",
      context: serving ? intake.lines.own!.get(CONTEXT_FIELD) : undefined,
    });
  }

  #openAllowance(): Allowance {
    const { parent, policy, requestedRetries } = this.#intake;
    const mine = parent === undefined ||
      parent.audience === this.#edge.nodeId &&
        parent.audienceIncarnation === this.#edge.incarnation;
    if (!mine) return new Allowance(0);
    return this.#edge.options.retryPolicy.allowance({
      policyRetries: policy.retries,
      requestedRetries,
      parent,
    });
  }

  #pushPeerLines(lines: string[]): void {
    const { admission, allowances } = this.#edge.options;
    const { parent, service } = this.#intake;
    const unused = allowances.close(parent!.callId);
    lines.push(
      PRESSURE_FIELD,
      String(admission.threshold(service)),
      UNUSED_RETRIES_FIELD,
      String(Math.min(unused, parent!.lentRetries)),
    );
  }

  #checkCollecting(now: number): number {
    if (this.#body.collectedBytes !== this.#bodyBytes) {
      this.#bodyBytes = this.#body.collectedBytes;
      this.#bodyProgressAt = now;
    }
    const dueAt = this.#dueAt(this.#bodyProgressAt);
    if (now >= dueAt) {
      this.#end(
        new DeckError("deadline_exceeded", {
          run: "no",
          message: "The request body stopped arriving",
        }),
      );
    }
    return dueAt;
  }

  #onDeadline(): void {
    const run = this.#permit?.joined ? "unknown" : this.#runSoFar();
    this.#end(new DeckError("deadline_exceeded", { run }));
  }

  #onCallerGone(): void {
    if (this.#done) return;
    this.#callerGone = true;
    // A non-idempotent request that has begun runs to its end, so that its
    // outcome is known when the caller asks again with the same permit.
    const goesOn = this.#permit?.owned && this.#attempt?.sent &&
      this.#body.received;
    if (goesOn) return this.#attempt!.resume();
    this.#end(new DeckError("caller_cancelled", { run: this.#runSoFar() }));
  }

  #runSoFar(): Run {
    return this.#mayHaveRun || this.#attempt?.sent ? "unknown" : "no";
  }

  #onJoined(respond: (response: ServerResponse) => void): void {
    if (this.#done) return;
    this.#finish();
    respond(this.#response);
  }

  #finishAttempt(error: DeckError | undefined): void {
    const attempt = this.#attempt;
    if (attempt === undefined) return;
    this.#attempt = undefined;
    const durationMs = this.#edge.options.clock.now() - attempt.startedAt;
    if (error === undefined) {
      this.#edge.durations.observe(this.#intake.service, durationMs);
    }
    attempt.admitted.finish({
      durationMs,
      failure: error?.kind,
      threshold: attempt.threshold,
    });
  }

  /** Ends the call without a whole answer. */
  #end(last: DeckError): void {
    if (this.#done) return;
    // An earlier attempt may have run although the last one was not.
    const error = this.#mayHaveRun && last.run === "no"
      ? new DeckError(last.kind, { message: last.message, run: "unknown" })
      : last;
    this.#attempt?.cancel();
    this.#finishAttempt(error);
    this.#permit?.finishFailed(error);
    if (this.#callerGone) {
      this.#edge.options.metrics.countRefusal(error.kind, this.#intake.service);
      return this.#finish();
    }
    this.#refuse(error, this.#permit?.refusalLines(error));
  }

  #refuse(error: DeckError, extra?: readonly string[]): void {
    this.#finish();
    this.#edge.options.metrics.countRefusal(error.kind, this.#intake.service);
    // A cut answer must not end cleanly, so that the caller notices it.
    if (this.#response.headersSent) this.#response.destroy();
    else {
      const lines = [...extra ?? []];
      if (this.#intake.mode !== undefined) this.#pushPeerLines(lines);
      sendRefusal(this.#response, error, lines);
    }
  }

  #finish(): void {
    this.#done = true;
    clearTimeout(this.#backoff);
    this.#edge.watch.remove(this);
    this.#waiting?.abort();
  }
}
