import { type IncomingMessage, STATUS_CODES } from "node:http";
import { ERROR_DETAILS, type ErrorKind } from "@oleanderdeck/errors";
import { freeBody } from "@oleanderdeck/hop";
import type { MemoryAccount, MemoryReservation } from "@oleanderdeck/serving";
import { NO_MEMORY } from "./_caller_connection.ts";
import type { Exchange } from "./_exchange.ts";
import type { CallerRequest, TaskAnswer } from "./call_task.ts";
import type { CallerProxyObserver } from "./caller_proxy_observer.ts";

/** Maximum size of a body that is copied and written with the header lines. */
const MAX_JOINED_BYTES = 16_384;

/**
 * Maximum rest of a body, in bytes, that is read behind a refusal to keep its
 * connection. Behind a longer one the connection closes.
 */
const MAX_UNREAD_BYTES = 65_536;

/** Details of a refusal that are known when it is written. */
export interface RefusalDetails {
  readonly requestId?: string;
  readonly service?: string;
  readonly worker?: string;
  readonly status?: number;
  readonly retryAfterMs?: number;
  readonly organisation?: string | undefined;
  readonly keyDigits?: string | undefined;
  readonly admittedShare?: number;
}

/** Number of answers by what they told the caller. */
export interface AnswerCounts {
  /** Answers of workers. */
  readonly answered: number;
  /** Refusals, which promise that the request has not run and will not. */
  readonly refused: number;
  /** Other errors of the node, which promise nothing. */
  readonly failed: number;
}

/** Statuses which promise that the request has not run and will not. */
const PROMISE_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Options of {@linkcode AnswerWriter}. */
export interface AnswerWriterOptions {
  /** Name of the header field with the identity of a request. */
  readonly requestIdField: string;
  readonly observer: CallerProxyObserver | undefined;
  /** Account of the memory for answers that wait for a slow caller. */
  readonly account: MemoryAccount;
}

/** Writes answers to callers. */
export class AnswerWriter {
  readonly #options: AnswerWriterOptions;
  /** Answers that callers have not taken yet, oldest first. */
  readonly #waiting = new Map<Exchange, MemoryReservation>();
  #isClosing = false;
  #answered = 0;
  #refused = 0;
  #failed = 0;

  /** @param options Header name and receiver of events. */
  constructor(options: AnswerWriterOptions) {
    this.#options = options;
  }

  /**
   * Adds `Connection: close` to all further answers behind which no request was
   * started, because the node stops.
   */
  startClosing(): void {
    this.#isClosing = true;
  }

  /** Number of answers since the start. */
  get counts(): AnswerCounts {
    return {
      answered: this.#answered,
      refused: this.#refused,
      failed: this.#failed,
    };
  }

  /** Forwards the answer of a worker. */
  pass(
    exchange: Exchange,
    request: CallerRequest,
    answer: TaskAnswer,
  ): void {
    const { response, arrivedAt } = exchange;
    const { body, headers, status, worker } = answer;
    this.#options.observer?.onAnswered(request, {
      status,
      worker,
      elapsedMs: Math.round(performance.now() - arrivedAt),
    });
    if (response.destroyed) return;
    try {
      response.writeHead(status, [
        ...headers,
        this.#options.requestIdField,
        request.requestId,
        "Content-Length",
        String(body.length),
        ...this.#closingLines(exchange),
      ]);
    } catch {
      // The answer has a status or a header that HTTP does not allow.
      const { requestId, service } = request;
      const error = "answer_cut";
      return this.refuse(exchange, error, { requestId, service, worker });
    }
    this.#answered++;
    const isJoined = body.length <= MAX_JOINED_BYTES;
    if (!isJoined || waitsForOthers(exchange)) this.#reserve(exchange, answer);
    if (isJoined) {
      // Node.js writes a string, but not a buffer, together with the header
      // lines.
      response.end(body.toString("latin1"), "latin1");
    } else response.end(body);
  }

  // Without room the callers that have been reading for longest are cut off. Those
  // that read at all have finished by then.
  #reserve(exchange: Exchange, { body, memory }: TaskAnswer): void {
    // An answer that was kept for a repeat holds nothing any more.
    const isHeld = memory !== undefined && memory.bytes >= body.length;
    const reservation = isHeld
      ? memory.handOver()
      : this.#options.account.open("waiting_answers");
    const take = () =>
      isHeld
        ? reservation.moveTo("waiting_answers")
        : reservation.growAhead(body.length);
    exchange.onEnd(() => {
      reservation.close();
      if (exchange.response.writableFinished) freeBody(body);
      this.#waiting.delete(exchange);
    });
    while (!take()) {
      const [oldest] = this.#waiting;
      if (oldest === undefined) break;
      const [other, held] = oldest;
      held.close();
      this.#waiting.delete(other);
      other.request.socket.destroy();
    }
    this.#waiting.set(exchange, reservation);
  }

  /** Answers a request with an error, in place of a worker. */
  refuse(
    exchange: Exchange,
    error: ErrorKind,
    details: RefusalDetails = {},
  ): void {
    const { response, arrivedAt } = exchange;
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
      organisation: details.organisation,
      keyDigits: details.keyDigits,
      admittedShare: details.admittedShare,
    });
    if (response.destroyed || response.headersSent) return;
    if (PROMISE_STATUSES.includes(status)) this.#refused++;
    else this.#failed++;
    const text = `${defaults.text}\n`;
    response.writeHead(status, [
      "Content-Type",
      "text/plain",
      "Content-Length",
      String(Buffer.byteLength(text)),
      ...(status === 503 || status === 429
        ? ["Retry-After", (retryAfterMs / 1000).toFixed(3)]
        : []),
      ...(status === 401 ? ["WWW-Authenticate", "Bearer"] : []),
      ...this.#closingLines(exchange),
    ]);
    response.end(text);
  }

  #closingLines(exchange: Exchange): string[] {
    const closes = this.#isClosing || hasLongRest(exchange.request);
    return closes && exchange.claimClose() ? ["Connection", "close"] : [];
  }
}

// Whether an answer stays in the process behind others: the caller has not taken
// an earlier one, or that is not made yet. Others are taken by the system at once.
function waitsForOthers({ request, response }: Exchange): boolean {
  return response.socket === null || request.socket.writableLength > 0;
}

// Whether more of a body may follow than is worth reading.
function hasLongRest({ complete, headers }: IncomingMessage): boolean {
  if (complete) return false;
  const length = headers["content-length"];
  return length === undefined
    ? headers["transfer-encoding"] !== undefined
    : Number(length) > MAX_UNREAD_BYTES;
}

/** Status of the answer to input that is not read on, by the code of the error. */
const PARSER_ERROR_STATUSES: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  [NO_MEMORY]: 503,
};

/**
 * Returns the bytes of the answer to input that is not a valid request.
 *
 * @param code Code of the error of the HTTP parser, or `NO_MEMORY`.
 */
export function malformedAnswer(code: string | undefined): string {
  const status = PARSER_ERROR_STATUSES[code ?? ""] ?? 400;
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    "Content-Length: 0\r\nConnection: close\r\n\r\n";
}
