import { createServer, type IncomingHttpHeaders, type Server } from "node:http";
import type { Socket } from "node:net";
import { Writable } from "node:stream";
import { request } from "undici";
import type {
  Organisation,
  PlatformStore,
  Route,
} from "@oleanderdeck/directory";
import type { LoadReport } from "@oleanderdeck/hop";
import {
  EventLog,
  MetricsRegistry,
  RequestLog,
} from "@oleanderdeck/observability";
import type { HeaderNames } from "@oleanderdeck/serving";
import { drawTestPort, TEST_ADDRESS } from "./_test_ports.ts";
import { TestStore, TestStoreClient } from "./_test_store.ts";
import {
  type FleetRepeatLimitSettings,
  RequestObserver,
  type RevocationSettings,
  SidecarNode,
  type SidecarSettings,
} from "./mod.ts";

/** Load report of an idle worker. */
export const IDLE_LOAD: LoadReport = {
  running: 0,
  waiting: 0,
  slots: 1,
  holdMs: 5,
  failureShare: 0,
  pressure: 0,
  routePressures: [],
  repeatShare: 1,
  unrepeatableRoutes: [],
};

/** Header names for tests. */
export const TEST_NAMES: HeaderNames = {
  requestId: "x-request",
  timeLeftMs: "x-time-left",
  answerSignature: "x-signature",
  expectedWorker: "x-expected-worker",
  notRun: "x-not-run",
  requestsPerSecond: "x-requests-per-second",
  leaving: "x-leaving",
  callerService: "x-caller-service",
  credential: "x-credential",
  organisation: "x-organisation",
};

/** Limit of the repeats that all nodes of a test send to a service. */
export const TEST_REPEAT_LIMIT: FleetRepeatLimitSettings = {
  ratio: 0.2,
  baseRepeats: 40,
  windowMs: 10_000,
};

/** Backend server that answers after a delay and records its requests. */
export class TestWorker {
  /** Requests in the order of their arrival. */
  readonly ran: { requestId: string; method: string; body: string }[] = [];
  /** Requests without an answer whose connection is open. */
  readonly atWork = new Set<string>();
  /** Caller services named in the requests. */
  readonly callers = new Set<string>();
  /** Headers of the last request. */
  lastHeaders: IncomingHttpHeaders = {};
  /** Delay before each answer, in milliseconds. */
  holdMs = 5;
  /** Runs a request; resolves to false if its answer is to be lost. */
  run: (requestId: string) => Promise<boolean> = async () => {
    await new Promise((resolve) => setTimeout(resolve, this.holdMs));
    return true;
  };
  status = 200;
  /** Text behind each answer. */
  padding = "";
  /** Limit that the answers name; none if undefined. */
  requestsPerSecond: string | undefined;
  /** Whether the answers say that the worker is leaving. */
  isLeaving = false;
  /** Writes an answer byte by byte in place of the usual one. */
  answerRaw: ((requestId: string, socket: Socket) => void) | undefined;
  address = "";
  readonly #server: Server;

  constructor() {
    this.#server = createServer(async (incoming, response) => {
      if (this.answerRaw !== undefined) {
        const id = String(incoming.headers["x-request"]);
        return this.answerRaw(id, incoming.socket);
      }
      const chunks: Buffer[] = [];
      for await (const chunk of incoming) chunks.push(chunk as Buffer);
      const requestId = String(incoming.headers["x-request"]);
      this.lastHeaders = incoming.headers;
      this.callers.add(String(incoming.headers["x-caller-service"]));
      this.ran.push({
        requestId,
        method: incoming.method ?? "",
        body: Buffer.concat(chunks).toString(),
      });
      this.atWork.add(requestId);
      response.once("close", () => this.atWork.delete(requestId));
      if (!await this.run(requestId)) return void incoming.socket.destroy();
      response.writeHead(this.status, {
        "x-request": requestId,
        "x-signature": "s",
        ...(this.requestsPerSecond !== undefined && {
          [TEST_NAMES.requestsPerSecond]: this.requestsPerSecond,
        }),
        ...(this.isLeaving && { [TEST_NAMES.leaving]: "1" }),
      });
      response.end(`answer to ${requestId}${this.padding}`);
    });
  }

  async listen(): Promise<void> {
    const port = drawTestPort();
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, TEST_ADDRESS, resolve);
    });
    this.address = `${TEST_ADDRESS}:${port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** One host of a test. */
export interface TestHost {
  readonly name: string;
  readonly service: string;
  readonly worker: TestWorker;
  node: SidecarNode;
  /** Address of the node's ports. */
  readonly address: string;
  readonly callPort: number;
  readonly linkPort: number;
  readonly dataCentre: string;
  /** Slots in the heartbeats of the worker. */
  readonly slots: number;
  /** Number of the last heartbeat. */
  sequence: number;
  /** Start of the worker in its heartbeats, in milliseconds since 1970. */
  startedAt: number;
}

/** Answer that a caller of a test received. */
export interface TestAnswer {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: string | undefined;
}

/** Time within which the hosts of a test are started, in milliseconds. */
export const START_TIMEOUT_MS = 10_000;

/** Usual interval of heartbeats in the settings of the nodes, in milliseconds. */
const HEARTBEAT_MS = 1_000;

/** Time for a stop in the settings of the nodes, in milliseconds. */
export const GRACE_MS = 3_000;

/**
 * Time for a stop of a node that is to end as if it were killed, in milliseconds.
 * A node takes workers that started in the last second before it for heard, and
 * those of the tests start shortly before a kill.
 */
const KILL_GRACE_MS = 720;

/** Part of a host by which a node is started on it. */
type NodeParts = Omit<
  TestHost,
  "node" | "sequence" | "startedAt" | "address" | "slots"
>;

/** Options of {@linkcode TestFleet}. */
export interface TestFleetOptions {
  /** Limit of the repeats in the settings of all nodes. */
  readonly repeatLimit?: FleetRepeatLimitSettings;
  /** Bound on the use of keys in the settings of all nodes. */
  readonly revocation?: RevocationSettings;
  /** Returns the store of a node in place of the in-memory one. */
  readonly storeOf?: (node: string) => PlatformStore;
  /** Organisations in each configuration. */
  readonly organisations?: readonly Organisation[];
  /** Key that all requests present; none if omitted. */
  readonly key?: string;
  /** Whether all nodes start for the first time. */
  readonly isFirstStart?: boolean;
}

/** Hosts with nodes and workers that share an in-memory store. */
export class TestFleet {
  readonly #repeatLimit: FleetRepeatLimitSettings;
  readonly #revocation: RevocationSettings | undefined;
  readonly #storeOf: (node: string) => PlatformStore;
  readonly #options: TestFleetOptions;
  readonly store = new TestStore();
  readonly hosts = new Map<string, TestHost>();
  /** Lines that all nodes have logged. */
  readonly lines: string[] = [];
  readonly metrics = new MetricsRegistry();
  #requests: RequestLog | undefined;
  readonly #log = new EventLog({
    level: "debug",
    output: new Writable({
      write: (chunk, _encoding, done) => {
        this.lines.push(String(chunk));
        done();
      },
    }),
  });

  /** @param options Settings and store of the nodes. */
  constructor(options: TestFleetOptions = {}) {
    const { repeatLimit, revocation, storeOf } = options;
    this.#options = options;
    this.#revocation = revocation;
    this.#repeatLimit = repeatLimit ?? TEST_REPEAT_LIMIT;
    this.#storeOf = storeOf ??
      ((node) => new TestStoreClient(this.store, node));
  }

  /** Adds a host and starts its worker and its node. */
  async add(
    name: string,
    service: string,
    { dataCentre = "wa-a", slots = 4 } = {},
  ): Promise<TestHost> {
    const worker = new TestWorker();
    await worker.listen();
    this.#requests ??= await RequestLog.open({
      log: this.#log,
      metrics: this.metrics,
    });
    const [callPort, linkPort] = [drawTestPort(), drawTestPort()];
    const host: TestHost = {
      name,
      service,
      worker,
      address: TEST_ADDRESS,
      callPort,
      linkPort,
      sequence: 0,
      startedAt: 0,
      dataCentre,
      slots,
      node: this.#newNode({
        name,
        service,
        worker,
        callPort,
        linkPort,
        dataCentre,
      }),
    };
    this.hosts.set(name, host);
    await host.node.start();
    host.startedAt = Date.now();
    this.sendHeartbeat(host);
    return host;
  }

  /** Starts a new node on a host, as after a kill. */
  async restart(host: TestHost): Promise<void> {
    host.node = this.#newNode(host);
    await host.node.start();
  }

  /**
   * Ends a node soon, whatever is under way, without its planned stop taking
   * effect in the store.
   */
  async kill(host: TestHost): Promise<void> {
    this.store.unreachableNodes.add(host.name);
    const graceMs = KILL_GRACE_MS;
    host.node.applySettings({ ...this.settingsOf(host), graceMs });
    await host.node.stop();
    this.store.unreachableNodes.delete(host.name);
  }

  /**
   * Sends a heartbeat of the worker of a host to its node.
   *
   * @returns Resolves when it is answered, to whether it was taken.
   */
  sendHeartbeat(
    host: TestHost,
    state: "ready" | "draining" = "ready",
  ): Promise<boolean> {
    return host.node.handleHeartbeat({
      workerId: `${host.name}-worker`,
      service: host.service,
      address: host.worker.address,
      slots: host.slots,
      state,
      sequence: ++host.sequence,
      startedAt: host.startedAt,
    });
  }

  /**
   * Sends heartbeats of the worker of a host at the usual interval until a process
   * that has started again takes it for running.
   */
  async sendHeartbeats(host: TestHost): Promise<void> {
    await this.sendHeartbeat(host);
    await new Promise((resolve) => setTimeout(resolve, HEARTBEAT_MS));
    await this.sendHeartbeat(host);
  }

  /** Stores a configuration whose routes have the prefix `/<service>/`. */
  configure(version: number, routes: readonly Partial<Route>[]): void {
    this.store.configure({
      version,
      routes: routes.map((route) => ({
        name: "route",
        host: "test.example",
        pathPrefix: `/${route.shares?.[0]?.service}/`,
        isIdempotent: true,
        timeoutMs: 1_000,
        latencyTargetMs: 500,
        maxAttempts: 2,
        priority: 0,
        shares: [],
        ...route,
      })),
      services: [],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 5_000,
      },
      organisations: this.#options.organisations ?? [],
    });
  }

  /** Sends a request to the node of a host. */
  async call(
    host: TestHost,
    path: string,
    options: { id?: string; body?: string; timeLeftMs?: number } = {},
  ): Promise<TestAnswer> {
    const { id = `r${Math.random()}`, body, timeLeftMs = 2_000 } = options;
    const answer = await request(
      `http://${TEST_ADDRESS}:${host.callPort}${path}`,
      {
        method: body === undefined ? "GET" : "POST",
        headers: {
          host: "test.example",
          "x-request": id,
          "x-time-left": String(timeLeftMs),
          ...(this.#options.key !== undefined && {
            "x-credential": `Bearer ${this.#options.key}`,
          }),
        },
        ...(body !== undefined && { body }),
      },
    );
    return {
      status: answer.statusCode,
      body: await answer.body.text(),
      retryAfter: answer.headers["retry-after"] as string | undefined,
    };
  }

  /** Stops all nodes and workers, with access to the store restored. */
  async close(): Promise<void> {
    this.store.unreachableNodes.clear();
    await Promise.all([...this.hosts.values()].map(async (host) => {
      await host.node.stop();
      host.worker.close();
    }));
  }

  #newNode(host: NodeParts): SidecarNode {
    const { name } = host;
    return new SidecarNode({
      headerNames: TEST_NAMES,
      store: this.#storeOf(name),
      log: this.#log,
      onUnexpectedError: (error) => {
        throw error;
      },
      observer: new RequestObserver({
        log: this.#log,
        metrics: this.metrics,
        requests: this.#requests!,
      }),
      settings: this.settingsOf(host),
    });
  }

  /** Returns the settings with which the node of a host starts. */
  settingsOf(
    { name, service, worker, callPort, linkPort, dataCentre }: NodeParts,
  ): SidecarSettings {
    return {
      node: name,
      dataCentre,
      service,
      workerAddress: worker.address,
      callAddress: { host: TEST_ADDRESS, port: callPort },
      linkAddress: { host: TEST_ADDRESS, port: linkPort },
      memoryMb: 200,
      heartbeatMs: HEARTBEAT_MS,
      graceMs: GRACE_MS,
      repeatLimit: this.#repeatLimit,
      revocation: this.#revocation,
      isFirstStart: this.#options.isFirstStart ?? false,
    };
  }
}
