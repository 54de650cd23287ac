import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type {
  CallerLimits,
  ConfigurationHolder,
  Route,
} from "@oleanderdeck/directory";
import {
  type HeaderNames,
  rankOfNested,
  rankOfRoot,
  type WorkerCall,
} from "@oleanderdeck/serving";
import { AnswerWriter, type Exchange } from "./_answer_writer.ts";
import { RequestHeaderReader, timeLimitMs } from "./_request_head.ts";
import { type CallerRequest, CallTask, type TaskResult } from "./call_task.ts";
import type {
  CallerProxyObserver,
  NestedCall,
} from "./caller_proxy_observer.ts";
import { RootShedding } from "./root_shedding.ts";
import { RouteTable } from "./route_table.ts";
import type { WorkerChannel } from "./worker_channel.ts";

/** Latency target of a route that does not state one, in milliseconds. */
const DEFAULT_LATENCY_TARGET_MS = 1_000;

/** Weight of a new answer in the mean size of a service's answers. */
const ANSWER_SIZE_WEIGHT = 0.05;

/**
 * Least pause that the caller of a shed request is told, in milliseconds: about
 * the time in which the pressure follows a change of the load.
 */
const SHED_RETRY_AFTER_MS = 300;

/** Limits before the first configuration is known. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 67_108_864,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};

/** Options of {@linkcode CallerProxy}. */
export interface CallerProxyOptions {
  readonly names: HeaderNames;
  /** Service of the worker on this host, stated to called workers. */
  readonly callerService: string;
  readonly dataCentre: string;
  readonly configuration: ConfigurationHolder;
  readonly channels: (service: string) => readonly WorkerChannel[];
  /** Overload of a service, and of those that calls of a route reach. */
  readonly pressureOf: (service: string, route: string) => number;
  /** Called for each call of the worker on this host. */
  readonly onNestedCall: (call: NestedCall) => void;
  /** Bytes of request bodies that may be held at the same time. */
  readonly maxHeldBytes: () => number;
  /** Request at the worker on this host that a call belongs to. */
  readonly parentOf: (requestId: string) => WorkerCall | undefined;
  /** Whether the configuration in force may be older than the operator's. */
  readonly mayBeOutdated: () => boolean;
  readonly observer?: CallerProxyObserver;
}

/** Takes the requests of the callers on this host. */
export class CallerProxy {
  readonly #options: CallerProxyOptions;
  readonly #server: Server;
  readonly #shedding = new RootShedding();
  readonly #answers: AnswerWriter;
  readonly #headers: RequestHeaderReader;
  #routes: RouteTable | undefined;
  #limits = INITIAL_LIMITS;
  /** Mean size of the answers of each service, in bytes. */
  readonly #answerBytes = new Map<string, number>();
  #heldBytes = 0;
  #unfinished = 0;
  #lastRequestAt = 0;
  /** Pause that new callers are told; undefined while they are served. */
  #refusedForMs: number | undefined;

  /** @param options Names, workers and the configuration. */
  constructor(options: CallerProxyOptions) {
    this.#options = options;
    this.#headers = new RequestHeaderReader(options.names);
    this.#answers = new AnswerWriter({
      requestIdField: options.names.requestId,
      observer: options.observer,
    });
    this.#server = createServer(
      { maxHeaderSize: INITIAL_LIMITS.maxHeaderBytes, noDelay: true },
      (request, response) => this.#handle(request, response),
    );
    this.#server.requestTimeout = 0;
    this.#apply();
    options.configuration.onChange(() => this.#apply());
  }

  /** Requests without a complete answer. */
  get unfinished(): number {
    return this.#unfinished;
  }

  /** Time since the last request that begins a chain, in milliseconds. */
  get sinceRootRequestMs(): number {
    return performance.now() - this.#lastRequestAt;
  }

  /** Takes connections at an address and resolves to the port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: 1024 }, () => {
        this.#server.off("error", reject);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Asks callers to open no more requests on their connections. */
  startClosing(): void {
    this.#answers.startClosing();
  }

  /**
   * Refuses requests that begin a chain from now on. Those that have begun, and
   * the calls made for them, go on.
   *
   * @param retryAfterMs Pause that callers are told, in milliseconds.
   */
  refuseNew(retryAfterMs: number): void {
    this.#refusedForMs = retryAfterMs;
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #apply(): void {
    const { current } = this.#options.configuration;
    if (current !== undefined) {
      this.#routes = new RouteTable(current);
      this.#limits = current.limits;
    }
    this.#server.headersTimeout = this.#limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = this.#limits.idleTimeoutMs;
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAt = performance.now();
    this.#unfinished++;
    response.sendDate = false;
    response.once("close", () => this.#unfinished--);
    const exchange: Exchange = { request, response, arrivedAt };
    const header = this.#headers.read(request.rawHeaders);
    const { requestId } = header;
    if (requestId === undefined) {
      return this.#answers.refuse(exchange, "malformed_request");
    }
    if (this.#routes === undefined) {
      return this.#answers.refuse(exchange, "not_ready", { requestId });
    }
    const route = this.#routes.find(header.host, request.url ?? "/");
    const service = route && this.#routes.nextService(route);
    if (route === undefined || service === undefined) {
      const error = this.#options.mayBeOutdated() ? "not_ready" : "no_route";
      return this.#answers.refuse(exchange, error, { requestId });
    }
    if (header.bodyBytes > this.#limits.maxBodyBytes) {
      return this.#answers.refuse(exchange, "too_large", {
        requestId,
        service,
      });
    }
    const { lines, timeLeft } = header;
    const head: RequestHead = { route, service, requestId, lines, timeLeft };
    if (header.hasBody) this.#readBody(exchange, head);
    else this.#run(exchange, { ...head, chunks: [] });
  }

  #readBody(exchange: Exchange, head: RequestHead): void {
    const { request, response } = exchange;
    const chunks: Buffer[] = [];
    let length = 0;
    request.on("data", (chunk: Buffer) => {
      chunks.push(chunk);
      length += chunk.length;
      this.#heldBytes += chunk.length;
      if (response.headersSent) return;
      if (length > this.#limits.maxBodyBytes) {
        chunks.length = 0;
        this.#answers.refuse(exchange, "too_large");
      } else if (this.#heldBytes > this.#options.maxHeldBytes()) {
        chunks.length = 0;
        this.#answers.refuse(exchange, "not_ready");
      }
    });
    request.once("end", () => {
      if (!response.headersSent) this.#run(exchange, { ...head, chunks });
    });
    response.once("close", () => this.#heldBytes -= length);
  }

  #run(exchange: Exchange, parts: RequestParts): void {
    const { request, response, arrivedAt } = exchange;
    const { route, service, requestId, lines, timeLeft, chunks } = parts;
    const { names } = this.#options;
    const parent = this.#options.parentOf(requestId);
    if (parent !== undefined) {
      this.#options.onNestedCall({
        parentRoute: parent.route,
        route: route.name,
        service,
      });
    } else {
      this.#lastRequestAt = arrivedAt;
      if (this.#refusedForMs !== undefined) {
        return this.#answers.refuse(exchange, "draining", {
          requestId,
          service,
          retryAfterMs: this.#refusedForMs,
        });
      }
      const pressure = this.#options.pressureOf(service, route.name);
      if (this.#isShed(route, pressure)) {
        return this.#answers.refuse(exchange, "downstream_pressure", {
          requestId,
          service,
          retryAfterMs: SHED_RETRY_AFTER_MS * (1 + Math.random()),
        });
      }
    }
    const callerRequest: CallerRequest = {
      requestId,
      route: route.name,
      method: request.method ?? "GET",
      target: request.url ?? "/",
      headers: [...lines, names.callerService, this.#options.callerService],
      body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks),
      service,
      isIdempotent: route.kind === "safe",
      maxAttempts: route.maxAttempts,
      latencyTargetMs: route.latencyTargetMs ?? DEFAULT_LATENCY_TARGET_MS,
      rank: parent === undefined
        ? rankOfRoot(route.priority)
        : rankOfNested(parent.rank),
      isRepeat: parent?.isRepeat ?? false,
      deadline: arrivedAt + timeLimitMs(route, timeLeft),
    };
    const task = new CallTask(callerRequest, {
      dataCentre: this.#options.dataCentre,
      channels: this.#options.channels,
      pressureOf: this.#options.pressureOf,
      answerBytes: (service) => this.#answerBytes.get(service) ?? 0,
      finish: (result) => this.#answer(exchange, callerRequest, result),
      ...(this.#options.observer && { observer: this.#options.observer }),
    });
    response.once("close", () => {
      if (task.isDone) return;
      this.#options.observer?.onCancelled(callerRequest);
      task.cancel();
    });
    task.start();
  }

  #isShed({ priority }: Route, pressure: number): boolean {
    this.#shedding.note(priority);
    return Math.random() < this.#shedding.share(priority, pressure);
  }

  #answer(
    exchange: Exchange,
    request: CallerRequest,
    result: TaskResult,
  ): void {
    if (result.kind === "answer") {
      this.#noteAnswer(request.service, result.body.length);
      return this.#answers.pass(exchange, request, result);
    }
    const { error, retryAfterMs, status, worker } = result;
    const { requestId, service } = request;
    this.#answers.refuse(exchange, error, {
      requestId,
      service,
      worker,
      status,
      retryAfterMs,
    });
  }

  #noteAnswer(service: string, bytes: number): void {
    const mean = this.#answerBytes.get(service) ?? bytes;
    const next = mean + ANSWER_SIZE_WEIGHT * (bytes - mean);
    this.#answerBytes.set(service, next);
  }
}

interface RequestHead {
  readonly route: Route;
  readonly service: string;
  readonly requestId: string;
  readonly lines: readonly string[];
  /** Time for which the caller waits, as it stated it. */
  readonly timeLeft: string | undefined;
}

interface RequestParts extends RequestHead {
  readonly chunks: readonly Buffer[];
}
