import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Writable } from "node:stream";
import { request } from "undici";
import {
  type Configuration,
  type OwnRecord,
  PlatformRecords,
  type RecordChanges,
  type RecordListing,
  type Route,
  type StoredConfiguration,
  type WorkerRecord,
} from "@oleanderdeck/directory";
import { DeckError } from "@oleanderdeck/errors";
import { EventLog, MetricsPage, RequestLog } from "@oleanderdeck/observability";
import type { HeaderNames } from "@oleanderdeck/serving";
import { RequestObserver, SidecarNode } from "./mod.ts";

/** Header names for tests. */
export const TEST_NAMES: HeaderNames = {
  requestId: "x-request",
  timeLeftMs: "x-time-left",
  answerSignature: "x-signature",
  expectedWorker: "x-expected-worker",
  notRun: "x-not-run",
  callerService: "x-caller-service",
};

interface Entry {
  readonly record: WorkerRecord | undefined;
  readonly revision: number;
}

/** Store in memory that all nodes of a test share. */
export class TestStore {
  /** Nodes that get no answer; `all` stands for every node. */
  readonly cutOff = new Set<string>();
  revision = 1;
  writes = 0;
  readonly entries = new Map<string, Entry>();
  configuration: Configuration | undefined;
  configurationRevision = 0;
  #waiting = new Set<() => void>();

  /** Wakes all watches after a change. */
  changed(): number {
    this.revision++;
    const waiting = this.#waiting;
    this.#waiting = new Set();
    waiting.forEach((wake) => wake());
    return this.revision;
  }

  /** Puts a configuration. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    this.configurationRevision = this.changed();
  }

  /** Resolves at the next change or after a time. */
  wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds).unref();
      this.#waiting.add(finish);
    });
  }
}

/** One node's way to the store in memory. */
class TestRecords extends PlatformRecords {
  readonly #store: TestStore;
  readonly #node: string;

  constructor(store: TestStore, node: string) {
    super();
    this.#store = store;
    this.#node = node;
  }

  async listRecords(): Promise<RecordListing> {
    await this.#reach();
    const { entries, revision } = this.#store;
    return {
      records: [...entries.values()].flatMap(({ record, revision }) =>
        record === undefined ? [] : [{ record, revision }]
      ),
      revision,
    };
  }

  async watchRecords(
    revision: number,
    waitMs: number,
  ): Promise<RecordChanges> {
    await this.#reach();
    const changes = () =>
      [...this.#store.entries].filter(([, entry]) => entry.revision > revision);
    if (changes().length === 0) await this.#store.wait(waitMs);
    await this.#reach();
    return {
      isHistoryGone: false,
      changes: changes().map(([node, entry]) => ({ node, ...entry })),
      revision: this.#store.revision,
    };
  }

  async readRecord(node: string): Promise<OwnRecord> {
    await this.#reach();
    const entry = this.#store.entries.get(node);
    return entry?.record === undefined
      ? { record: undefined, revision: 0 }
      : entry;
  }

  async writeRecord(
    record: WorkerRecord,
    revision: number,
  ): Promise<number | undefined> {
    await this.#reach();
    const entry = this.#store.entries.get(record.node);
    const held = entry?.record === undefined ? 0 : entry.revision;
    if (held !== revision) return undefined;
    this.#store.writes++;
    const written = this.#store.revision + 1;
    this.#store.entries.set(record.node, { record, revision: written });
    return this.#store.changed();
  }

  async deleteRecord(node: string, revision: number): Promise<void> {
    await this.#reach();
    if (this.#store.entries.get(node)?.revision !== revision) return;
    const deleted = this.#store.revision + 1;
    this.#store.entries.set(node, { record: undefined, revision: deleted });
    this.#store.changed();
  }

  async readConfiguration(): Promise<StoredConfiguration> {
    await this.#reach();
    const { configuration, revision } = this.#store;
    return { configuration, revision };
  }

  async watchConfiguration(
    revision: number,
    waitMs: number,
  ): Promise<StoredConfiguration> {
    await this.#reach();
    if (this.#store.configurationRevision <= revision) {
      await this.#store.wait(waitMs);
      await this.#reach();
    }
    return {
      configuration: this.#store.configurationRevision > revision
        ? this.#store.configuration
        : undefined,
      revision: this.#store.revision,
    };
  }

  #reach(): Promise<void> {
    const { cutOff } = this.#store;
    return cutOff.has("all") || cutOff.has(this.#node)
      ? Promise.reject(new DeckError("store_unavailable"))
      : Promise.resolve();
  }
}

/** Backend server that answers after a time and records what it ran. */
export class TestWorker {
  readonly ran: { requestId: string; method: string; body: string }[] = [];
  readonly callers = new Set<string>();
  holdMs = 5;
  status = 200;
  address = "";
  readonly #server: Server;

  constructor() {
    this.#server = createServer(async (incoming, response) => {
      const chunks: Buffer[] = [];
      for await (const chunk of incoming) chunks.push(chunk as Buffer);
      const requestId = String(incoming.headers["x-request"]);
      this.callers.add(String(incoming.headers["x-caller-service"]));
      this.ran.push({
        requestId,
        method: incoming.method ?? "",
        body: Buffer.concat(chunks).toString(),
      });
      await new Promise((resolve) => setTimeout(resolve, this.holdMs));
      response.writeHead(this.status, {
        "x-request": requestId,
        "x-signature": "s",
      });
      response.end(`answer to ${requestId}`);
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
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
  readonly callPort: number;
  readonly linkPort: number;
  sequence: number;
}

/** Answer that a caller of a test got. */
export interface TestAnswer {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: string | undefined;
}

/** Hosts with nodes and workers that share a store in memory. */
export class TestFleet {
  readonly store = new TestStore();
  readonly hosts = new Map<string, TestHost>();
  readonly lines: string[] = [];
  readonly metrics = new MetricsPage();
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

  /** Adds a host and starts its worker and its node. */
  async add(name: string, service: string): Promise<TestHost> {
    const worker = new TestWorker();
    await worker.listen();
    this.#requests ??= await RequestLog.open({
      log: this.#log,
      metrics: this.metrics,
    });
    const [callPort, linkPort] = [await freePort(), await freePort()];
    const host: TestHost = {
      name,
      service,
      worker,
      callPort,
      linkPort,
      sequence: 0,
      node: this.#newNode({ name, service, worker, callPort, linkPort }),
    };
    this.hosts.set(name, host);
    await host.node.start();
    this.state(host);
    return host;
  }

  /** Starts the node of a host anew, as after a kill. */
  async restart(host: TestHost): Promise<void> {
    host.node = this.#newNode(host);
    await host.node.start();
  }

  /** The worker of a host states its presence. */
  state(host: TestHost, state: "ready" | "draining" = "ready"): void {
    host.node.takeStatement({
      workerId: `${host.name}-worker`,
      service: host.service,
      address: host.worker.address,
      slots: 4,
      state,
      sequence: ++host.sequence,
      coldRemainingMs: 0,
      startedAt: 1,
    });
  }

  /** Puts a configuration with routes `/<service>/`. */
  configure(version: number, routes: readonly Partial<Route>[]): void {
    this.store.configure({
      version,
      routes: routes.map((route) => ({
        name: "route",
        host: "test.example",
        pathPrefix: `/${route.shares?.[0]?.service}/`,
        kind: "safe",
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
    });
  }

  /** Sends a request to the node of a host. */
  async call(
    host: TestHost,
    path: string,
    options: { id?: string; body?: string; timeLeftMs?: number } = {},
  ): Promise<TestAnswer> {
    const { id = `r${Math.random()}`, body, timeLeftMs = 2_000 } = options;
    const answer = await request(`http://127.0.0.1:${host.callPort}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: {
        host: "test.example",
        "x-request": id,
        "x-time-left": String(timeLeftMs),
      },
      ...(body !== undefined && { body }),
    });
    return {
      status: answer.statusCode,
      body: await answer.body.text(),
      retryAfter: answer.headers["retry-after"] as string | undefined,
    };
  }

  /** Ends all nodes and workers at once. */
  async close(): Promise<void> {
    this.store.cutOff.clear();
    await Promise.all([...this.hosts.values()].map(async (host) => {
      await host.node.stop();
      host.worker.close();
    }));
  }

  #newNode(
    { name, service, worker, callPort, linkPort }: Omit<
      TestHost,
      "node" | "sequence"
    >,
  ): SidecarNode {
    return new SidecarNode({
      names: TEST_NAMES,
      records: new TestRecords(this.store, name),
      log: this.#log,
      observer: new RequestObserver({
        metrics: this.metrics,
        requests: this.#requests!,
      }),
      settings: {
        node: name,
        dataCentre: "wa-a",
        service,
        workerAddress: worker.address,
        callAddress: { host: "127.0.0.1", port: callPort },
        linkAddress: { host: "127.0.0.1", port: linkPort },
        memoryMb: 200,
        heartbeatMs: 1_000,
        graceMs: 3_000,
        retries: { ratio: 0.2, constant: 40, windowMs: 10_000 },
      },
    });
  }
}

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
