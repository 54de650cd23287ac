import { createHash, type Hash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import {
  type ErrorKind,
  type ExecutionStatus,
  isErrorKind,
} from "@oleanderdeck/errors";
import {
  ERROR_FIELD,
  REQUEST_FIELD,
  RETRY_AFTER_FIELD,
  RUN_FIELD,
} from "@oleanderdeck/protocol";

/** SHA-256 of a body in hexadecimal digits, where a sender gives it. */
export const BODY_HASH_FIELD = "x-body-sha256";

/**
 * How an attempt ended.
 *
 * - `whole`: a complete answer with a status below 400
 * - `rejected`: a complete answer with an error kind
 * - `error_status`: a complete answer with a status of 400 or more
 * - `cut`: an answer that ended before it was complete
 * - `wrong_body`: an answer whose body does not have the stated hash
 * - `timed_out`: no complete answer in time
 * - `not_connected`: no connection to the node
 * - `connection_lost`: the connection ended before the answer began
 * - `cancelled`: the run was ended
 */
export type AttemptOutcome =
  | "whole"
  | "rejected"
  | "error_status"
  | "cut"
  | "wrong_body"
  | "timed_out"
  | "not_connected"
  | "connection_lost"
  | "cancelled";

/** Result of one attempt. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  /** Error kind of a rejection. */
  readonly kind: ErrorKind | undefined;
  /** HTTP status; 0 when there was none. */
  readonly status: number;
  /** Whether the request was run, as far as the caller can tell. */
  readonly run: ExecutionStatus;
  /** Pause that the answer asks for; undefined when it names none. */
  readonly retryAfterMs: number | undefined;
  /** Identity or permit that the answer names. */
  readonly identity: string | undefined;
  /** Body, only when {@linkcode AttemptOptions.keepsBody} is set. */
  readonly body: string;
}

/** One HTTP request. */
export interface AttemptOptions {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  /** Whether the result has the body as text. */
  readonly keepsBody?: boolean;
}

const NOT_CONNECTED: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Greatest part of a body that is kept. */
const KEPT_BODY_BYTES = 65_536;

function field(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function isBodiless(method: string, status: number): boolean {
  return method === "HEAD" || status === 204 || status === 304;
}

class AttemptHandler implements Dispatcher.DispatchHandler {
  readonly #options: AttemptOptions;
  readonly #settle: (result: AttemptResult) => void;
  readonly #timer: NodeJS.Timeout;
  readonly #onAbort = () => this.#give("cancelled");
  readonly #kept: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #headers: IncomingHttpHeaders = {};
  #status = 0;
  #receivedBytes = 0;
  #hash: Hash | undefined;
  #isSettled = false;

  constructor(
    options: AttemptOptions,
    settle: (result: AttemptResult) => void,
  ) {
    this.#options = options;
    this.#settle = settle;
    // Timers run before sockets are read: an answer that arrived while the
    // process was busy is read first.
    this.#timer = setTimeout(
      () => setImmediate(() => this.#give("timed_out")),
      options.timeoutMs,
    );
    options.signal.addEventListener("abort", this.#onAbort);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isSettled) controller.abort(new Error("The attempt has ended"));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    this.#status = status;
    this.#headers = headers;
    if (headers[BODY_HASH_FIELD] !== undefined) {
      this.#hash = createHash("sha256");
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#options.keepsBody && this.#receivedBytes < KEPT_BODY_BYTES) {
      this.#kept.push(chunk);
    }
    this.#receivedBytes += chunk.length;
    this.#hash?.update(chunk);
  }

  onResponseEnd(): void {
    if (!this.#isComplete()) return this.#end("cut");
    const expected = field(this.#headers, BODY_HASH_FIELD);
    const isHashed = !isBodiless(this.#options.method, this.#status);
    if (isHashed && this.#hash && this.#hash.digest("hex") !== expected) {
      return this.#end("wrong_body");
    }
    if (field(this.#headers, ERROR_FIELD) !== undefined) {
      return this.#end("rejected");
    }
    this.#end(this.#status < 400 ? "whole" : "error_status");
  }

  onResponseError(_controller: unknown, error: Error): void {
    const { code } = error as { code?: string };
    if (this.#status > 0) this.#end("cut");
    else if (NOT_CONNECTED.has(code)) this.#end("not_connected");
    else this.#end("connection_lost");
  }

  /** Whether the body has the stated length or its terminating chunk. */
  #isComplete(): boolean {
    const length = field(this.#headers, "content-length");
    if (isBodiless(this.#options.method, this.#status)) return true;
    // Without either field the end of the connection ends the body, and a body
    // that was cut cannot be told from a whole one. The parser reports a
    // missing terminating chunk as an error.
    return length === undefined
      ? /\bchunked\b/i.test(field(this.#headers, "transfer-encoding") ?? "")
      : Number(length) === this.#receivedBytes;
  }

  #give(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#end(outcome);
    this.#controller?.abort(new Error("The attempt has ended"));
  }

  #end(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#timer);
    this.#options.signal.removeEventListener("abort", this.#onAbort);
    const kind = field(this.#headers, ERROR_FIELD) ?? "";
    const retryAfter = field(this.#headers, RETRY_AFTER_FIELD);
    this.#settle({
      outcome,
      kind: isErrorKind(kind) ? kind : undefined,
      status: this.#status,
      run: this.#run(outcome),
      retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter),
      identity: field(this.#headers, REQUEST_FIELD),
      body: Buffer.concat(this.#kept).toString(),
    });
  }

  #run(outcome: AttemptOutcome): ExecutionStatus {
    const stated = field(this.#headers, RUN_FIELD);
    if (stated === "no" || stated === "yes" || stated === "unknown") {
      return stated;
    }
    if (outcome === "whole") return "yes";
    const wasSent = this.#controller !== undefined;
    return outcome === "not_connected" || !wasSent ? "no" : "unknown";
  }
}

/**
 * Sends one HTTP request and checks that the answer is complete.
 *
 * @param dispatcher Connections to the node.
 * @param options The request. The promise is never rejected.
 */
export function sendAttempt(
  dispatcher: Dispatcher,
  options: AttemptOptions,
): Promise<AttemptResult> {
  return new Promise((resolve) => {
    const { method, path, headers, body } = options;
    const handler = new AttemptHandler(options, resolve);
    try {
      dispatcher.dispatch(
        { method, path, headers: { ...headers }, body: body ?? null },
        handler,
      );
    } catch (error) {
      // undici throws at once for headers and paths that HTTP does not allow.
      handler.onResponseError(undefined, error as Error);
    }
  });
}
