import type { ErrorKind } from "@oleanderdeck/errors";
import {
  BodyBuffer,
  type MemoryAccount,
  type MemoryReservation,
} from "@oleanderdeck/serving";
import type { RefusalDetails } from "./_answer_writer.ts";
import type { Exchange } from "./_exchange.ts";

/**
 * Maximum number of bytes of a refused body that are read and thrown away. A
 * caller that has sent more than this ahead sees its refusal all the same, since
 * the system holds what is not read.
 */
const MAX_DISCARDED_BYTES = 1_048_576;

/**
 * Share of the time until the deadline for which a body waits for memory before
 * its request is refused, so that its caller has time to send it elsewhere.
 */
const MAX_WAIT_SHARE = 0.25;

/** Options of {@linkcode RequestBodies}. */
export interface RequestBodiesOptions {
  /** Returns the maximum length of one body, in bytes. */
  readonly maxBodyBytes: () => number;
  readonly account: MemoryAccount;
  /** Refuses a request whose body does not fit. */
  readonly refuse: (
    exchange: Exchange,
    error: ErrorKind,
    details: RefusalDetails,
  ) => void;
}

/** Body that is to be read. */
export interface IncomingBody {
  /** Length that the header states, in bytes; undefined if it states none. */
  readonly length: number | undefined;
  /** Time by which the request needs an answer, as of `performance.now()`. */
  readonly deadline: number;
}

/** Reads the bodies of requests, within limits on each and on all of them. */
export class RequestBodies {
  readonly #options: RequestBodiesOptions;

  /** @param options Limits and receiver of refusals. */
  constructor(options: RequestBodiesOptions) {
    this.#options = options;
  }

  /**
   * Reads the body of a request. A caller whose body does not fit in the memory
   * is not read for some time, and then refused; after a refusal nothing of the
   * body is kept. A body that is not complete at the deadline is given up.
   *
   * @param exchange Request whose header is complete.
   * @param body Length and deadline.
   * @param onRead Called with the complete body, unless the request was refused.
   */
  read(
    exchange: Exchange,
    body: IncomingBody,
    onRead: (body: Buffer) => void,
  ): void {
    new BodyReading(exchange, body, { ...this.#options, onRead }).start();
  }
}

/** Options of {@linkcode BodyReading}. */
interface BodyReadingOptions extends RequestBodiesOptions {
  readonly onRead: (body: Buffer) => void;
}

/** Reads one body. */
class BodyReading {
  readonly #exchange: Exchange;
  readonly #body: IncomingBody;
  readonly #options: BodyReadingOptions;
  /** Maximum length as the header came in, also if it changes meanwhile. */
  readonly #maxLength: number;
  readonly #buffer: BodyBuffer;
  readonly #reservation: MemoryReservation;
  readonly #deadlineTimer: NodeJS.Timeout;
  readonly #receive = (chunk: Buffer) => this.#add(chunk);
  #waitTimer: NodeJS.Timeout | undefined;
  /** Whether a chunk that was read waits for room. */
  #isWaiting = false;
  /** Whether all chunks were read. */
  #isRead = false;
  #isEnded = false;

  constructor(
    exchange: Exchange,
    body: IncomingBody,
    options: BodyReadingOptions,
  ) {
    this.#exchange = exchange;
    this.#body = body;
    this.#options = options;
    this.#maxLength = options.maxBodyBytes();
    this.#buffer = new BodyBuffer({
      length: body.length,
      maxLength: this.#maxLength,
    });
    this.#reservation = options.account.open("client_bodies");
    this.#deadlineTimer = setTimeout(
      () => this.#refuse("deadline_exceeded"),
      Math.max(0, body.deadline - performance.now()),
    );
    exchange.onEnd(() => {
      this.#end();
      this.#buffer.clear();
      this.#reservation.close();
    });
  }

  // The whole of a stated length is reserved first, so that bodies do not wait
  // for each other half read.
  start(): void {
    const { length = 0 } = this.#body;
    this.#reserve(length, () => this.#read());
  }

  #read(): void {
    const { request } = this.#exchange;
    request.on("data", this.#receive);
    request.once("end", () => {
      this.#isRead = true;
      this.#passOn();
    });
  }

  // Node.js ends a stream that was paused at its last chunk, which may still wait.
  #passOn(): void {
    if (this.#isEnded || this.#isWaiting || !this.#isRead) return;
    this.#end();
    this.#options.onRead(this.#buffer.bytes);
  }

  #add(chunk: Buffer): void {
    if (this.#body.length !== undefined) return this.#buffer.add(chunk);
    const length = this.#buffer.length + chunk.length;
    if (length > this.#maxLength) return this.#refuse("too_large");
    this.#reserve(chunk.length, () => this.#buffer.add(chunk));
  }

  #reserve(bytes: number, onRoom: () => void): void {
    const { account } = this.#options;
    const total = this.#reservation.bytes + bytes;
    if (total > account.limitOf("client_bodies")) {
      return this.#refuse("too_large");
    }
    if (this.#reservation.grow(bytes)) return onRoom();
    const { request } = this.#exchange;
    request.pause();
    this.#isWaiting = true;
    const timeLeftMs = this.#body.deadline - performance.now();
    this.#waitTimer = setTimeout(
      () => this.#refuse("no_memory"),
      MAX_WAIT_SHARE * timeLeftMs,
    );
    this.#reservation.waitFor(bytes, () => {
      clearTimeout(this.#waitTimer);
      this.#isWaiting = false;
      onRoom();
      request.resume();
      this.#passOn();
    });
  }

  #refuse(error: ErrorKind): void {
    if (this.#isEnded) return;
    const { account, refuse } = this.#options;
    this.#end();
    this.#buffer.clear();
    this.#reservation.close();
    discardRest(this.#exchange);
    refuse(
      this.#exchange,
      error,
      error === "no_memory" ? { retryAfterMs: account.expectedWaitMs } : {},
    );
  }

  #end(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#waitTimer);
    this.#exchange.request.off("data", this.#receive);
  }
}

// The stream is paused once enough was thrown away; it ends with the connection,
// which closes behind the refusal.
function discardRest({ request }: Exchange): void {
  let discarded = 0;
  request.on("data", (chunk: Buffer) => {
    discarded += chunk.length;
    if (discarded > MAX_DISCARDED_BYTES) request.pause();
  });
  request.resume();
}
