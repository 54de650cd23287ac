import type { IncomingMessage, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { DeckError } from "@oleanderdeck/errors";
import {
  PRESSURE_FIELD,
  REQUEST_FIELD,
  RUN_FIELD,
  UNUSED_RETRIES_FIELD,
} from "@oleanderdeck/protocol";
import type { ResponseHeader } from "./_response_header.ts";
import type { Attempt } from "./_attempt.ts";
import {
  AttemptSeries,
  type AttemptSeriesDelegate,
} from "./_attempt_series.ts";
import type { MonitoredCall } from "./_call_timeout_monitor.ts";
import type { SharedCallState } from "./_shared_call_state.ts";
import type { IncomingCall } from "./_incoming_call.ts";
import { CallPermit, type OutcomeWriter } from "./_call_permit.ts";
import { sendRefusal } from "./_refusal.ts";
import { RequestBody } from "./_request_body.ts";

/**
 * One call from its received header to the end of the response to its caller.
 * It uses callbacks to avoid the cost of promises, which a usual call does not
 * need.
 */
export class Call implements AttemptSeriesDelegate, MonitoredCall {
  readonly #shared: SharedCallState;
  readonly #incoming: IncomingCall;
  readonly #response: ServerResponse;
  readonly #body: RequestBody;
  readonly #identity: string;
  readonly #permit: CallPermit | undefined;
  readonly #series: AttemptSeries;
  #bodyProgressAt: number;
  #lastBufferedBytes = 0;
  #buffering = false;
  #callerGone = false;
  #over = false;

  constructor(
    shared: SharedCallState,
    incoming: IncomingCall,
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    this.#shared = shared;
    this.#incoming = incoming;
    this.#response = response;
    this.#bodyProgressAt = incoming.receivedAt;
    this.#body = new RequestBody(
      request,
      incoming.bodyBytes,
      incoming.policy.maximumBodyBytes,
    );
    if (!incoming.rule.idempotent && incoming.forwardMode !== "serve") {
      this.#permit = new CallPermit(shared, incoming);
      this.#identity = this.#permit.identity;
    } else this.#identity = incoming.identity ?? shared.reader.newIdentity();
    const identity = this.#identity;
    this.#series = new AttemptSeries(shared, incoming, {
      identity,
      delegate: this,
    });
  }

  get isOver(): boolean {
    return this.#over;
  }

  get mayRetry(): boolean {
    return !this.#response.headersSent && !this.#callerGone &&
      this.#incoming.forwardMode !== "serve";
  }

  get bodyResendable(): boolean {
    return this.#body.resendable;
  }

  payload(): Buffer | Readable | null {
    return this.#body.payload();
  }

  /** Starts the call. It then proceeds by events until it ends. */
  start(): void {
    this.#shared.monitor.add(this, this.#dueAt(this.#bodyProgressAt));
    this.#response.on("close", () => this.#onCallerGone());
    // Writing to a connection that the caller has closed is an expected error.
    this.#response.on("error", () => {});
    const decision = this.#permit?.begin((writeOutcome) =>
      this.#onPermitOutcome(writeOutcome)
    );
    if (decision === "wait") return;
    if (decision instanceof DeckError) return this.#refuse(decision);
    if (!this.#body.isBufferable) return this.#startAttempts();
    this.#buffering = true;
    this.#body.buffer(() => {
      this.#buffering = false;
      if (!this.#over) this.#startAttempts();
    });
  }

  #startAttempts(): void {
    try {
      const issuer = this.#permit?.issuer;
      if (issuer === undefined) this.#series.start();
      else this.#series.startAtIssuer(issuer);
    } catch (error) {
      this.onFault(error);
    }
  }

  check(now: number): number {
    if (now >= this.#incoming.deadline) this.#onDeadline();
    else if (this.#buffering) return this.#checkBuffering(now);
    else {
      const attempt = this.#series.current;
      if (attempt !== undefined && !attempt.paused) {
        return this.#checkAttempt(attempt, now);
      }
    }
    return this.#dueAt(now);
  }

  onResponseStart(
    status: number,
    reason: string,
    header: ResponseHeader,
  ): void {
    const headers = header.forwarded;
    headers.push(RUN_FIELD, header.run);
    this.#permit?.recordHeader(status, headers);
    if (this.#permit !== undefined) headers.push(REQUEST_FIELD, this.#identity);
    if (this.#incoming.forwardMode !== undefined) this.#addPeerHeaders(headers);
    if (this.#shared.isDraining()) headers.push("connection", "close");
    if (!this.#callerGone) this.#response.writeHead(status, reason, headers);
  }

  onResponseData(chunk: Buffer): boolean {
    this.#permit?.recordData(chunk);
    if (this.#callerGone || this.#response.write(chunk)) return true;
    this.#response.once("drain", () => this.#series.current?.resume());
    return false;
  }

  onResponseEnd(): void {
    this.#permit?.finishAnswered();
    this.#finish();
    if (!this.#callerGone) this.#response.end();
  }

  onFailed(error: DeckError): void {
    this.#end(error);
  }

  /** Logs an exception in the node and ends the call in any state. */
  onFault(error: unknown): void {
    this.#shared.options.log.write("error", "call_fault", {
      service: this.#incoming.service,
      fault: error instanceof Error ? error.stack : String(error),
    });
    if (this.#over) {
      this.#response.destroy();
      return;
    }
    const run = this.#series.executionStatus;
    this.#end(new DeckError("internal", { run, cause: error }));
  }

  #checkAttempt(attempt: Attempt, now: number): number {
    const dueAt = this.#dueAt(attempt.progressAt);
    if (now < dueAt) return dueAt;
    if (this.#body.waitsForCaller) this.#endStalledBody();
    else this.#series.onProgressTimeout();
    return this.#dueAt(now);
  }

  #checkBuffering(now: number): number {
    if (this.#body.bufferedBytes !== this.#lastBufferedBytes) {
      this.#lastBufferedBytes = this.#body.bufferedBytes;
      this.#bodyProgressAt = now;
    }
    const dueAt = this.#dueAt(this.#bodyProgressAt);
    if (now >= dueAt) this.#endStalledBody();
    return dueAt;
  }

  /** Earliest time at which the deadline or the progress timeout may expire. */
  #dueAt(progressAt: number): number {
    const { deadline, policy } = this.#incoming;
    return Math.min(deadline, progressAt + policy.progressTimeoutMs);
  }

  #addPeerHeaders(headers: string[]): void {
    const { admission, allowanceLedger } = this.#shared.options;
    const { receivedContext: parent, service } = this.#incoming;
    const unused = allowanceLedger.close(parent!.callId);
    headers.push(
      PRESSURE_FIELD,
      String(admission.threshold(service)),
      UNUSED_RETRIES_FIELD,
      String(Math.min(unused, parent!.lentRetries)),
    );
  }

  #endStalledBody(): void {
    this.#end(
      new DeckError("deadline_exceeded", {
        run: this.#series.executionStatus,
        message: "The request body stopped arriving",
      }),
    );
  }

  #onDeadline(): void {
    const run = this.#permit?.joined ? "unknown" : this.#series.executionStatus;
    this.#end(new DeckError("deadline_exceeded", { run }));
  }

  #onCallerGone(): void {
    if (this.#over) return;
    this.#callerGone = true;
    const attempt = this.#series.current;
    // A non-idempotent request that was sent runs to completion, so that its
    // outcome is known if the caller sends it again with the same permit.
    if (this.#permit?.executing && attempt?.sent && this.#body.received) {
      return attempt.resume();
    }
    const run = this.#series.executionStatus;
    this.#end(new DeckError("caller_cancelled", { run }));
  }

  #onPermitOutcome(writeOutcome: OutcomeWriter): void {
    if (this.#over) return;
    this.#finish();
    writeOutcome(this.#response);
  }

  /** Ends the call without a complete response. */
  #end(error: DeckError): void {
    if (this.#over) return;
    this.#over = true;
    this.#series.stop(error);
    this.#permit?.finishFailed(error);
    this.#refuse(error);
  }

  #refuse(error: DeckError): void {
    this.#finish();
    this.#shared.options.metrics.countRefusal(
      error.kind,
      this.#incoming.service,
    );
    if (this.#callerGone) return;
    if (this.#response.headersSent) {
      // A truncated response must not end cleanly, so that the caller detects it.
      this.#response.destroy();
      return;
    }
    const headers = [...this.#permit?.refusalHeaders(error) ?? []];
    if (this.#incoming.forwardMode !== undefined) this.#addPeerHeaders(headers);
    if (this.#shared.isDraining()) headers.push("connection", "close");
    sendRefusal(this.#response, error, headers);
  }

  #finish(): void {
    this.#over = true;
    this.#shared.monitor.remove(this);
  }
}
