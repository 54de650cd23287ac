import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { CallTarget } from "@oleanderdeck/admission";
import type { PolicyView } from "@oleanderdeck/agreement";
import type { BackendDescription } from "./backend_behaviour.ts";
import { BackendStandIn } from "./backend_stand_in.ts";
import { OpenAdmission } from "./open_admission.ts";
import {
  type EdgeDirectory,
  StandaloneEdge,
  type StandaloneEdgeOptions,
} from "./standalone_edge.ts";

/** An edge that listens, with the admission that it asks. */
export interface StartedEdge {
  readonly node: StandaloneEdge;
  readonly admission: OpenAdmission;
  /** `http://host:port`. */
  readonly url: string;
  /** host:port. */
  readonly address: string;
}

/** Edges, backend servers and raw servers of one test on loopback addresses. */
export class EdgeFixture {
  /** Edges that know each other. */
  readonly directory: EdgeDirectory = new Map();
  readonly #policy: PolicyView;
  readonly #closers: (() => Promise<void>)[] = [];

  /** @param policy Policy of all edges. */
  constructor(policy: PolicyView) {
    this.#policy = policy;
  }

  /** Starts a backend server without a node. */
  async backend(description: BackendDescription): Promise<BackendStandIn> {
    const backend = new BackendStandIn(description);
    await backend.start();
    this.#closers.push(() => backend.close());
    return backend;
  }

  /** Starts an edge whose calls go to fixed targets. */
  async edge(
    targets: Readonly<Record<string, readonly CallTarget[]>>,
    options: Partial<StandaloneEdgeOptions> = {},
  ): Promise<StartedEdge> {
    const admission = new OpenAdmission(targets);
    const node = new StandaloneEdge(
      { policy: this.#policy, admission, ...options },
      this.directory,
    );
    const address = await node.start();
    this.#closers.push(() => node.close());
    return { node, admission, url: `http://${address}`, address };
  }

  /**
   * Starts a TCP server that handles connections by itself.
   *
   * @returns host:port.
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

  /** Stops everything, the newest first. */
  async close(): Promise<void> {
    for (const close of this.#closers.splice(0).reverse()) await close();
  }
}

/** Target for direct calls to a backend server. */
export function directTarget(address: string, nodeId = "node-1"): CallTarget {
  return { kind: "direct", nodeId, incarnation: 1n, address, fence: "1.1" };
}

/** Target for calls that are forwarded to the node beside a worker. */
export function forwardTarget(address: string, nodeId: string): CallTarget {
  return { kind: "forward", nodeId, incarnation: 1n, address, fence: "" };
}
