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
const CHECK_MS = 20;

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

/** Answer to a call with its body read. */
export interface TestAnswer {
  readonly status: number;
  readonly headers: Dispatcher.ResponseData["headers"];
  readonly text: string;
}

/**
 * Nodes with backend stand-ins and a platform stand-in in one process, each
 * host on a loopback address of its own.
 */
export class TestFleet {
  readonly store = new MemoryStore({ clock: new SystemClock() });
  readonly hosts: TestHost[] = [];
  #reserved: LoopbackNetwork | undefined;
  readonly #agent = new Agent();
  #platform: PlatformStandIn | undefined;

  /** Starts the platform stand-in and one host for each description. */
  async start(backends: readonly Partial<BackendDescription>[]): Promise<void> {
    this.#reserved = await reserveLoopbackNetwork();
    this.#platform = await startPlatformStandIn({
      store: this.store,
      host: `${this.#reserved!.prefix}.0.1`,
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
    const ip = `${this.#reserved!.prefix}.1.${this.hosts.length + 1}`;
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

  /** Replaces the node of a host by a new process without its memory. */
  async replaceNode(host: TestHost): Promise<void> {
    await host.node.abandon();
    host.node = new Node(this.#settings(host.ip));
    await host.node.start();
  }

  /** Stores a document through the first host's node. */
  async apply(name: string, value: unknown, expectedVersion = 0) {
    return (await this.operator(this.hosts[0]!).apply({
      name,
      content: JSON.stringify(value),
      expectedVersion: BigInt(expectedVersion),
      changeId: `${name.replace("/", "-")}-${expectedVersion}`,
    })).document!;
  }

  /** Client of the operator service of a host's node. */
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

  /** Makes a call at a host's node as the test organisation. */
  async call(
    host: TestHost,
    path: string,
    options: {
      readonly method?: Dispatcher.HttpMethod;
      readonly headers?: Readonly<Record<string, string>>;
      readonly body?: string;
    } = {},
  ): Promise<TestAnswer> {
    const answer = await request(`http://${host.ip}:7100${path}`, {
      method: options.method ?? "GET",
      headers: { "oleanderdeck-credential": CREDENTIAL, ...options.headers },
      body: options.body ?? null,
      dispatcher: this.#agent,
    });
    return {
      status: answer.statusCode,
      headers: answer.headers,
      text: await answer.body.text(),
    };
  }

  /** Fetches a permit from a host's node. */
  async permit(host: TestHost): Promise<string> {
    const answer = await this.call(host, "/oleanderdeck/v1/permits", {
      method: "POST",
    });
    return (JSON.parse(answer.text) as { permit: string }).permit;
  }

  /** Whether a host's node takes calls. */
  async isReady(host: TestHost): Promise<boolean> {
    return (await this.call(host, "/oleanderdeck/v1/health")).status === 200;
  }

  /**
   * Waits until a condition holds.
   *
   * @throws {Error} If it does not hold in time.
   */
  async waitUntil(
    condition: () => boolean | Promise<boolean>,
    timeoutMs = READY_TIMEOUT_MS,
  ): Promise<void> {
    const end = performance.now() + timeoutMs;
    while (performance.now() < end) {
      if (await condition()) return;
      await new Promise((resolve) => setTimeout(resolve, CHECK_MS));
    }
    throw new Error(`The condition did not hold within ${timeoutMs} ms`);
  }

  /** Ends everything at once. */
  async close(): Promise<void> {
    await Promise.all(this.hosts.map(({ backend }) => backend.close()));
    await Promise.all(this.hosts.map(({ node }) => node.abandon()));
    await this.#platform?.close();
    await this.#agent.destroy();
    await this.#reserved?.close();
  }

  #settings(ip: string): NodeSettings {
    return nodeSettingsSchema.parse({
      callAddress: `${ip}:7100`,
      controlAddress: `${ip}:7101`,
      peerAddress: `${ip}:7102`,
      dataCentre: "wa-a",
      region: "wa",
      peerKeys: ["0123456789abcdef"],
      seeds: [`${this.#reserved!.prefix}.1.1:7102`],
      storeUrl: this.#platform!.origin,
      operatorTokens: [
        { name: "test", role: "operator", sha256: sha256(TOKEN) },
      ],
      logLevel: "error",
    });
  }
}
