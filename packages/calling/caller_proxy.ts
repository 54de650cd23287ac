import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as ListeningServer, type Socket } from "node:net";
import type { CallerLimits, Route } from "@oleanderdeck/directory";
import { type EndTimes, listen } from "@oleanderdeck/hop";
import {
  rankOfNested,
  rankOfRoot,
  StopAdmission,
  type StopTimes,
} from "@oleanderdeck/serving";
import {
  type AnswerCounts,
  AnswerWriter,
  malformedAnswer,
} from "./_answer_writer.ts";
import { CallerConnection } from "./_caller_connection.ts";
import type { Exchange } from "./_exchange.ts";
import { CallerIdentification } from "./_caller_identification.ts";
import { ChainStarts } from "./_chain_starts.ts";
import { CountedRequest } from "./_counted_request.ts";
import { isLastOfConnection, lacksHost } from "./_connection_fields.ts";
import type { RefusedCaller } from "./caller_identity.ts";
import { RequestBodies } from "./_request_bodies.ts";
import {
  RequestHeaderReader,
  statedTimeMs,
  timeLimitMs,
} from "./_request_header.ts";
import { readTarget } from "./_request_target.ts";
import { RequestTokens } from "./_request_tokens.ts";
import type { RoutedHeader, RoutedRequest } from "./_routed_request.ts";
import { type CallerRequest, CallTask, type TaskResult } from "./call_task.ts";
import type { CallerProxyOptions } from "./caller_proxy_options.ts";
import { retryAfterRefusalMs } from "./root_admission.ts";
import { ClientConnections } from "./_client_connections.ts";
import { RouteTable } from "./route_table.ts";

/** Latency target of a route that does not state one, in milliseconds. */
const DEFAULT_LATENCY_TARGET_MS = 1_000;

/** Weight of a new answer in the moving average of a service's answer sizes. */
const ANSWER_SIZE_WEIGHT = 0.05;

/**
 * Minimum retry delay for the caller of a request with a credential while there is
 * no proof that it was not taken away, in milliseconds. It is the interval of the
 * requests for a proof.
 */
const UNPROVEN_RETRY_AFTER_MS = 350;

const EMPTY = Buffer.alloc(0);

/** Limits until the first configuration is known. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 67_108_864,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};

/** HTTP proxy that receives the requests of the callers on this host. */
export class CallerProxy {
  readonly #options: CallerProxyOptions;
  readonly #server: Server;
  readonly #chainStarts: ChainStarts;
  readonly #identification: CallerIdentification;
  readonly #tokens: RequestTokens;
  readonly #answerWriter: AnswerWriter;
  readonly #headers: RequestHeaderReader;
  #routes: RouteTable | undefined;
  #limits = INITIAL_LIMITS;
  /** Moving average of the answer sizes of each service, in bytes. */
  readonly #meanAnswerBytes = new Map<string, number>();
  readonly #connections = new Map<Socket, CallerConnection>();
  readonly #clients: ClientConnections;
  readonly #bodies: RequestBodies;
  #acceptedConnections = 0;
  #unfinishedRequests = 0;
  #lastRequestAt = 0;
  readonly #stopAdmission = new StopAdmission();

  /** @param options Header names, workers and the configuration. */
  constructor(options: CallerProxyOptions) {
    this.#options = options;
    this.#chainStarts = new ChainStarts(options);
    this.#identification = new CallerIdentification(options);
    this.#tokens = new RequestTokens(options.quota);
    this.#headers = new RequestHeaderReader(options.names);
    this.#answerWriter = new AnswerWriter({
      requestIdField: options.names.requestId,
      observer: options.observer,
      account: options.account,
    });
    this.#bodies = new RequestBodies({
      maxBodyBytes: () => this.#limits.maxBodyBytes,
      account: options.account,
      refuse: (exchange, error, details) =>
        this.#answerWriter.refuse(exchange, error, details),
    });
    this.#clients = new ClientConnections(options);
    this.#server = createServer(
      {
        maxHeaderSize: INITIAL_LIMITS.maxHeaderBytes,
        noDelay: true,
        // Node.js would answer a request without this field itself, and any
        // number of them at once.
        requireHostHeader: false,
        IncomingMessage: CountedRequest,
      },
      (request, response) => {
        if (isLastOfConnection(request)) response.shouldKeepAlive = false;
        this.#connections.get(request.socket)?.accept(request, response);
      },
    );
    this.#server.on(
      "connect",
      (_request, socket) => this.#refuseTunnel(socket as Socket),
    );
    this.#server.on(
      "checkExpectation",
      (request: IncomingMessage, response: ServerResponse) =>
        this.#connections.get(request.socket)?.refuseExpectation(response),
    );
    this.#server.on("connection", (socket) => this.#accept(socket));
    // Node.js would leave out all fields behind the first 1,000, also those that say
    // where the body ends. Their number is limited by the length of the header.
    this.#server.maxHeadersCount = 0;
    this.#server.requestTimeout = 0;
    this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      if (!socket.writable || error.code === "ECONNRESET") {
        socket.destroy();
      } else this.#connections.get(socket as Socket)?.endMalformed(error.code);
    });
    this.#applyConfiguration();
    options.configuration.onChange(() => this.#applyConfiguration());
  }

  /** Number of connections that were accepted since the start. */
  get acceptedConnections(): number {
    return this.#acceptedConnections;
  }

  /** Number of requests without a complete answer. */
  get unfinishedRequests(): number {
    return this.#unfinishedRequests;
  }

  /** Number of answers since the start, by what they told the caller. */
  get outcomes(): AnswerCounts {
    return this.#answerWriter.counts;
  }

  /** Time since the last request that began a chain, in milliseconds. */
  get sinceRootRequestMs(): number {
    return performance.now() - this.#lastRequestAt;
  }

  /**
   * Accepts connections at an address.
   *
   * @returns The port.
   * @throws {Error} If the address cannot be listened on.
   */
  listen(host: string, port: number): Promise<number> {
    const { onListenerError: onError } = this.#options;
    return listen(this.#server, { host, port, backlog: 1024, onError });
  }

  /**
   * Begins a stop: closes each connection after its next answer, by
   * `Connection: close`, and refuses requests that begin a chain and whose answer
   * would come too late. Requests in progress, and the calls made for them,
   * continue.
   */
  startStop(times: StopTimes): void {
    this.#answerWriter.startClosing();
    this.#stopAdmission.startStop(times);
  }

  /**
   * Closes the listener, ends all connections at once, and cancels the requests
   * without an answer.
   *
   * @param times Times after which the connections are closed in any case.
   * @returns Resolves when all connections are closed.
   */
  async end(times: EndTimes): Promise<void> {
    // The method of the HTTP server would destroy the idle connections.
    ListeningServer.prototype.close.call(this.#server);
    const connections = [...this.#connections.values()];
    await Promise.all(connections.map((connection) => connection.end(times)));
    this.close();
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #applyConfiguration(): void {
    const { current } = this.#options.configuration;
    if (current !== undefined) {
      this.#routes = new RouteTable(current);
      this.#identification.apply(current);
      this.#limits = current.limits;
    }
    this.#server.headersTimeout = this.#limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = this.#limits.idleTimeoutMs;
  }

  #accept(socket: Socket): void {
    if (!this.#clients.admit(socket)) return;
    this.#acceptedConnections++;
    const connection = new CallerConnection(socket, {
      start: (exchange) => this.#guard(exchange, () => this.#handle(exchange)),
      onClosed: () => this.#connections.delete(socket),
      malformedAnswer,
      account: this.#options.account,
      limits: () => this.#clients.limits,
      refuse: (exchange) =>
        this.#answerWriter.refuse(exchange, "too_many_requests_held"),
      onLimit: (limit) => this.#options.observer?.onClientLimit(limit),
    });
    this.#connections.set(socket, connection);
  }

  // Node.js has taken its own listeners off the socket.
  #refuseTunnel(socket: Socket): void {
    socket.on("error", () => socket.destroy());
    socket.on("end", () => socket.end());
    socket.resume();
    this.#connections.get(socket)?.endMalformed("CONNECT");
  }

  #handle(exchange: Exchange): void {
    const { request, response } = exchange;
    this.#unfinishedRequests++;
    response.sendDate = false;
    this.#clients.countRequest(request.socket, 1);
    exchange.onEnd(() => {
      this.#unfinishedRequests--;
      this.#clients.countRequest(request.socket, -1);
    });
    const header = this.#headers.read(request.rawHeaders);
    const { requestId } = header;
    const isHostEmpty = header.host === "";
    if (requestId === undefined || isHostEmpty && lacksHost(request)) {
      return this.#answerWriter.refuse(exchange, "malformed_request");
    }
    if (this.#routes === undefined) {
      return this.#answerWriter.refuse(exchange, "not_ready", { requestId });
    }
    const { host, path } = readTarget(request.url ?? "/", header.host);
    const route = this.#routes.find(host, path);
    const service = route && this.#routes.nextService(route);
    if (route === undefined || service === undefined) {
      const hasCredential = header.credential !== undefined;
      const error = this.#options.isConfigurationPossiblyOutdated(hasCredential)
        ? "not_ready"
        : "no_route";
      return this.#answerWriter.refuse(exchange, error, { requestId });
    }
    if ((header.bodyBytes ?? 0) > this.#limits.maxBodyBytes) {
      return this.#answerWriter.refuse(exchange, "too_large", {
        requestId,
        service,
      });
    }
    const { forwarded, identityFields, credential, timeLeft } = header;
    const routedHeader: RoutedHeader = {
      route,
      service,
      requestId,
      path,
      forwarded,
      identityFields,
      credential,
      timeLeft,
    };
    if (!header.hasBody) {
      return this.#run(exchange, { ...routedHeader, body: EMPTY });
    }
    const parent = this.#options.parentRequestOf(requestId);
    const caller = this.#identification.decide(
      routedHeader,
      parent !== undefined,
    );
    if (caller.error !== undefined) {
      return this.#refuseCaller(exchange, routedHeader, caller);
    }
    const { bodyBytes: length } = header;
    const deadline = exchange.arrivedAt + timeLimitMs(route, timeLeft);
    this.#bodies.read(
      exchange,
      { length, deadline },
      (body) =>
        this.#guard(
          exchange,
          () => this.#run(exchange, { ...routedHeader, body }),
        ),
    );
  }

  // An unexpected error costs the request at which it occurs, and no other one.
  #guard(exchange: Exchange, handle: () => void): void {
    try {
      handle();
    } catch (error) {
      this.#options.onUnexpectedError(error);
      this.#answerWriter.refuse(exchange, "internal");
    }
  }

  #run(exchange: Exchange, routed: RoutedRequest): void {
    const { request, arrivedAt } = exchange;
    const { route, service, requestId, path, forwarded, timeLeft, body } =
      routed;
    const { names } = this.#options;
    const deadline = arrivedAt + timeLimitMs(route, timeLeft);
    const parent = this.#options.parentRequestOf(requestId);
    if (parent !== undefined) {
      this.#options.onNestedCall({
        parentRoute: parent.route,
        route: route.name,
        service,
      });
    } else this.#lastRequestAt = arrivedAt;
    const caller = this.#identification.decide(routed, parent !== undefined);
    if (caller.error !== undefined) {
      return this.#refuseCaller(exchange, routed, caller);
    }
    const { keyDigits } = caller;
    const organisation = caller.organisation?.name;
    const priority = caller.organisation?.priority ?? route.priority;
    if (!this.#isAcceptedInStop(route, deadline, parent !== undefined)) {
      if (parent !== undefined) this.#options.onRefusedBelow(parent);
      return this.#answerWriter.refuse(exchange, "draining", {
        requestId,
        service,
        retryAfterMs: this.#stopAdmission.retryAfterMs,
        organisation,
        keyDigits,
      });
    }
    const { mayUseCredentials } = this.#options;
    const needsProof = mayUseCredentials !== undefined &&
      caller.organisation !== undefined && route.isPublic !== true;
    if (needsProof && !mayUseCredentials()) {
      return this.#answerWriter.refuse(exchange, "configuration_unproven", {
        requestId,
        service,
        retryAfterMs: UNPROVEN_RETRY_AFTER_MS * (1 + Math.random()),
        organisation,
        keyDigits,
      });
    }
    if (parent === undefined && this.#tokens.isNeeded(exchange, organisation)) {
      return this.#acquireToken(exchange, routed, { organisation, keyDigits });
    }
    let admittedShare = parent?.admittedShare;
    if (parent === undefined) {
      const timeLeftMs = statedTimeMs(timeLeft) ??
        deadline - performance.now();
      const { isAdmitted, share } = this.#chainStarts.decide(
        {
          route,
          service,
          priority,
          organisation: caller.organisation,
          timeLeftMs,
        },
        this.#identification.hasOrganisations,
      );
      if (!isAdmitted) {
        return this.#answerWriter.refuse(exchange, "downstream_pressure", {
          requestId,
          service,
          retryAfterMs: retryAfterRefusalMs(share, Math.random()),
          admittedShare: share,
          organisation,
          keyDigits,
        });
      }
      admittedShare = share < 1 ? share : undefined;
    }
    const callerRequest: CallerRequest = {
      requestId,
      route: route.name,
      method: request.method ?? "GET",
      target: path,
      headers: [
        ...forwarded,
        ...this.#identification.headers(routed, caller),
        names.callerService,
        this.#options.callerService,
      ],
      body,
      service,
      isIdempotent: route.isIdempotent,
      maxAttempts: route.maxAttempts,
      latencyTargetMs: route.latencyTargetMs ?? DEFAULT_LATENCY_TARGET_MS,
      rank: parent === undefined
        ? rankOfRoot(priority)
        : rankOfNested(parent.rank),
      isRepeat: parent?.isRepeat ?? false,
      admittedShare,
      deadline,
      organisation,
      keyDigits,
    };
    const task = new CallTask(callerRequest, {
      dataCentre: this.#options.dataCentre,
      channels: this.#options.channels,
      pressureOf: this.#options.pressureOf,
      ...(needsProof && { maySend: mayUseCredentials }),
      answerBytes: (service) => this.#meanAnswerBytes.get(service) ?? 0,
      finish: (result) => {
        if (parent !== undefined && isRefused(result)) {
          this.#options.onRefusedBelow(parent);
        }
        if (isNotRun(result)) this.#tokens.release(exchange);
        this.#answer(exchange, callerRequest, result);
      },
      ...(this.#options.observer && { observer: this.#options.observer }),
    });
    exchange.onEnd(() => {
      if (task.isDone) return;
      this.#options.observer?.onCancelled(callerRequest);
      task.cancel();
    });
    this.#tokens.markSent(exchange);
    task.start();
  }

  #refuseCaller(
    exchange: Exchange,
    { requestId, service }: RoutedHeader,
    { error, keyDigits }: RefusedCaller,
  ): void {
    this.#answerWriter.refuse(exchange, error, {
      requestId,
      service,
      keyDigits,
    });
  }

  // Behind the wait for a token all other checks are made again.
  #acquireToken(
    exchange: Exchange,
    routed: RoutedRequest,
    { organisation, keyDigits }: {
      readonly organisation: string;
      readonly keyDigits: string | undefined;
    },
  ): void {
    const { requestId, route, service, timeLeft } = routed;
    this.#tokens.acquire(exchange, {
      organisation,
      deadline: exchange.arrivedAt + timeLimitMs(route, timeLeft),
      onGranted: () => this.#guard(exchange, () => this.#run(exchange, routed)),
      onRefused: (retryAfterMs) =>
        this.#answerWriter.refuse(exchange, "organisation_limit", {
          requestId,
          service,
          retryAfterMs,
          organisation,
          keyDigits,
        }),
    });
  }

  #isAcceptedInStop(
    { name }: Route,
    deadline: number,
    isNested: boolean,
  ): boolean {
    return isNested
      ? this.#stopAdmission.acceptsFromWorker(name, deadline)
      : this.#stopAdmission.acceptsRequest(name, deadline);
  }

  #answer(
    exchange: Exchange,
    request: CallerRequest,
    result: TaskResult,
  ): void {
    if (result.kind === "answer") {
      this.#updateMeanAnswerBytes(request.service, result.body.length);
      this.#stopAdmission.recordAnswer(
        request.route,
        performance.now() - exchange.arrivedAt,
      );
      return this.#answerWriter.pass(exchange, request, result);
    }
    const { error, retryAfterMs, status, worker } = result;
    const { requestId, service, organisation, keyDigits } = request;
    this.#answerWriter.refuse(exchange, error, {
      requestId,
      service,
      worker,
      status,
      retryAfterMs,
      organisation,
      keyDigits,
    });
  }

  #updateMeanAnswerBytes(service: string, bytes: number): void {
    const mean = this.#meanAnswerBytes.get(service) ?? bytes;
    const next = mean + ANSWER_SIZE_WEIGHT * (bytes - mean);
    this.#meanAnswerBytes.set(service, next);
  }
}

// Whether the request, or a call that it led to, was refused as not run.
function isRefused(result: TaskResult): boolean {
  return result.kind === "answer"
    ? result.status >= 500 && result.isRefusedBelow
    : result.status === 503;
}

// Whether no worker has run the request.
function isNotRun(result: TaskResult): boolean {
  return result.kind === "refusal" && result.status === 503;
}
