import type { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import {
  destroyWhenEnded,
  dropIncoming,
  type EndTimes,
} from "@oleanderdeck/hop";
import type { MemoryAccount, MemoryReservation } from "@oleanderdeck/serving";
import { BoundedInput } from "./bounded_input.ts";
import type { ClientLimit, ClientLimits } from "./client_limits.ts";
import { Exchange } from "./_exchange.ts";
import { headerPartBytes } from "./_header_memory.ts";

/**
 * Maximum number of requests of one connection that are in progress at the same
 * time. Further ones that a caller has sent ahead wait, so that one connection
 * cannot occupy the node.
 */
const MAX_CONCURRENT_REQUESTS = 8;

/**
 * Time that a caller gets to read a closing answer and to close the connection,
 * in milliseconds.
 */
const LINGER_MS = 1_000;

/**
 * Share of the memory for requests above which a connection is read only when it
 * has no request, so that each has its turn and none has to be refused.
 */
const SHORT_SHARE = 0.5;

/** Code, beside those of the HTTP parser, of a header for which there is no room. */
export const NO_MEMORY = "ERR_NO_MEMORY";

/** Options of {@linkcode CallerConnection}. */
export interface CallerConnectionOptions {
  /** Starts the work on a request. */
  readonly start: (exchange: Exchange) => void;
  /** Called once when the connection has closed. */
  readonly onClosed: () => void;
  /**
   * Returns the bytes of the answer to input that is not a valid request.
   *
   * @param code Code of the error of the HTTP parser, or {@linkcode NO_MEMORY}.
   */
  readonly malformedAnswer: (code: string | undefined) => string;
  /** Account of the memory for requests. */
  readonly account: MemoryAccount;
  readonly limits: () => ClientLimits;
  /** Refuses a request for which there is no memory. */
  readonly refuse: (exchange: Exchange) => void;
  /** Called when the connection is held back by a limit. */
  readonly onLimit: (limit: ClientLimit) => void;
}

/**
 * Connection of a caller, which may send requests before the earlier ones are
 * answered. Node.js returns the answers in order; this class decides which
 * requests are started, so that none that stands behind a closing answer is.
 */
export class CallerConnection {
  readonly #socket: Socket;
  readonly #options: CallerConnectionOptions;
  /** Started requests whose answer is not completely written, oldest first. */
  readonly #started: Exchange[] = [];
  /** Requests that were not started yet, oldest first. */
  readonly #waiting: Exchange[] = [];
  /** Whether a closing answer was written or the caller has disconnected. */
  #isClosing = false;
  #hasEnded = false;
  /** Answer to malformed input, written behind all other answers. */
  #lastAnswer: string | undefined;
  readonly #input: BoundedInput;
  /** Whether no request is started since answers are unread. */
  #isUnread = false;
  /** Memory of the requests, and of what was read behind them. */
  readonly #reservation: MemoryReservation;
  /** Reserved bytes of a header, or of trailers, that are incomplete. */
  #headerPartBytes = 0;

  /**
   * @param socket Socket of the connection.
   * @param options Start of requests and answer to malformed input.
   */
  constructor(socket: Socket, options: CallerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#input = new BoundedInput(socket, {
      isFull: () => this.#isFull(),
      onHeld: (bytes) => this.#onHeld(bytes),
      onReadOn: (bytes) => this.#reservation.shrink(bytes),
      onHeaderPart: (part) => this.#reserveHeaderPart(part),
      onHeaderEnd: () => this.#releaseHeaderPart(),
    });
    this.#reservation = options.account.open("client_requests");
    socket.once("close", () => this.#onClosed());
    // Node.js calls this function behind a closing answer.
    socket.destroySoon = () => this.#destroySoon();
  }

  /** Starts the next request of the connection, lets it wait or drops it. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    // Nothing behind a close is served.
    if (this.#isClosing) return this.#input.stop();
    this.#input.begin(request);
    const exchange = new Exchange(
      request,
      response,
      (exchange) => this.#claimClose(exchange),
    );
    if (!this.#reservation.growAhead(exchange.bytes)) {
      return this.#refuse(exchange);
    }
    this.#waiting.push(exchange);
    this.#startWaiting();
  }

  /**
   * Refuses a request with an expectation that is not known, and closes the
   * connection behind it.
   */
  refuseExpectation(response: ServerResponse): void {
    this.#input.stop();
    if (this.#isClosing) return;
    this.#isClosing = true;
    response.shouldKeepAlive = false;
    response.writeHead(417, ["Content-Length", "0"]).end();
  }

  // See Exchange.claimClose.
  #claimClose(exchange: Exchange): boolean {
    const isLast = this.#started.at(-1) === exchange &&
      this.#waiting.length === 0 && this.#input.isEmpty;
    // Behind an answer that is not made yet, the close would come late, and what
    // arrives until then would be dropped.
    const isNext = this.#started.every((started) =>
      started === exchange || started.response.writableEnded
    );
    if (isLast && isNext) this.#isClosing = true;
    return isLast && isNext;
  }

  /**
   * Ends the connection with an error answer because its input is not a valid
   * request, or is not read on. The answers to the requests before it are written
   * first.
   *
   * @param code Code of the error of the HTTP parser, or {@linkcode NO_MEMORY}.
   */
  endMalformed(code: string | undefined): void {
    this.#input.stop();
    if (this.#lastAnswer !== undefined || this.#isClosing) return;
    // The malformed input is the rest of the last request, if that is not
    // complete, and its answer takes the place of that request's.
    const last = this.#waiting.at(-1) ?? this.#started.at(-1);
    if (last?.request.complete === false) this.#remove(last);
    this.#lastAnswer = this.#options.malformedAnswer(code);
    this.#writeLastAnswer();
  }

  /**
   * Ends the connection: cancels the requests that have no answer yet, starts no
   * further ones, and closes when the caller has done so.
   *
   * @param times Times after which the connection is closed in any case.
   * @returns Resolves when the connection is closed.
   */
  end(times: EndTimes): Promise<void> {
    this.#isClosing = true;
    this.#input.stop();
    this.#waiting.length = 0;
    this.#started.filter(({ response }) => !response.writableEnded)
      .forEach((exchange) => this.#remove(exchange));
    return this.#end(times);
  }

  // A caller that has asked for the close, and whose request was read, sends
  // nothing more that could reset the connection.
  #destroySoon(): void {
    const last = this.#started.at(-1);
    const isRead = last?.request.complete === true;
    const isWanted = last?.response.shouldKeepAlive === false;
    if (isRead && isWanted) Socket.prototype.destroySoon.call(this.#socket);
    else this.#linger();
  }

  #linger(): void {
    if (this.#hasEnded) return;
    const latestAt = performance.now() + LINGER_MS;
    void this.#end({ closeMs: LINGER_MS, latestAt });
  }

  #end(times: EndTimes): Promise<void> {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#input.stop();
      this.#socket.end();
      dropIncoming(this.#socket);
    }
    return destroyWhenEnded(this.#socket, times);
  }

  #startWaiting(): void {
    while (this.#started.length < MAX_CONCURRENT_REQUESTS) {
      if (this.#hasUnreadAnswers()) return;
      const next = this.#waiting.shift();
      if (next === undefined) return;
      this.#started.push(next);
      next.response.once("close", () => {
        this.#remove(next);
        this.#startWaiting();
        this.#writeLastAnswer();
        this.#input.update();
      });
      // The caller reads nothing behind the answer to such a request.
      if (!next.response.shouldKeepAlive) {
        this.#waiting.length = 0;
        this.#isClosing = true;
      }
      this.#options.start(next);
    }
  }

  #remove(exchange: Exchange): void {
    [this.#started, this.#waiting].forEach((list) => {
      const index = list.indexOf(exchange);
      if (index < 0) return;
      list.splice(index, 1);
      this.#reservation.shrink(exchange.bytes);
    });
    exchange.end();
  }

  // The socket's own unread bytes are those of answers, whose end calls this again.
  #hasUnreadAnswers(): boolean {
    if (this.#waiting.length === 0 || this.#started.length === 0) return false;
    const { limits, onLimit } = this.#options;
    const isUnread = this.#socket.writableLength > limits().unreadBytes;
    if (isUnread && !this.#isUnread) onLimit("unread_answers");
    this.#isUnread = isUnread;
    return isUnread;
  }

  #isFull(): boolean {
    const count = this.#started.length + this.#waiting.length;
    if (count === 0) return false;
    const { account, limits } = this.#options;
    return count >= MAX_CONCURRENT_REQUESTS + limits().requestsAhead ||
      account.heldBytesOf("client_requests") >
        SHORT_SHARE * account.limitOf("client_requests");
  }

  // The rest of the memory is for requests of others.
  #onHeld(bytes: number): void {
    this.#options.onLimit("requests_ahead");
    if (this.#reservation.growAhead(bytes)) return;
    this.#options.onLimit("requests_held");
    this.#socket.destroy();
  }

  #reserveHeaderPart(part: Buffer): void {
    const bytes = headerPartBytes(part);
    if (this.#reservation.growAhead(bytes)) {
      this.#headerPartBytes += bytes;
      return;
    }
    this.#options.onLimit("requests_held");
    this.endMalformed(NO_MEMORY);
  }

  #releaseHeaderPart(): void {
    if (this.#headerPartBytes === 0) return;
    this.#reservation.shrink(this.#headerPartBytes);
    this.#headerPartBytes = 0;
  }

  // The requests before it are answered first.
  #refuse(exchange: Exchange): void {
    this.#isClosing = true;
    this.#input.stop();
    this.#options.onLimit("requests_held");
    exchange.response.shouldKeepAlive = false;
    this.#options.refuse(exchange);
    exchange.end();
  }

  #writeLastAnswer(): void {
    if (this.#lastAnswer === undefined || this.#isClosing) return;
    if (this.#started.length + this.#waiting.length > 0) return;
    this.#isClosing = true;
    this.#socket.write(this.#lastAnswer, "latin1");
    this.#linger();
  }

  #onClosed(): void {
    this.#isClosing = true;
    this.#waiting.length = 0;
    this.#started.splice(0).forEach((exchange) => exchange.end());
    this.#reservation.close();
    this.#options.onClosed();
  }
}
