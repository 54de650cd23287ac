import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type Either, Left } from "purify-ts";
import { DeckError, ERROR_DETAILS, type ErrorKind } from "@oleanderdeck/errors";
import {
  CONTEXT_FIELD,
  CONTROL_PREFIX,
  PEER_FIELD,
  REQUEST_FIELD,
} from "@oleanderdeck/protocol";
import { RootAllowanceCache } from "@oleanderdeck/retries";
import { Call } from "./_call.ts";
import { CallTimeoutMonitor } from "./_call_timeout_monitor.ts";
import { type ControlHandler, controlHandler } from "./_control_routes.ts";
import {
  AbortControllerCache,
  CallIds,
  ExpectedDurations,
  type SharedCallState,
} from "./_shared_call_state.ts";
import { type IncomingCall, IncomingCallReader } from "./_incoming_call.ts";
import { refusalBody, refusalHeaders, sendRefusal } from "./_refusal.ts";
import { TargetPools } from "./_target_pools.ts";
import { ContextCodec } from "./call_context.ts";
import type { CallServerOptions } from "./call_server_options.ts";

/** Maximum size of a request header in bytes. */
const MAXIMUM_HEADER_BYTES = 16_384;

/** Time within which a request header must arrive, in milliseconds. */
const HEADER_TIMEOUT_MS = 10_000;

/** Interval of the checks for late request headers, in milliseconds. */
const HEADER_CHECK_MS = 1000;

/**
 * Time after which an idle connection of a caller is closed, in milliseconds.
 * It is longer than the time for which nodes keep idle connections to each
 * other, so that the side that sends requests closes first.
 */
const CALLER_IDLE_TIMEOUT_MS = 65_000;

/**
 * Time for slow callers to read the rest of their responses while the server
 * closes, in milliseconds. Closing the server truncates responses that are not
 * yet written.
 */
const FLUSH_TIMEOUT_MS = 5000;

/** Interval of the checks for calls in flight while closing, in milliseconds. */
const CLOSE_CHECK_MS = 10;

/**
 * HTTP/1.1 server on a node's call port. It serves calls, and the control
 * endpoints below `/oleanderdeck/v1/`.
 */
export class CallServer {
  readonly #options: CallServerOptions;
  readonly #server: Server;
  readonly #shared: SharedCallState;
  readonly #control: ControlHandler;
  #draining = false;
  #drainingRoots = false;
  #openResponses = 0;

  /** @param options Dependencies on the rest of the node. */
  constructor(options: CallServerOptions) {
    this.#options = options;
    const self = options.members.self();
    const codec = new ContextCodec(options.keys);
    this.#shared = {
      options,
      nodeId: self.nodeId,
      incarnation: self.incarnation,
      codec,
      reader: new IncomingCallReader(options, codec),
      pools: new TargetPools(),
      monitor: new CallTimeoutMonitor(options.clock),
      callIds: new CallIds(self.incarnation),
      durations: new ExpectedDurations(),
      abortControllers: new AbortControllerCache(),
      rootAllowances: new RootAllowanceCache(options.clock),
      now: () => options.clock.now(),
      isDraining: () => this.#draining,
    };
    this.#control = controlHandler(
      options,
      () => this.#draining || this.#drainingRoots,
    );
    this.#server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: HEADER_TIMEOUT_MS,
      // Disabled, because uploads over poor connections take long. The deadline
      // and the progress timeout of the service policy limit them instead.
      requestTimeout: 0,
      connectionsCheckingInterval: HEADER_CHECK_MS,
      keepAliveTimeout: CALLER_IDLE_TIMEOUT_MS,
    }, (request, response) => this.#accept(request, response));
    this.#server.on("clientError", refuseUnparsable);
    // Node.js would leave out all fields behind the first 1,000, also those that say
    // where the body ends. Their number is limited by the length of the header.
    this.#server.maxHeadersCount = 0;
  }

  /** Number of calls in flight. */
  get inFlight(): number {
    return this.#shared.monitor.size;
  }

  /**
   * Starts to listen for calls.
   *
   * @param host IP address.
   * @param port TCP port; 0 selects a free one.
   * @returns The address as host:port.
   */
  listen(host: string, port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        this.#server.off("error", reject);
        const address = this.#server.address() as AddressInfo;
        resolve(
          address.family === "IPv6"
            ? `[${address.address}]:${address.port}`
            : `${address.address}:${address.port}`,
        );
      });
    });
  }

  /** Refuses new calls as `draining` from now on. */
  drain(): void {
    this.#draining = true;
  }

  /**
   * Refuses new root calls as `draining` from now on. Calls with a context are
   * still accepted, because requests that run on this node's worker need them to
   * complete. Forwarded calls are accepted too; admission refuses them if the
   * worker is draining.
   */
  drainRootCalls(): void {
    this.#drainingRoots = true;
  }

  /**
   * Shuts down gracefully: refuses new calls as `draining` and closes the server
   * after the last call has ended.
   */
  async close(): Promise<void> {
    this.drain();
    const { clock } = this.#options;
    while (this.#shared.monitor.size > 0) await clock.sleep(CLOSE_CHECK_MS);
    const end = clock.now() + FLUSH_TIMEOUT_MS;
    while (this.#openResponses > 0 && clock.now() < end) {
      await clock.sleep(CLOSE_CHECK_MS);
    }
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeIdleConnections();
    await this.#options.clock.sleep(CLOSE_CHECK_MS);
    this.#server.closeAllConnections();
    await closed;
    await this.#shared.pools.close();
  }

  /** Closes the server immediately and aborts calls in flight. */
  async abort(): Promise<void> {
    this.drain();
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeAllConnections();
    await closed;
    await this.#shared.pools.close();
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    this.#openResponses++;
    response.once("close", () => this.#openResponses--);
    if (request.url!.startsWith(CONTROL_PREFIX)) {
      this.#control(request, response);
      return;
    }
    if (this.#draining || (this.#drainingRoots && isRoot(request))) {
      return this.#refuse(
        response,
        this.#withExecutionStatus(request, "draining"),
      );
    }
    if (this.#options.ready?.() === false) {
      return this.#refuse(
        response,
        this.#withExecutionStatus(request, "not_ready"),
      );
    }
    this.#read(request).caseOf({
      Left: (error) =>
        this.#refuse(
          response,
          error.run === "no"
            ? this.#withExecutionStatus(request, error.kind, error)
            : error,
        ),
      Right: (incoming) =>
        new Call(this.#shared, incoming, request, response).start(),
    });
  }

  #read(request: IncomingMessage): Either<DeckError, IncomingCall> {
    try {
      return this.#shared.reader.read(request);
    } catch (cause) {
      this.#options.log.write("error", "call_fault", {
        fault: cause instanceof Error ? cause.stack : String(cause),
      });
      return Left(new DeckError("internal", { run: "no", cause }));
    }
  }

  // An earlier request with the same permit may have run, here or on another
  // node.
  #withExecutionStatus(
    { headers }: IncomingMessage,
    kind: ErrorKind,
    error?: DeckError,
  ): DeckError {
    const identity = headers[REQUEST_FIELD];
    const run = this.#options.permitLedger.executionStatusOf(
      typeof identity === "string" ? identity : undefined,
    );
    if (run === "no" && error !== undefined) return error;
    return new DeckError(kind, { run, message: error?.message, cause: error });
  }

  #refuse(response: ServerResponse, error: DeckError): void {
    this.#options.metrics.countRefusal(error.kind, "");
    response.on("error", () => {});
    sendRefusal(
      response,
      error,
      this.#draining || this.#drainingRoots ? ["connection", "close"] : [],
    );
  }
}

function isRoot({ headers }: IncomingMessage): boolean {
  return headers[CONTEXT_FIELD] === undefined &&
    headers[PEER_FIELD] === undefined;
}

/**
 * Responds to a request that the HTTP parser rejects, because its header is
 * malformed, too large or late.
 */
function refuseUnparsable(error: NodeJS.ErrnoException, socket: Socket): void {
  // A second response must not follow one that is in progress.
  const responseInProgress =
    (socket as { _httpMessage?: unknown })._httpMessage;
  if (!socket.writable || responseInProgress || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const refusal = new DeckError(
    error.code === "HPE_HEADER_OVERFLOW" ? "too_large" : "malformed_request",
  );
  const body = refusalBody(refusal);
  const headers = refusalHeaders(refusal);
  const fields = headers.reduce(
    (text, part, index) => text + part + (index % 2 === 0 ? ": " : "\r\n"),
    "",
  );
  socket.end(
    `HTTP/1.1 ${ERROR_DETAILS[refusal.kind].status} Refused\r\n` +
      `connection: close\r\ncontent-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n${fields}\r\n${body}`,
  );
}
