import { createHash } from "node:crypto";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Agent, type Dispatcher, request } from "undici";
import { OperatorService } from "@oleanderdeck/protocol";
import {
  type NodeSettings,
  nodeSettingsSchema,
  SystemClock,
} from "@oleanderdeck/settings";
import {
  MemoryStore,
  type PlatformStandIn,
  startPlatformStandIn,
} from "@oleanderdeck/store";
import {
  type BackendDescription,
  BackendStandIn,
  type LoopbackNetwork,
  reserveLoopbackNetwork,
} from "@oleanderdeck/testing";
import { Node } from "./node.ts";

const TOKEN = "operator-token";
const READY_TIMEOUT_MS = 8000;
const POLL_INTERVAL_MS = 20;

/** Credential of the test organisation. */
export const CREDENTIAL = "clubs:test-secret";

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Agreement of the test organisation; POST requests are non-idempotent. */
export const AGREEMENT = {
  organisation: "clubs",
  credentials: [{ id: "test", sha256: sha256("test-secret") }],
  requests: [
    { service: "bookings", method: "POST", path: "/", priority: "critical" },
  ],
};

/** One host of a test fleet. */
export interface TestHost {
  readonly ip: string;
  node: Node;
  readonly backend: BackendStandIn;
}

/** Response to a call, with its body as text. */
export interface TestResponse {
  readonly status: number;
  readonly headers: Dispatcher.ResponseData["headers"];
  readonly text: string;
}

/**
 * Fleet of nodes and backend stand-ins with one platform stand-in, all in this
 * process. Each host has its own loopback address.
 */
export class TestFleet {
  readonly store = new MemoryStore({ clock: new SystemClock() });
  readonly hosts: TestHost[] = [];
  #network: LoopbackNetwork | undefined;
  readonly #agent = new Agent();
  #platform: PlatformStandIn | undefined;

  /**
   * Starts the platform stand-in and one host for each description, and waits
   * until all nodes have the configuration and know all workers.
   */
  async start(backends: readonly Partial<BackendDescription>[]): Promise<void> {
    this.#network = await reserveLoopbackNetwork();
    this.#platform = await startPlatformStandIn({
      store: this.store,
      host: `${this.#network!.prefix}.0.1`,
      port: 9400,
    });
    await Promise.all(backends.map((backend) => this.addHost(backend)));
    const services = [...new Set(backends.map(({ service }) => service!))];
    await this.apply("agreement/clubs", AGREEMENT);
    let lastVersion = 0n;
    for (const service of services) {
      const { version } = await this.apply(`policy/${service}`, {
        service,
        defaultTimeoutMs: 3000,
      });
      lastVersion = version;
    }
    await this.waitUntil(async () =>
      (await Promise.all(this.hosts.map((host) => this.isReady(host))))
        .every(Boolean) &&
      this.hosts.every(({ node }) =>
        node.configurationVersion() >= lastVersion &&
        node.members().filter(({ worker }) => worker !== undefined).length ===
          this.hosts.length
      )
    );
  }

  /** Starts another host. */
  async addHost(backend: Partial<BackendDescription>): Promise<TestHost> {
    const ip = `${this.#network!.prefix}.1.${this.hosts.length + 1}`;
    const host: TestHost = {
      ip,
      node: new Node(this.#settings(ip)),
      backend: new BackendStandIn({
        listen: `${ip}:8080`,
        node: `${ip}:7100`,
        dataCentre: "wa-a",
        service: "menus",
        ...backend,
      }),
    };
    this.hosts.push(host);
    await host.node.start();
    await host.backend.start();
    return host;
  }

  /** Aborts the node of a host and starts a new one, which has none of its state. */
  async replaceNode(host: TestHost): Promise<void> {
    await host.node.abort();
    host.node = new Node(this.#settings(host.ip));
    await host.node.start();
  }

  /** Applies a document through the node of the first host. */
  async apply(name: string, value: unknown, expectedVersion = 0) {
    return (await this.operator(this.hosts[0]!).apply({
      name,
      content: JSON.stringify(value),
      expectedVersion: BigInt(expectedVersion),
      changeId: `${name.replace("/", "-")}-${expectedVersion}`,
    })).document!;
  }

  /** Creates a client of the operator service of a host's node. */
  operator(host: TestHost) {
    return createClient(
      OperatorService,
      createConnectTransport({
        baseUrl: `http://${host.ip}:7101`,
        httpVersion: "2",
        interceptors: [(next) => (call) => {
          call.header.set("authorization", `Bearer ${TOKEN}`);
          return next(call);
        }],
      }),
    );
  }

  /** Sends a call to a host's node with the test organisation's credential. */
  async call(
    host: TestHost,
    path: string,
    options: {
      readonly method?: Dispatcher.HttpMethod;
      readonly headers?: Readonly<Record<string, string>>;
      readonly body?: string;
    } = {},
  ): Promise<TestResponse> {
    const response = await request(`http://${host.ip}:7100${path}`, {
      method: options.method ?? "GET",
      headers: { "oleanderdeck-credential": CREDENTIAL, ...options.headers },
      body: options.body ?? null,
      dispatcher: this.#agent,
    });
    return {
      status: response.statusCode,
      headers: response.headers,
      text: await response.body.text(),
    };
  }

  /** Fetches a permit from a host's node. */
  async fetchPermit(host: TestHost): Promise<string> {
    const response = await this.call(host, "/oleanderdeck/v1/permits", {
      method: "POST",
    });
    return (JSON.parse(response.text) as { permit: string }).permit;
  }

  /** Returns whether a host's node accepts calls. */
  async isReady(host: TestHost): Promise<boolean> {
    return (await this.call(host, "/oleanderdeck/v1/health")).status === 200;
  }

  /**
   * Waits until a condition holds.
   *
   * @throws {Error} If it does not hold within `timeoutMs`.
   */
  async waitUntil(
    condition: () => boolean | Promise<boolean>,
    timeoutMs = READY_TIMEOUT_MS,
  ): Promise<void> {
    const end = performance.now() + timeoutMs;
    while (performance.now() < end) {
      if (await condition()) return;
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    throw new Error(`The condition did not hold within ${timeoutMs} ms`);
  }

  /** Stops all hosts and the platform stand-in without a graceful shutdown. */
  async close(): Promise<void> {
    await Promise.all(this.hosts.map(({ backend }) => backend.close()));
    await Promise.all(this.hosts.map(({ node }) => node.abort()));
    await this.#platform?.close();
    await this.#agent.destroy();
    await this.#network?.close();
  }

  #settings(ip: string): NodeSettings {
    return nodeSettingsSchema.parse({
      callAddress: `${ip}:7100`,
      controlAddress: `${ip}:7101`,
      peerAddress: `${ip}:7102`,
      dataCentre: "wa-a",
      region: "wa",
      peerKeys: ["0123456789abcdef"],
      seeds: [`${this.#network!.prefix}.1.1:7102`],
      storeUrl: this.#platform!.origin,
      operatorTokens: [
        { name: "test", role: "operator", sha256: sha256(TOKEN) },
      ],
      logLevel: "error",
    });
  }
}
