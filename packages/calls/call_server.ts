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
import { CallWatch } from "./_call_watch.ts";
import { type ControlHandler, controlHandler } from "./_control_routes.ts";
import {
  CallIds,
  type EdgeParts,
  ExpectedDurations,
  Withdrawals,
} from "./_edge_parts.ts";
import { type Intake, IntakeReader } from "./_intake.ts";
import { refusalBody, refusalLines, sendRefusal } from "./_refusal.ts";
import { TargetPools } from "./_target_pools.ts";
import { ContextCodec } from "./call_context.ts";
import type { CallServerOptions } from "./call_server_options.ts";

/** Greatest request header in bytes. */
const MAXIMUM_HEADER_BYTES = 16_384;

/** Time for the header of a request to arrive, in milliseconds. */
const HEADER_TIMEOUT_MS = 10_000;

/** Time between two checks for slow headers, in milliseconds. */
const HEADER_CHECK_MS = 1000;

/**
 * Time for which an unused connection of a caller stays open, in milliseconds.
 * It is longer than the time for which nodes keep connections to each other,
 * so that the side that sends requests closes first.
 */
const IDLE_CALLER_MS = 65_000;

/**
 * Time for slow callers to read the last bytes of their answers while closing,
 * in milliseconds. Closing the server cuts off answers that are not written.
 */
const LAST_BYTES_MS = 5000;

/** Time between two looks at the calls in flight while closing, in ms. */
const CLOSE_CHECK_MS = 10;

/**
 * HTTP/1.1 server of a node's call port: calls, and the local control
 * endpoints below `/oleanderdeck/v1/`.
 */
export class CallServer {
  readonly #options: CallServerOptions;
  readonly #server: Server;
  readonly #parts: EdgeParts;
  readonly #control: ControlHandler;
  #draining = false;
  #drainingRoots = false;
  #openAnswers = 0;

  /** @param options Views and parts of the node. */
  constructor(options: CallServerOptions) {
    this.#options = options;
    const self = options.members.self();
    const codec = new ContextCodec(options.keys);
    this.#parts = {
      options,
      nodeId: self.nodeId,
      incarnation: self.incarnation,
      codec,
      reader: new IntakeReader(options, codec),
      pools: new TargetPools(),
      watch: new CallWatch(options.clock),
      callIds: new CallIds(self.incarnation),
      durations: new ExpectedDurations(),
      withdrawals: new Withdrawals(),
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
      // Uploads over poor connections take long; the deadline and the progress
      // timeout of the service policy bound them instead.
      requestTimeout: 0,
      connectionsCheckingInterval: HEADER_CHECK_MS,
      keepAliveTimeout: IDLE_CALLER_MS,
    }, (request, response) => this.#accept(request, response));
    this.#server.on("clientError", refuseUnreadable);
  }

  /** Number of calls in flight. */
  get inFlight(): number {
    return this.#parts.watch.size;
  }

  /**
   * Starts to listen.
   *
   * @param host IP address.
   * @param port TCP port; 0 lets the system choose.
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
   * Refuses new root calls as `draining`. Calls with a context are still taken,
   * because the requests that run on the own worker need them to end whole, and
   * so are forwarded calls, which the admission refuses for a draining worker.
   */
  drainRootCalls(): void {
    this.#drainingRoots = true;
  }

  /** Refuses new calls as `draining`, and ends when the last call has ended. */
  async close(): Promise<void> {
    this.drain();
    const { clock } = this.#options;
    while (this.#parts.watch.size > 0) await clock.sleep(CLOSE_CHECK_MS);
    const end = clock.now() + LAST_BYTES_MS;
    while (this.#openAnswers > 0 && clock.now() < end) {
      await clock.sleep(CLOSE_CHECK_MS);
    }
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeIdleConnections();
    await this.#options.clock.sleep(CLOSE_CHECK_MS);
    this.#server.closeAllConnections();
    await closed;
    await this.#parts.pools.close();
  }

  /** Ends at once; calls in flight are cut off. */
  async abort(): Promise<void> {
    this.drain();
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeAllConnections();
    await closed;
    await this.#parts.pools.close();
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    this.#openAnswers++;
    response.once("close", () => this.#openAnswers--);
    if (request.url!.startsWith(CONTROL_PREFIX)) {
      this.#control(request, response);
      return;
    }
    if (this.#draining || (this.#drainingRoots && isRoot(request))) {
      return this.#refuse(response, this.#withRun(request, "draining"));
    }
    if (this.#options.ready?.() === false) {
      return this.#refuse(response, this.#withRun(request, "not_ready"));
    }
    this.#read(request).caseOf({
      Left: (error) =>
        this.#refuse(
          response,
          error.run === "no"
            ? this.#withRun(request, error.kind, error)
            : error,
        ),
      Right: (intake) =>
        new Call(this.#parts, intake, request, response).start(),
    });
  }

  #read(request: IncomingMessage): Either<DeckError, Intake> {
    try {
      return this.#parts.reader.read(request);
    } catch (cause) {
      this.#options.log.write("error", "call_fault", {
        fault: cause instanceof Error ? cause.stack : String(cause),
      });
      return Left(new DeckError("internal", { run: "no", cause }));
    }
  }

  // An earlier sending of the same permit may have run, here or elsewhere.
  #withRun(
    { headers }: IncomingMessage,
    kind: ErrorKind,
    error?: DeckError,
  ): DeckError {
    const identity = headers[REQUEST_FIELD];
    const run = this.#options.ledger.runOf(
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

/** Answers what the HTTP parser refuses: malformed, oversized or slow headers. */
function refuseUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
  // An answer in progress must not be followed by another one.
  const answering = (socket as { _httpMessage?: unknown })._httpMessage;
  if (!socket.writable || answering || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const refusal = new DeckError(
    error.code === "HPE_HEADER_OVERFLOW" ? "too_large" : "malformed_request",
  );
  const body = refusalBody(refusal);
  const lines = refusalLines(refusal);
  const fields = lines.reduce(
    (text, part, index) => text + part + (index % 2 === 0 ? ": " : "\r\n"),
    "",
  );
  socket.end(
    `HTTP/1.1 ${ERROR_DETAILS[refusal.kind].status} Refused\r\n` +
      `connection: close\r\ncontent-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n${fields}\r\n${body}`,
  );
}
