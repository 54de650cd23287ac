import type { IncomingMessage, ServerResponse } from "node:http";
import { ERROR_DETAILS, type ErrorKind } from "@oleanderdeck/errors";
import type { CallerRequest, TaskAnswer } from "./call_task.ts";
import type { CallerProxyObserver } from "./caller_proxy_observer.ts";

/** Maximum size of a body that is copied and written with the header lines. */
const MAX_JOINED_BYTES = 16_384;

/** HTTP request of a caller and the response to it. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Time at which the header was complete, as of `performance.now()`. */
  readonly arrivedAt: number;
}

/** Details of a refusal that are known when it is written. */
export interface RefusalDetails {
  readonly requestId?: string;
  readonly service?: string;
  readonly worker?: string;
  readonly status?: number;
  readonly retryAfterMs?: number;
}

/** Options of {@linkcode AnswerWriter}. */
export interface AnswerWriterOptions {
  /** Name of the header field with the identity of a request. */
  readonly requestIdField: string;
  readonly observer: CallerProxyObserver | undefined;
}

/** Writes answers to callers. */
export class AnswerWriter {
  readonly #options: AnswerWriterOptions;
  #isClosing = false;

  /** @param options Header name and receiver of events. */
  constructor(options: AnswerWriterOptions) {
    this.#options = options;
  }

  /**
   * Adds `Connection: close` to all further answers, because the node stops.
   */
  startClosing(): void {
    this.#isClosing = true;
  }

  /** Forwards the answer of a worker. */
  pass(
    { response, arrivedAt }: Exchange,
    request: CallerRequest,
    answer: TaskAnswer,
  ): void {
    const { body, headers, status, worker } = answer;
    this.#options.observer?.onAnswered(request, {
      status,
      worker,
      elapsedMs: Math.round(performance.now() - arrivedAt),
    });
    if (response.destroyed) return;
    response.writeHead(status, [
      ...headers,
      this.#options.requestIdField,
      request.requestId,
      "Content-Length",
      String(body.length),
      ...this.#closingLines(),
    ]);
    if (body.length <= MAX_JOINED_BYTES) {
      // Node.js writes a string, but not a buffer, together with the header
      // lines.
      response.end(body.toString("latin1"), "latin1");
    } else response.end(body);
  }

  /** Answers a request with an error, in place of a worker. */
  refuse(
    { response, arrivedAt }: Exchange,
    error: ErrorKind,
    details: RefusalDetails = {},
  ): void {
    const defaults = ERROR_DETAILS[error];
    const status = details.status ?? defaults.status;
    const retryAfterMs = details.retryAfterMs ?? defaults.retryAfterMs;
    this.#options.observer?.onRefused({
      requestId: details.requestId ?? "",
      service: details.service ?? "",
      worker: details.worker ?? "",
      error,
      status,
      retryAfterMs: Math.round(retryAfterMs),
      elapsedMs: Math.round(performance.now() - arrivedAt),
    });
    if (response.destroyed || response.headersSent) return;
    const text = `${defaults.text}\n`;
    response.writeHead(status, [
      "Content-Type",
      "text/plain",
      "Content-Length",
      String(Buffer.byteLength(text)),
      ...(status === 503 || status === 429
        ? ["Retry-After", (retryAfterMs / 1000).toFixed(3)]
        : []),
      ...this.#closingLines(),
    ]);
    response.end(text);
  }

  #closingLines(): string[] {
    return this.#isClosing ? ["Connection", "close"] : [];
  }
}
