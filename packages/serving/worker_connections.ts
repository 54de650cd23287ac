import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import { type ParsedHeaders, parseHeaders } from "./parse_headers.ts";
import type { HeaderNames } from "./header_names.ts";
import type { WorkerCall, WorkerResult } from "./worker_call.ts";

/** Time-out for opening a connection to the worker, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Time for which an idle connection is kept if the worker sends no `Keep-Alive`
 * header, in milliseconds.
 */
const KEEP_ALIVE_MS = 4_000;

/**
 * An answer is aborted when its connection has received more bytes than these
 * overhead bytes plus the factor times the length of its body so far. The
 * factor allows for chunked bodies: a chunk of one byte takes six bytes.
 */
const MAX_OVERHEAD_BYTES = 65_536;
const MAX_OVERHEAD_FACTOR = 8;

/** Headers that determine where an answer ends. */
const LENGTH_HEADERS = ["content-length", "transfer-encoding"] as const;

/** Code of undici's error for a request that HTTP does not allow. */
const INVALID_REQUEST_CODE = "UND_ERR_INVALID_ARG";

/** Status code of a worker that is not the one to which a call is addressed. */
const REPLACED_STATUS = 421;

/** Status codes of answers that have no body. */
const BODILESS_STATUSES: readonly number[] = [204, 304];

/**
 * Number of refused calls after which a connection is closed, so that their
 * identities do not fill the memory.
 */
const MAX_REFUSED_PER_CONNECTION = 200;

/** Value of the header by which a worker says that it is leaving. */
const IS_LEAVING = "1";

/** What a worker says of itself in the header of an answer. */
export interface AnswerStatement {
  /**
   * Requests a second that it takes from all hosts together, as text; undefined
   * if it names no limit.
   */
  readonly requestLimit: string | undefined;
  /** Whether it takes no more requests, because it stops. */
  readonly isLeaving: boolean;
}

/** Options of {@linkcode WorkerConnections}. */
export interface WorkerConnectionsOptions {
  /** Address of the worker as host:port. */
  readonly address: string;
  readonly names: HeaderNames;
  /**
   * Maximum total size of the buffered parts of incomplete answers, in bytes.
   */
  readonly maxHeldBytes: () => number;
}

/** Handle of a call that was sent to the worker. */
export interface ExchangeHandle {
  /** Aborts the call and closes its connection. */
  readonly cancel: () => void;
}

/**
 * Pool of connections to the worker beside this node, each of which carries one
 * call at a time. The connection that has been idle longest is used first, so
 * that unexpected bytes after an answer are detected before the next request.
 */
export class WorkerConnections {
  readonly #options: WorkerConnectionsOptions;
  readonly #wanted: ReadonlySet<string>;
  readonly #dropped: ReadonlySet<string>;
  readonly #connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  #idle: WorkerConnection[] = [];
  readonly #connections = new Set<WorkerConnection>();
  readonly #exchanges = new Set<Exchange>();
  #heldBytes = 0;

  /** @param options Address of the worker, header names and memory limit. */
  constructor(options: WorkerConnectionsOptions) {
    this.#options = options;
    const { answerSignature, leaving, notRun, requestId, requestsPerSecond } =
      options.names;
    this.#dropped = new Set([requestId.toLowerCase()]);
    this.#wanted = new Set([
      ...LENGTH_HEADERS,
      ...[answerSignature, leaving, notRun, requestId, requestsPerSecond].map(
        (name) => name.toLowerCase(),
      ),
    ]);
  }

  /**
   * Sends a call to the worker.
   *
   * @param call Call with the headers for the worker.
   * @param finish Called once, with the outcome.
   * @param onHeader Called with what the worker says of itself in the header of
   * its answer.
   * @returns Handle that aborts the call.
   */
  send(
    call: WorkerCall,
    finish: (result: WorkerResult) => void,
    onHeader: (stated: AnswerStatement) => void = () => {},
  ): ExchangeHandle {
    const connection = this.#takeIdle(call) ?? this.#open();
    const exchange = new Exchange(call, {
      names: this.#options.names,
      wanted: this.#wanted,
      dropped: this.#dropped,
      connection,
      onHeader,
      onHeldBytesChange: (bytes) => this.#addHeldBytes(bytes),
      finish: (result) => {
        this.#exchanges.delete(exchange);
        if (isRefusal(result)) connection.refused.add(call.requestId);
        const isReusable = exchange.isReusable &&
          connection.refused.size <= MAX_REFUSED_PER_CONNECTION;
        if (isReusable && this.#connections.has(connection)) {
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

  /** Total size of the buffered parts of incomplete answers, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Aborts answers that have received far more bytes than their bodies hold,
   * such as endless headers. Called a few times a second.
   */
  abortOversizedAnswers(): void {
    this.#exchanges.forEach((exchange) => exchange.abortIfOversized());
  }

  /** Closes the idle connections, after the worker has been replaced. */
  closeIdle(): void {
    this.#idle.forEach((connection) => this.#discard(connection));
    this.#idle = [];
  }

  /** Closes all connections. */
  close(): void {
    this.#idle = [];
    [...this.#connections].forEach((connection) => this.#discard(connection));
  }

  // Above the limit the largest answer is aborted, so that an endless answer
  // does not cause others to fail.
  #addHeldBytes(bytes: number): void {
    this.#heldBytes += bytes;
    if (this.#heldBytes <= this.#options.maxHeldBytes()) return;
    const [largest] = [...this.#exchanges].sort((one, other) =>
      other.heldBytes - one.heldBytes
    );
    largest?.abort(
      "Largest incomplete answer aborted: limit of buffered bytes exceeded",
    );
  }

  // A call that was refused is not sent again on the same connection, where a
  // faulty worker may write the refusal once more while it runs the call.
  #takeIdle({ requestId }: WorkerCall): WorkerConnection | undefined {
    const index = this.#idle.findIndex(({ refused }) =>
      !refused.has(requestId)
    );
    return index < 0 ? undefined : this.#idle.splice(index, 1)[0];
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
    const connection: WorkerConnection = {
      client,
      socket: undefined,
      refused: new Set(),
    };
    client.on("disconnect", () => {
      const index = this.#idle.indexOf(connection);
      if (index < 0) return;
      this.#idle.splice(index, 1);
      this.#discard(connection);
    });
    this.#connections.add(connection);
    return connection;
  }

  #discard(connection: WorkerConnection): void {
    if (!this.#connections.delete(connection)) return;
    // The promise rejects only if the client was destroyed before.
    connection.client.destroy().catch(() => undefined);
  }
}

interface WorkerConnection {
  readonly client: Client;
  /** Socket of the connection; undefined until it is open. */
  socket: Socket | undefined;
  /** Identities of the calls that the worker has refused on the connection. */
  readonly refused: Set<string>;
}

function isRefusal(result: WorkerResult): boolean {
  return result.kind === "failure" && result.wasSent && !result.mayHaveRun;
}

interface ExchangeOptions {
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
  /** Called with the change of the number of buffered bytes of the answer. */
  readonly onHeldBytesChange: (bytes: number) => void;
  readonly finish: (result: WorkerResult) => void;
}

/** One request and its answer, as a dispatch handler of undici. */
class Exchange implements Dispatcher.DispatchHandler {
  readonly #call: WorkerCall;
  readonly #options: ExchangeOptions;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #heldBytes = 0;
  /** Bytes that the connection had received before this request. */
  #bytesReadBefore = 0;
  #headers: ParsedHeaders = { forwarded: [], values: new Map() };
  #isUnusableAnswer = false;
  #hasLength = false;
  #isCancelled = false;
  #isDone = false;
  #isReusable = false;

  constructor(call: WorkerCall, options: ExchangeOptions) {
    this.#call = call;
    this.#options = options;
  }

  /** Whether the connection may be used for another call. */
  get isReusable(): boolean {
    return this.#isReusable;
  }

  /** Number of buffered bytes of the answer's body. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Aborts the exchange if it received far more bytes than the body holds. */
  abortIfOversized(): void {
    const { socket } = this.#options.connection;
    if (socket === undefined || this.#controller === undefined) return;
    const receivedBytes = socket.bytesRead - this.#bytesReadBefore;
    const maxBytes = MAX_OVERHEAD_BYTES +
      MAX_OVERHEAD_FACTOR * this.#heldBytes;
    if (receivedBytes > maxBytes) this.abort("Received bytes exceed the limit");
  }

  /** Aborts the exchange and closes its connection; the answer is unusable. */
  abort(reason: string): void {
    if (this.#isDone) return;
    this.#isUnusableAnswer = true;
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
    if (status < 200) return;
    this.#status = status;
    const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
    this.#headers = parseHeaders(raw, this.#options);
    const { values } = this.#headers;
    this.#hasLength = LENGTH_HEADERS.some((name) => values.has(name)) ||
      BODILESS_STATUSES.includes(status) || this.#call.method === "HEAD";
    // An answer without a length cannot be distinguished from a truncated one
    // and may be endless.
    if (!this.#hasLength) return this.abort("Answer has no length header");
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

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isUnusableAnswer) return;
    this.#chunks.push(chunk);
    this.#heldBytes += chunk.length;
    this.#options.onHeldBytesChange(chunk.length);
  }

  onResponseEnd(): void {
    if (this.#isDone) return;
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
      body: this.#chunks.length === 1
        ? this.#chunks[0]!
        : Buffer.concat(this.#chunks),
      isRefusedBelow: false,
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
    this.#options.onHeldBytesChange(-this.#heldBytes);
    this.#options.finish(result);
  }
}
