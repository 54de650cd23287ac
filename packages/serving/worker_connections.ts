import { Client, type Dispatcher } from "undici";
import { type ReadHeader, readHeader } from "./header_lines.ts";
import type { HeaderNames } from "./header_names.ts";
import type { WorkerCall, WorkerResult } from "./worker_call.ts";

/** Time to open a connection to the worker, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Time for which an idle connection is kept without a hint of the worker. */
const KEEP_ALIVE_MS = 4_000;

/** Header fields that show where an answer ends. */
const LENGTH_FIELDS = ["content-length", "transfer-encoding"] as const;

/** Statuses of answers that have no body. */
const BODILESS_STATUSES: readonly number[] = [204, 304];

/** Options of {@linkcode WorkerConnections}. */
export interface WorkerConnectionsOptions {
  /** Address of the worker as host:port. */
  readonly address: string;
  readonly names: HeaderNames;
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
  #idle: Client[] = [];
  readonly #all = new Set<Client>();

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
    const client = this.#idle.shift() ?? this.#open();
    const exchange = new Exchange(call, {
      names: this.#options.names,
      wanted: this.#wanted,
      dropped: this.#dropped,
      finish: (result) => {
        if (exchange.isReusable && this.#all.has(client)) {
          this.#idle.push(client);
        } else this.#discard(client);
        finish(result);
      },
    });
    client.dispatch({
      method: call.method as Dispatcher.HttpMethod,
      path: call.target,
      headers: call.headers as string[],
      body: call.body.length === 0 ? null : call.body,
    }, exchange);
    return exchange;
  }

  /** Closes the idle connections, for a worker that has been replaced. */
  forgetIdle(): void {
    this.#idle.forEach((client) => this.#discard(client));
    this.#idle = [];
  }

  /** Closes all connections. */
  close(): void {
    this.#idle = [];
    [...this.#all].forEach((client) => this.#discard(client));
  }

  #open(): Client {
    const client = new Client(`http://${this.#options.address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    client.on("disconnect", () => {
      const index = this.#idle.indexOf(client);
      if (index < 0) return;
      this.#idle.splice(index, 1);
      this.#discard(client);
    });
    this.#all.add(client);
    return client;
  }

  #discard(client: Client): void {
    if (!this.#all.delete(client)) return;
    // The promise rejects only if the client was destroyed before.
    client.destroy().catch(() => undefined);
  }
}

interface ExchangeOptions {
  readonly names: HeaderNames;
  /** Header fields of an answer that are looked at, in lower case. */
  readonly wanted: ReadonlySet<string>;
  /** Header fields that the caller's node sets anew, in lower case. */
  readonly dropped: ReadonlySet<string>;
  readonly finish: (result: WorkerResult) => void;
}

/** One request and its answer, as a handler of undici. */
class Exchange implements Dispatcher.DispatchHandler {
  readonly #call: WorkerCall;
  readonly #options: ExchangeOptions;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #header: ReadHeader = { lines: [], values: new Map() };
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
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status < 200) return;
    this.#status = status;
    const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
    this.#header = readHeader(raw, this.#options);
    const { values } = this.#header;
    this.#hasLength = LENGTH_FIELDS.some((name) => values.has(name)) ||
      BODILESS_STATUSES.includes(status) || this.#call.method === "HEAD";
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
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (this.#isDone) return;
    // An answer without a length ends like one that was cut off.
    if (!this.#hasLength) return this.#fail(true);
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
    this.#options.finish(result);
  }
}
