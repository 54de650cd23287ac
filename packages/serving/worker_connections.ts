import { buildConnector, Client, type Dispatcher } from "undici";
import {
  Exchange,
  LENGTH_HEADERS,
  type WorkerConnection,
} from "./_exchange.ts";
import { IdleTimeout } from "./_idle_timeout.ts";
import type { HeaderNames } from "./header_names.ts";
import type { MemoryAccount } from "./memory_account.ts";
import type {
  AnswerStatement,
  WorkerCall,
  WorkerResult,
} from "./worker_call.ts";

/** Time-out for opening a connection to the worker, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Time for which an idle connection is kept if the worker sends no `Keep-Alive`
 * header, in milliseconds.
 */
const KEEP_ALIVE_MS = 4_000;

/**
 * Share of the memory of unfinished answers up to which those of unknown length
 * wait for room. Above it they may be endless, and would wait for each other.
 */
const MAX_GROWING_SHARE = 0.5;

/**
 * Number of refused calls after which a connection is closed, so that their
 * identities do not fill the memory.
 */
const MAX_REFUSED_PER_CONNECTION = 200;

/**
 * Code in place of ECONNRESET, on which undici takes a closing answer for complete,
 * or throws an error that nothing catches if the answer is paused.
 */
const RESET_CODE = "CONNECTION_RESET";

/** Code of undici's error for a connection that the worker has closed. */
const CLOSED_CODE = "UND_ERR_SOCKET";

/** Options of {@linkcode WorkerConnections}. */
export interface WorkerConnectionsOptions {
  /** Address of the worker as host:port. */
  readonly address: string;
  readonly names: HeaderNames;
  /** Account of the memory for the buffered parts of incomplete answers. */
  readonly account: MemoryAccount;
}

/** Handle of a call that was sent to the worker. */
export interface ExchangeHandle {
  /** Aborts the call and closes its connection. */
  readonly cancel: () => void;
}

/**
 * Pool of connections to the worker beside this node, each of which carries one
 * call at a time. The connection that has been idle longest is used first, so
 * that unexpected bytes after an answer are detected before the next request,
 * unless the worker may be about to close it.
 */
export class WorkerConnections {
  readonly #options: WorkerConnectionsOptions;
  readonly #wanted: ReadonlySet<string>;
  readonly #dropped: ReadonlySet<string>;
  readonly #connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  #idle: WorkerConnection[] = [];
  #idleTimeout = new IdleTimeout();
  readonly #connections = new Set<WorkerConnection>();
  readonly #exchanges = new Set<Exchange>();

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
    const reservation = this.#options.account.open("worker_answers");
    const exchange: Exchange = new Exchange(call, {
      names: this.#options.names,
      wanted: this.#wanted,
      dropped: this.#dropped,
      connection,
      onHeader,
      maxBodyBytes: () => this.#options.account.limitOf("worker_answers"),
      reservation,
      makeRoom: (bytes) => {
        const maxBytes = MAX_GROWING_SHARE *
          this.#options.account.limitOf("worker_answers");
        while (this.#growingBytes + bytes > maxBytes) {
          if (this.#abortLargest(exchange) === exchange) return;
        }
      },
      finish: (result) => {
        this.#exchanges.delete(exchange);
        if (isRefusal(result)) connection.refused.add(call.requestId);
        const isReusable = exchange.isReusable &&
          connection.refused.size <= MAX_REFUSED_PER_CONNECTION;
        if (isReusable && this.#connections.has(connection)) {
          connection.idleSince = performance.now();
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
    this.#idleTimeout = new IdleTimeout();
  }

  /** Closes all connections. */
  close(): void {
    this.#idle = [];
    [...this.#connections].forEach((connection) => this.#discard(connection));
  }

  get #growingBytes(): number {
    return [...this.#exchanges].reduce(
      (sum, { growingBytes }) => sum + growingBytes,
      0,
    );
  }

  // The largest answer of unknown length is aborted, so that an endless one does
  // not cause others to fail.
  #abortLargest(receiving: Exchange): Exchange {
    const largest = [...this.#exchanges].reduce(
      (one, other) => other.growingBytes > one.growingBytes ? other : one,
      receiving,
    );
    largest.abort(
      "Largest incomplete answer aborted: limit of buffered bytes exceeded",
    );
    return largest;
  }

  // A call that was refused is not sent again on the same connection, where a
  // faulty worker may write the refusal once more while it runs the call.
  #takeIdle({ requestId }: WorkerCall): WorkerConnection | undefined {
    const now = performance.now();
    const [oldest] = this.#idle;
    if (oldest !== undefined) {
      this.#idleTimeout.recordOpen(now - oldest.idleSince);
    }
    const index = this.#idle.findIndex(({ idleSince, refused }) =>
      this.#idleTimeout.allows(now - idleSince) && !refused.has(requestId)
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
          // Called before the listener of undici, which is added later.
          socket!.on("error", hideReset);
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
      idleSince: 0,
    };
    client.on("disconnect", (_origin, _targets, error) => {
      const index = this.#idle.indexOf(connection);
      if (index < 0) return;
      this.#idle.splice(index, 1);
      if (error.code === CLOSED_CODE) {
        this.#idleTimeout.recordClose(performance.now() - connection.idleSince);
      }
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

function hideReset(error: NodeJS.ErrnoException): void {
  if (error.code === "ECONNRESET") error.code = RESET_CODE;
}

function isRefusal(result: WorkerResult): boolean {
  return result.kind === "failure" && result.wasSent && !result.mayHaveRun;
}
