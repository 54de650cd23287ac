import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { CallTarget } from "@oleanderdeck/admission";
import type { PolicyView } from "@oleanderdeck/agreement";
import type { BackendDescription } from "./backend_behaviour.ts";
import { BackendStandIn } from "./backend_stand_in.ts";
import { OpenAdmission } from "./open_admission.ts";
import {
  type CallServerDirectory,
  StandaloneCallServer,
  type StandaloneCallServerOptions,
} from "./standalone_call_server.ts";

/** Started call server and the admission control that it uses. */
export interface StartedCallServer {
  readonly node: StandaloneCallServer;
  readonly admission: OpenAdmission;
  /** Base URL, `http://host:port`. */
  readonly url: string;
  /** Call address as host:port. */
  readonly address: string;
}

/** Starts the call servers, backend servers and TCP servers of a test on loopback. */
export class CallServerFixture {
  /** Call servers that find each other as members. */
  readonly directory: CallServerDirectory = new Map();
  readonly #policy: PolicyView;
  readonly #closers: (() => Promise<void>)[] = [];

  /** @param policy Policy of all call servers. */
  constructor(policy: PolicyView) {
    this.#policy = policy;
  }

  /** Starts a backend stand-in. */
  async backend(description: BackendDescription): Promise<BackendStandIn> {
    const backend = new BackendStandIn(description);
    await backend.start();
    this.#closers.push(() => backend.close());
    return backend;
  }

  /**
   * Starts a call server whose admission control uses fixed targets.
   *
   * @param targets Targets by service.
   * @param options Options that differ from the defaults.
   */
  async callServer(
    targets: Readonly<Record<string, readonly CallTarget[]>>,
    options: Partial<StandaloneCallServerOptions> = {},
  ): Promise<StartedCallServer> {
    const admission = new OpenAdmission(targets);
    const node = new StandaloneCallServer(
      { policy: this.#policy, admission, ...options },
      this.directory,
    );
    const address = await node.start();
    this.#closers.push(() => node.close());
    return { node, admission, url: `http://${address}`, address };
  }

  /**
   * Starts a TCP server.
   *
   * @param onConnection Handler of each connection.
   * @returns Address as host:port.
   */
  async rawServer(onConnection: (socket: Socket) => void): Promise<string> {
    const sockets = new Set<Socket>();
    const server: Server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      onConnection(socket);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    this.#closers.push(() => {
      sockets.forEach((socket) => socket.destroy());
      return new Promise((resolve) => server.close(() => resolve()));
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Stops all servers in reverse order of their start. */
  async close(): Promise<void> {
    for (const close of this.#closers.splice(0).reverse()) await close();
  }
}

/** Creates a target that is called directly, without a node in between. */
export function directTarget(address: string, nodeId = "node-1"): CallTarget {
  return { kind: "direct", nodeId, incarnation: 1n, address, fence: "1.1" };
}

/** Creates a target whose calls are forwarded to the node beside the worker. */
export function forwardTarget(address: string, nodeId: string): CallTarget {
  return { kind: "forward", nodeId, incarnation: 1n, address, fence: "" };
}
