import type { Socket } from "node:net";
import type { Client, Dispatcher } from "undici";
import { BodyBuffer } from "./body_buffer.ts";
import type { HeaderNames } from "./header_names.ts";
import type { MemoryReservation } from "./memory_reservation.ts";
import { type ParsedHeaders, parseHeaders } from "./parse_headers.ts";
import type {
  AnswerStatement,
  WorkerCall,
  WorkerResult,
} from "./worker_call.ts";

/**
 * An answer is aborted when its connection has received more bytes than these
 * overhead bytes plus the factor times the length of its body so far. The
 * factor allows for chunked bodies: a chunk of one byte takes six bytes.
 */
const MAX_OVERHEAD_BYTES = 65_536;
const MAX_OVERHEAD_FACTOR = 8;

/** Headers that determine where an answer ends. */
export const LENGTH_HEADERS = ["content-length", "transfer-encoding"] as const;

/** Statuses that an answer may have. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

/** Least status of an interim answer, behind which another one follows. */
const MIN_INTERIM_STATUS = 100;

/** Interim answers to one call, at most; some would send them without end. */
const MAX_INTERIM_ANSWERS = 16;

/** Code of undici's error for a request that HTTP does not allow. */
const INVALID_REQUEST_CODE = "UND_ERR_INVALID_ARG";

/** Status code of a worker that is not the one to which a call is addressed. */
const REPLACED_STATUS = 421;

/** Status codes of answers that have no body. */
const BODILESS_STATUSES: readonly number[] = [204, 304];

/** Value of the header by which a worker says that it is leaving. */
const IS_LEAVING = "1";

const EMPTY = Buffer.alloc(0);

/** Connection to the worker, which carries one call at a time. */
export interface WorkerConnection {
  readonly client: Client;
  /** Socket of the connection; undefined until it is open. */
  socket: Socket | undefined;
  /** Identities of the calls that the worker has refused on the connection. */
  readonly refused: Set<string>;
  /** Time of the last answer, as of `performance.now()`. */
  idleSince: number;
}

/** Options of {@linkcode Exchange}. */
export interface ExchangeOptions {
  readonly names: HeaderNames;
  /** Headers of an answer whose values are read, in lower case. */
  readonly wanted: ReadonlySet<string>;
  /**
   * Headers of an answer that are not forwarded since the caller's node sets
   * them, in lower case.
   */
  readonly dropped: ReadonlySet<string>;
  readonly connection: WorkerConnection;
  /** Called with what the worker says of itself in the header of its answer. */
  readonly onHeader: (stated: AnswerStatement) => void;
  /** Returns the greatest length of a body that fits in, in bytes. */
  readonly maxBodyBytes: () => number;
  /** Memory of the answer, which the exchange closes. */
  readonly reservation: MemoryReservation;
  /**
   * Aborts the largest answers of unknown length if they fill the memory, which
   * may be that of the exchange.
   */
  readonly makeRoom: (bytes: number) => void;
  readonly finish: (result: WorkerResult) => void;
}

/** One request and its answer, as a dispatch handler of undici. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #call: WorkerCall;
  readonly #options: ExchangeOptions;
  #body: BodyBuffer | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #interimAnswers = 0;
  /** Bytes that the connection had received before this request. */
  #bytesReadBefore = 0;
  #headers: ParsedHeaders = { forwarded: [], values: new Map() };
  #isUnusableAnswer = false;
  #hasLength = false;
  /** Whether the length of the body is known before it ends. */
  #isSized = false;
  /** Whether the answer is not read until there is room. */
  #isWaiting = false;
  #isCancelled = false;
  #isDone = false;
  #isReusable = false;
  // The parser of undici may not be paused when its connection ends.
  readonly #readEnd = () => this.#controller!.resume();

  constructor(call: WorkerCall, options: ExchangeOptions) {
    this.#call = call;
    this.#options = options;
  }

  /** Whether the connection may be used for another call. */
  get isReusable(): boolean {
    return this.#isReusable;
  }

  /**
   * Number of reserved bytes of an answer that may grow without end; 0 if its
   * length is known.
   */
  get growingBytes(): number {
    return this.#isSized ? 0 : this.#options.reservation.bytes;
  }

  /** Aborts the exchange if it received far more bytes than the body holds. */
  abortIfOversized(): void {
    const { socket } = this.#options.connection;
    if (socket === undefined || this.#controller === undefined) return;
    // What was received while the answer waits was not parsed yet.
    if (this.#isWaiting) return;
    const receivedBytes = socket.bytesRead - this.#bytesReadBefore;
    const maxBytes = MAX_OVERHEAD_BYTES +
      MAX_OVERHEAD_FACTOR * (this.#body?.length ?? 0);
    if (receivedBytes > maxBytes) this.abort("Received bytes exceed the limit");
  }

  /** Aborts the exchange and closes its connection; the answer is unusable. */
  abort(reason: string): void {
    if (this.#isDone) return;
    this.#isUnusableAnswer = true;
    this.#options.reservation.close();
    this.#body?.clear();
    this.#controller?.abort(new Error(reason));
  }

  cancel(): void {
    if (this.#isDone) return;
    this.#isCancelled = true;
    if (this.#controller === undefined) {
      // The connection is still being opened; the request is not sent.
      this.#fail(false);
    } else this.#controller.abort(new Error("Call cancelled by the caller"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#isCancelled) {
      controller.abort(new Error("Call cancelled by the caller"));
      return;
    }
    this.#controller = controller;
    this.#bytesReadBefore = this.#options.connection.socket?.bytesRead ?? 0;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status >= MIN_INTERIM_STATUS && status < MIN_STATUS) {
      return this.#countInterim();
    }
    if (status < MIN_STATUS || status > MAX_STATUS) {
      return this.abort("Answer has a status that HTTP does not define");
    }
    this.#status = status;
    const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
    this.#headers = parseHeaders(raw, this.#options);
    const { values } = this.#headers;
    this.#hasLength = LENGTH_HEADERS.some((name) => values.has(name)) ||
      BODILESS_STATUSES.includes(status) || this.#call.method === "HEAD";
    // An answer without a length cannot be distinguished from a truncated one
    // and may be endless.
    if (!this.#hasLength) return this.abort("Answer has no length header");
    this.#startBody();
    if (this.#isUnusableAnswer) return;
    // A faulty worker may write an earlier answer or refusal once more; without
    // the identity of this request it proves nothing about it.
    const echoed = values.get(this.#options.names.requestId.toLowerCase());
    if (echoed !== this.#call.requestId) {
      return this.abort("Answer does not have the identity of its request");
    }
    // Another worker than the expected one refuses the call with 421.
    if (status === REPLACED_STATUS) return;
    const { names, onHeader } = this.#options;
    onHeader({
      requestLimit: values.get(names.requestsPerSecond.toLowerCase()),
      isLeaving: values.get(names.leaving.toLowerCase()) === IS_LEAVING,
    });
  }

  #countInterim(): void {
    this.#interimAnswers++;
    if (this.#interimAnswers > MAX_INTERIM_ANSWERS) {
      this.abort("Too many interim answers");
    }
  }

  // Many endless answers at once would each begin a block, so none is begun for a
  // body of unknown length.
  #startBody(): void {
    const stated = this.#headers.values.get("content-length");
    const hasBody = this.#call.method !== "HEAD" &&
      !BODILESS_STATUSES.includes(this.#status);
    const length = stated === undefined || !hasBody
      ? undefined
      : Number(stated);
    const maxLength = this.#options.maxBodyBytes();
    if (length !== undefined && length > maxLength) {
      return this.abort("Answer is longer than fits in the memory");
    }
    this.#body = new BodyBuffer({
      length,
      maxLength,
      maxJoinedLength: Infinity,
    });
    this.#isSized = length !== undefined;
    if (length !== undefined && length > 0) this.#reserve(length, () => {});
  }

  // The worker's connection is not read meanwhile, so that its bytes stay with the
  // worker. The call's deadline ends the wait.
  #reserve(bytes: number, onRoom: () => void): void {
    const { reservation } = this.#options;
    if (reservation.grow(bytes)) return onRoom();
    this.#isWaiting = true;
    this.#controller!.pause();
    this.#options.connection.socket?.prependOnceListener("end", this.#readEnd);
    reservation.waitFor(bytes, () => {
      onRoom();
      // Room may arise while the parser, which all connections share, is at work.
      setImmediate(() => this.#resume());
    });
  }

  #resume(): void {
    this.#isWaiting = false;
    this.#options.connection.socket?.off("end", this.#readEnd);
    if (!this.#isDone && !this.#isUnusableAnswer) this.#controller!.resume();
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isUnusableAnswer) return;
    if (this.#isSized) return this.#body!.add(chunk);
    const { makeRoom, reservation } = this.#options;
    if (reservation.grow(chunk.length)) return this.#body!.add(chunk);
    makeRoom(chunk.length);
    if (this.#isUnusableAnswer) return;
    this.#reserve(chunk.length, () => this.#body!.add(chunk));
  }

  onResponseEnd(): void {
    if (this.#isDone) return;
    if (this.#isUnusableAnswer || this.#isWaiting) return this.#fail(true);
    this.#isReusable = true;
    const { names } = this.#options;
    const { forwarded, values } = this.#headers;
    const isNotRun = this.#status === REPLACED_STATUS ||
      values.has(names.notRun.toLowerCase());
    if (isNotRun) {
      return this.#finish({
        kind: "failure",
        error: this.#status === REPLACED_STATUS
          ? "worker_replaced"
          : "worker_refused",
        mayHaveRun: false,
        wasSent: true,
        retryAfterMs: 0,
      });
    }
    const isSigned = values.has(names.answerSignature.toLowerCase());
    if (this.#status < 300 && !isSigned) return this.#fail(true);
    this.#finish({
      kind: "answer",
      status: this.#status,
      headers: forwarded,
      body: this.#body?.bytes ?? EMPTY,
      isRefusedBelow: false,
      memory: this.#options.reservation,
    });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: NodeJS.ErrnoException,
  ): void {
    if (this.#isDone) return;
    if (error.code === INVALID_REQUEST_CODE) this.#rejectRequest();
    else this.#fail(this.#controller !== undefined);
  }

  // The connection is sound; only the request cannot be written.
  #rejectRequest(): void {
    this.#isReusable = this.#options.connection.socket !== undefined;
    this.#finish({
      kind: "failure",
      error: "malformed_request",
      mayHaveRun: false,
      wasSent: false,
      retryAfterMs: 0,
    });
  }

  #fail(mayHaveRun: boolean): void {
    this.#finish({
      kind: "failure",
      error: this.#isCancelled
        ? "caller_cancelled"
        : !mayHaveRun
        ? "connection_refused"
        : this.#isUnusableAnswer || this.#status !== 0
        ? "answer_cut"
        : "connection_lost",
      mayHaveRun,
      wasSent: mayHaveRun,
      retryAfterMs: 0,
    });
  }

  #finish(result: WorkerResult): void {
    this.#isDone = true;
    this.#body = undefined;
    this.#options.finish(result);
    this.#options.reservation.close();
  }
}
