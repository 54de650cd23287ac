import type { IncomingMessage, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { DeckError } from "@oleanderdeck/errors";
import {
  PRESSURE_FIELD,
  REQUEST_FIELD,
  RUN_FIELD,
  UNUSED_RETRIES_FIELD,
} from "@oleanderdeck/protocol";
import type { Answer } from "./_answer.ts";
import type { Attempt } from "./_attempt.ts";
import { AttemptSeries, type SeriesOwner } from "./_attempt_series.ts";
import type { Watched } from "./_call_watch.ts";
import type { EdgeParts } from "./_edge_parts.ts";
import type { Intake } from "./_intake.ts";
import { type JoinedAnswer, PermitHold } from "./_permit_hold.ts";
import { sendRefusal } from "./_refusal.ts";
import { RequestBody } from "./_request_body.ts";

/**
 * One call from its header to the end of its answer, as its caller sees it.
 * Works by callbacks, because the usual call must need no promise.
 */
export class Call implements SeriesOwner, Watched {
  readonly #edge: EdgeParts;
  readonly #intake: Intake;
  readonly #response: ServerResponse;
  readonly #body: RequestBody;
  readonly #identity: string;
  readonly #permit: PermitHold | undefined;
  readonly #series: AttemptSeries;
  #bodyProgressAt: number;
  #bodyBytes = 0;
  #collecting = false;
  #callerGone = false;
  #over = false;

  constructor(
    edge: EdgeParts,
    intake: Intake,
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    this.#edge = edge;
    this.#intake = intake;
    this.#response = response;
    this.#bodyProgressAt = intake.receivedAt;
    this.#body = new RequestBody(
      request,
      intake.bodyBytes,
      intake.policy.maximumBodyBytes,
    );
    if (!intake.rule.idempotent && intake.mode !== "serve") {
      this.#permit = new PermitHold(edge, intake);
      this.#identity = this.#permit.identity;
    } else this.#identity = intake.identity ?? edge.reader.newIdentity();
    const identity = this.#identity;
    this.#series = new AttemptSeries(edge, intake, { identity, owner: this });
  }

  get isOver(): boolean {
    return this.#over;
  }

  get mayRetry(): boolean {
    return !this.#response.headersSent && !this.#callerGone &&
      this.#intake.mode !== "serve";
  }

  get bodyResendable(): boolean {
    return this.#body.resendable;
  }

  payload(): Buffer | Readable | null {
    return this.#body.payload();
  }

  /** Starts the call; everything else follows from events. */
  start(): void {
    this.#edge.watch.add(this, this.#dueAt(this.#bodyProgressAt));
    this.#response.on("close", () => this.#onCallerGone());
    // Writing to a connection that the caller has just closed is no fault.
    this.#response.on("error", () => {});
    const next = this.#permit?.begin((answer) => this.#onJoined(answer));
    if (next === "wait") return;
    if (next instanceof DeckError) return this.#refuse(next);
    if (!this.#body.collectable) return this.#proceed();
    this.#collecting = true;
    this.#body.collect(() => {
      this.#collecting = false;
      if (!this.#over) this.#proceed();
    });
  }

  #proceed(): void {
    try {
      const issuer = this.#permit?.issuer;
      if (issuer === undefined) this.#series.start();
      else this.#series.startAtIssuer(issuer);
    } catch (error) {
      this.onFault(error);
    }
  }

  check(now: number): number {
    if (now >= this.#intake.deadline) this.#onDeadline();
    else if (this.#collecting) return this.#checkCollecting(now);
    else {
      const attempt = this.#series.current;
      if (attempt !== undefined && !attempt.paused) {
        return this.#checkAttempt(attempt, now);
      }
    }
    return this.#dueAt(now);
  }

  onAnswerStart(status: number, reason: string, answer: Answer): void {
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
    this.#response.once("drain", () => this.#series.current?.resume());
    return false;
  }

  onAnswerEnd(): void {
    this.#permit?.finishAnswered();
    this.#finish();
    if (!this.#callerGone) this.#response.end();
  }

  onFailed(error: DeckError): void {
    this.#end(error);
  }

  /** Ends the call after a fault of the node, whatever state it is in. */
  onFault(error: unknown): void {
    this.#edge.options.log.write("error", "call_fault", {
      service: this.#intake.service,
      fault: error instanceof Error ? error.stack : String(error),
    });
    if (this.#over) {
      this.#response.destroy();
      return;
    }
    const run = this.#series.runSoFar;
    this.#end(new DeckError("internal", { run, cause: error }));
  }

  #checkAttempt(attempt: Attempt, now: number): number {
    const dueAt = this.#dueAt(attempt.progressAt);
    if (now < dueAt) return dueAt;
    if (this.#body.waitsForCaller) this.#endStoppedBody();
    else this.#series.onSilence();
    return this.#dueAt(now);
  }

  #checkCollecting(now: number): number {
    if (this.#body.collectedBytes !== this.#bodyBytes) {
      this.#bodyBytes = this.#body.collectedBytes;
      this.#bodyProgressAt = now;
    }
    const dueAt = this.#dueAt(this.#bodyProgressAt);
    if (now >= dueAt) this.#endStoppedBody();
    return dueAt;
  }

  /** Next time at which the call may be over its deadline or silent. */
  #dueAt(progressAt: number): number {
    const { deadline, policy } = this.#intake;
    return Math.min(deadline, progressAt + policy.progressTimeoutMs);
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

  #endStoppedBody(): void {
    this.#end(
      new DeckError("deadline_exceeded", {
        run: this.#series.runSoFar,
        message: "The request body stopped arriving",
      }),
    );
  }

  #onDeadline(): void {
    const run = this.#permit?.joined ? "unknown" : this.#series.runSoFar;
    this.#end(new DeckError("deadline_exceeded", { run }));
  }

  #onCallerGone(): void {
    if (this.#over) return;
    this.#callerGone = true;
    const attempt = this.#series.current;
    // A non-idempotent request that has begun runs to its end, so that its
    // outcome is known when the caller asks again with the same permit.
    if (this.#permit?.owned && attempt?.sent && this.#body.received) {
      return attempt.resume();
    }
    const run = this.#series.runSoFar;
    this.#end(new DeckError("caller_cancelled", { run }));
  }

  #onJoined(respond: JoinedAnswer): void {
    if (this.#over) return;
    this.#finish();
    respond(this.#response);
  }

  /** Ends the call without a whole answer. */
  #end(error: DeckError): void {
    if (this.#over) return;
    this.#over = true;
    this.#series.stop(error);
    this.#permit?.finishFailed(error);
    this.#refuse(error);
  }

  #refuse(error: DeckError): void {
    this.#finish();
    this.#edge.options.metrics.countRefusal(error.kind, this.#intake.service);
    if (this.#callerGone) return;
    if (this.#response.headersSent) {
      // A cut answer must not end cleanly, so that the caller notices it.
      this.#response.destroy();
      return;
    }
    const lines = [...this.#permit?.refusalLines(error) ?? []];
    if (this.#intake.mode !== undefined) this.#pushPeerLines(lines);
    if (this.#edge.isDraining()) lines.push("connection", "close");
    sendRefusal(this.#response, error, lines);
  }

  #finish(): void {
    this.#over = true;
    this.#edge.watch.remove(this);
  }
}
