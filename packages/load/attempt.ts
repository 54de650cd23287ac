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

/** Optional header field with the SHA-256 of the body in hexadecimal digits. */
export const BODY_HASH_FIELD = "x-body-sha256";

/**
 * How an attempt ended.
 *
 * - `whole`: complete response with a status below 400
 * - `rejected`: complete response with an error kind
 * - `error_status`: complete response with a status of 400 or more and no error
 *   kind
 * - `cut`: response that ended before it was complete
 * - `wrong_body`: response whose body does not have the stated hash
 * - `timed_out`: no complete response within the timeout
 * - `not_connected`: the connection to the node could not be opened
 * - `connection_lost`: the connection ended before the response began
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
  /** HTTP status; 0 if no response began. */
  readonly status: number;
  /** Whether the request was executed, as far as the caller can determine. */
  readonly run: ExecutionStatus;
  /**
   * Delay before a retry that the response asks for, in milliseconds; undefined
   * if it states none.
   */
  readonly retryAfterMs: number | undefined;
  /** Identity of the request or permit that the response contains. */
  readonly identity: string | undefined;
  /**
   * Body as text, truncated if it is long; empty unless
   * {@linkcode AttemptOptions.keepsBody} is set.
   */
  readonly body: string;
}

/** HTTP request of one attempt. */
export interface AttemptOptions {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  /** Time to wait for the complete response, in milliseconds. */
  readonly timeoutMs: number;
  /** Cancels the attempt. */
  readonly signal: AbortSignal;
  /** Whether the result contains the body as text. */
  readonly keepsBody?: boolean;
}

/** Codes of errors that occur before a connection is open. */
const NOT_CONNECTED: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Received bytes after which no further chunks of a body are kept. */
const MAX_KEPT_BODY_BYTES = 65_536;

function headerValue(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function isBodiless(method: string, status: number): boolean {
  return method === "HEAD" || status === 204 || status === 304;
}

/** Receives the response of one attempt and reports the result. */
class AttemptHandler implements Dispatcher.DispatchHandler {
  readonly #options: AttemptOptions;
  readonly #settle: (result: AttemptResult) => void;
  readonly #timer: NodeJS.Timeout;
  readonly #onAbort = () => this.#abort("cancelled");
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
    // Timers run before sockets are read. setImmediate makes the process first
    // read a response that arrived while it was busy.
    this.#timer = setTimeout(
      () => setImmediate(() => this.#abort("timed_out")),
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
    if (this.#options.keepsBody && this.#receivedBytes < MAX_KEPT_BODY_BYTES) {
      this.#kept.push(chunk);
    }
    this.#receivedBytes += chunk.length;
    this.#hash?.update(chunk);
  }

  onResponseEnd(): void {
    if (!this.#isComplete()) return this.#finish("cut");
    const expected = headerValue(this.#headers, BODY_HASH_FIELD);
    const isHashed = !isBodiless(this.#options.method, this.#status);
    if (isHashed && this.#hash && this.#hash.digest("hex") !== expected) {
      return this.#finish("wrong_body");
    }
    if (headerValue(this.#headers, ERROR_FIELD) !== undefined) {
      return this.#finish("rejected");
    }
    this.#finish(this.#status < 400 ? "whole" : "error_status");
  }

  onResponseError(_controller: unknown, error: Error): void {
    const { code } = error as { code?: string };
    if (this.#status > 0) this.#finish("cut");
    else if (NOT_CONNECTED.has(code)) this.#finish("not_connected");
    else this.#finish("connection_lost");
  }

  /**
   * Whether the body has the stated length or ended with a terminating chunk.
   */
  #isComplete(): boolean {
    const length = headerValue(this.#headers, "content-length");
    if (isBodiless(this.#options.method, this.#status)) return true;
    // Without content-length and chunked encoding, the end of the connection
    // ends the body, and a truncated body cannot be distinguished from a
    // complete one. The parser reports a missing terminating chunk as an error.
    return length === undefined
      ? /\bchunked\b/i.test(
        headerValue(this.#headers, "transfer-encoding") ?? "",
      )
      : Number(length) === this.#receivedBytes;
  }

  /** Ends the attempt and its request. */
  #abort(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#finish(outcome);
    this.#controller?.abort(new Error("The attempt has ended"));
  }

  /** Reports the result, once. */
  #finish(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#timer);
    this.#options.signal.removeEventListener("abort", this.#onAbort);
    const kind = headerValue(this.#headers, ERROR_FIELD) ?? "";
    const retryAfter = headerValue(this.#headers, RETRY_AFTER_FIELD);
    this.#settle({
      outcome,
      kind: isErrorKind(kind) ? kind : undefined,
      status: this.#status,
      run: this.#executionStatus(outcome),
      retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter),
      identity: headerValue(this.#headers, REQUEST_FIELD),
      body: Buffer.concat(this.#kept).toString(),
    });
  }

  /**
   * Whether the request was executed: as stated in the response, else derived
   * from the outcome.
   */
  #executionStatus(outcome: AttemptOutcome): ExecutionStatus {
    const stated = headerValue(this.#headers, RUN_FIELD);
    if (stated === "no" || stated === "yes" || stated === "unknown") {
      return stated;
    }
    if (outcome === "whole") return "yes";
    const wasSent = this.#controller !== undefined;
    return outcome === "not_connected" || !wasSent ? "no" : "unknown";
  }
}

/**
 * Sends one HTTP request and checks that the response is complete.
 *
 * @param dispatcher Connections to the node.
 * @param options Request to send.
 * @returns The result; the promise is never rejected.
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
      // undici throws synchronously for headers and paths that HTTP does not
      // allow.
      handler.onResponseError(undefined, error as Error);
    }
  });
}
