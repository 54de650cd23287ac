import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import { type ParsedHeaders, parseHeaders } from "./parse_headers.ts";
import type { HeaderNames } from "./header_names.ts";
import type { WorkerCall, WorkerResult } from "./worker_call.ts";

/** Time to open a connection to the worker, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Time for which an idle connection is kept without a hint of the worker. */
const KEEP_ALIVE_MS = 4_000;

/**
 * Bytes that an answer may take beside its body, and for each byte of it. A
 * chunk of one byte takes six.
 */
const MAX_OVERHEAD_BYTES = 65_536;
const MAX_OVERHEAD_FACTOR = 8;

/** Header fields that show where an answer ends. */
const LENGTH_FIELDS = ["content-length", "transfer-encoding"] as const;

/** Statuses of answers that have no body. */
const BODILESS_STATUSES: readonly number[] = [204, 304];

/** Options of {@linkcode WorkerConnections}. */
export interface WorkerConnectionsOptions {
  /** Address of the worker as host:port. */
  readonly address: string;
  readonly names: HeaderNames;
  /** Bytes of unfinished answers that may be held at the same time. */
  readonly maxHeldBytes: () => number;
}

/** A call on its way through a connection. */
export interface WorkerExchange {
  /** Ends the exchange and its connection. */
  readonly cancel: () => void;
}

/**
 * Connections to the own worker, one call at a time on each. The connection
 * that has been idle longest is used first, so that bytes which follow an
 * answer are noticed before the next request.
 */
export class WorkerConnections {
  readonly #options: WorkerConnectionsOptions;
  readonly #wanted: ReadonlySet<string>;
  readonly #dropped: ReadonlySet<string>;
  readonly #connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  #idle: WorkerConnection[] = [];
  readonly #all = new Set<WorkerConnection>();
  readonly #exchanges = new Set<Exchange>();
  #heldBytes = 0;

  /** @param options Address of the worker and header names. */
  constructor(options: WorkerConnectionsOptions) {
    this.#options = options;
    const { answerSignature, notRun, requestId } = options.names;
    this.#dropped = new Set([requestId.toLowerCase()]);
    this.#wanted = new Set([
      ...LENGTH_FIELDS,
      ...[answerSignature, notRun, requestId].map((name) => name.toLowerCase()),
    ]);
  }

  /**
   * Sends a call.
   *
   * @param call Call with the header lines for the worker.
   * @param finish Receives the outcome once.
   */
  send(
    call: WorkerCall,
    finish: (result: WorkerResult) => void,
  ): WorkerExchange {
    const connection = this.#idle.shift() ?? this.#open();
    const exchange = new Exchange(call, {
      names: this.#options.names,
      wanted: this.#wanted,
      dropped: this.#dropped,
      connection,
      onHeld: (bytes) => this.#hold(bytes),
      finish: (result) => {
        this.#exchanges.delete(exchange);
        if (exchange.isReusable && this.#all.has(connection)) {
          this.#idle.push(connection);
        } else this.#discard(connection);
        finish(result);
      },
    });
    this.#exchanges.add(exchange);
    connection.client.dispatch({
      method: call.method as Dispatcher.HttpMethod,
      path: call.target,
      headers: call.headers as string[],
      body: call.body.length === 0 ? null : call.body,
    }, exchange);
    return exchange;
  }

  /** Bytes of unfinished answers that are held. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Cuts answers whose bytes are no answer; called a few times a second. */
  abortOversizedAnswers(): void {
    this.#exchanges.forEach((exchange) => exchange.check());
  }

  /** Closes the idle connections, for a worker that has been replaced. */
  closeIdle(): void {
    this.#idle.forEach((connection) => this.#discard(connection));
    this.#idle = [];
  }

  /** Closes all connections. */
  close(): void {
    this.#idle = [];
    [...this.#all].forEach((connection) => this.#discard(connection));
  }

  // The largest answer gives way, so that one without end cuts no others.
  #hold(bytes: number): void {
    this.#heldBytes += bytes;
    if (this.#heldBytes <= this.#options.maxHeldBytes()) return;
    const [largest] = [...this.#exchanges].sort((one, other) =>
      other.heldBytes - one.heldBytes
    );
    largest?.cut("The answer is too long");
  }

  #open(): WorkerConnection {
    const client: Client = new Client(`http://${this.#options.address}`, {
      pipelining: 1,
      connect: (options, callback) =>
        this.#connect(options, (error, socket) => {
          if (error !== null) return callback(error, null);
          connection.socket = socket!;
          callback(null, socket!);
        }),
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection: WorkerConnection = { client, socket: undefined };
    client.on("disconnect", () => {
      const index = this.#idle.indexOf(connection);
      if (index < 0) return;
      this.#idle.splice(index, 1);
      this.#discard(connection);
    });
    this.#all.add(connection);
    return connection;
  }

  #discard(connection: WorkerConnection): void {
    if (!this.#all.delete(connection)) return;
    // The promise rejects only if the client was destroyed before.
    connection.client.destroy().catch(() => undefined);
  }
}

interface WorkerConnection {
  readonly client: Client;
  /** Undefined until the connection is open. */
  socket: Socket | undefined;
}

interface ExchangeOptions {
  readonly names: HeaderNames;
  /** Header fields of an answer that are looked at, in lower case. */
  readonly wanted: ReadonlySet<string>;
  /** Header fields that the caller's node sets anew, in lower case. */
  readonly dropped: ReadonlySet<string>;
  readonly connection: WorkerConnection;
  /** Called when more or fewer bytes of the answer are held. */
  readonly onHeld: (bytes: number) => void;
  readonly finish: (result: WorkerResult) => void;
}

/** One request and its answer, as a handler of undici. */
class Exchange implements Dispatcher.DispatchHandler {
  readonly #call: WorkerCall;
  readonly #options: ExchangeOptions;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #heldBytes = 0;
  /** Bytes that the connection had received before the request. */
  #receivedBefore = 0;
  #header: ParsedHeaders = { lines: [], values: new Map() };
  #isWrongAnswer = false;
  #hasLength = false;
  #isCancelled = false;
  #isDone = false;
  #isReusable = false;

  constructor(call: WorkerCall, options: ExchangeOptions) {
    this.#call = call;
    this.#options = options;
  }

  /** Whether the connection may carry another call. */
  get isReusable(): boolean {
    return this.#isReusable;
  }

  /** Bytes of the answer's body that are held. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Cuts the answer if its bytes have long been no part of one. */
  check(): void {
    const { socket } = this.#options.connection;
    if (socket === undefined || this.#controller === undefined) return;
    const received = socket.bytesRead - this.#receivedBefore;
    const most = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_FACTOR * this.#heldBytes;
    if (received > most) this.cut("The bytes are no answer");
  }

  /** Ends the exchange and its connection, since the answer is of no use. */
  cut(reason: string): void {
    if (this.#isDone) return;
    this.#isWrongAnswer = true;
    this.#controller?.abort(new Error(reason));
  }

  cancel(): void {
    if (this.#isDone) return;
    this.#isCancelled = true;
    if (this.#controller === undefined) {
      // The connection is still being opened; the request is not sent.
      this.#fail(false);
    } else this.#controller.abort(new Error("The caller cancelled"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#isCancelled) {
      controller.abort(new Error("The caller cancelled"));
      return;
    }
    this.#controller = controller;
    this.#receivedBefore = this.#options.connection.socket?.bytesRead ?? 0;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status < 200) return;
    this.#status = status;
    const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
    this.#header = parseHeaders(raw, this.#options);
    const { values } = this.#header;
    this.#hasLength = LENGTH_FIELDS.some((name) => values.has(name)) ||
      BODILESS_STATUSES.includes(status) || this.#call.method === "HEAD";
    // It could not be told from one that is cut off, and may have no end.
    if (!this.#hasLength) return this.cut("The answer has no length");
    const echoed = values.get(this.#options.names.requestId.toLowerCase());
    if (echoed !== undefined && echoed !== this.#call.requestId) {
      this.#isWrongAnswer = true;
      controller.abort(new Error("The answer belongs to another request"));
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isWrongAnswer) return;
    this.#chunks.push(chunk);
    this.#heldBytes += chunk.length;
    this.#options.onHeld(chunk.length);
  }

  onResponseEnd(): void {
    if (this.#isDone) return;
    this.#isReusable = true;
    const { names } = this.#options;
    const { lines, values } = this.#header;
    const isNotRun = this.#status === 421 ||
      values.has(names.notRun.toLowerCase());
    if (isNotRun) {
      return this.#finish({
        kind: "failure",
        error: this.#status === 421 ? "worker_replaced" : "worker_refused",
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
      headers: lines,
      body: this.#chunks.length === 1
        ? this.#chunks[0]!
        : Buffer.concat(this.#chunks),
    });
  }

  onResponseError(): void {
    if (!this.#isDone) this.#fail(this.#controller !== undefined);
  }

  #fail(mayHaveRun: boolean): void {
    this.#finish({
      kind: "failure",
      error: this.#isCancelled
        ? "caller_cancelled"
        : !mayHaveRun
        ? "connection_refused"
        : this.#isWrongAnswer || this.#status !== 0
        ? "answer_cut"
        : "connection_lost",
      mayHaveRun,
      wasSent: mayHaveRun,
      retryAfterMs: 0,
    });
  }

  #finish(result: WorkerResult): void {
    this.#isDone = true;
    this.#options.onHeld(-this.#heldBytes);
    this.#options.finish(result);
  }
}
