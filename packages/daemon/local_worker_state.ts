import type { LocalWorker } from "@oleanderdeck/leases";
import type { BackendServer } from "@oleanderdeck/calls";
import type { EventLog } from "@oleanderdeck/observability";

/** Options of {@linkcode LocalWorkerState}. */
export interface LocalWorkerStateOptions {
  /** Called after each change; undefined when no backend server is registered. */
  readonly onChange: (worker: LocalWorker | undefined) => void;
  readonly log: EventLog;
}

/**
 * State of the worker on the node's host: the registration of its backend
 * server, and whether an operator or the shutdown of the node drains it.
 */
export class LocalWorkerState {
  readonly #options: LocalWorkerStateOptions;
  #server: BackendServer | undefined;
  #drained = false;
  #stopping = false;

  /** @param options Listener for changes, and the log. */
  constructor(options: LocalWorkerStateOptions) {
    this.#options = options;
  }

  /**
   * Replaces the registration of the backend server.
   *
   * @param server The registration; undefined when it has expired.
   */
  setBackendServer(server: BackendServer | undefined): void {
    this.#server = server;
    this.#options.log.write("info", "backend_server_changed", {
      service: server?.service,
      address: server?.address,
      state: server?.state ?? "gone",
    });
    this.#notify();
  }

  /**
   * Drains the worker or returns it to service, at the request of an operator.
   *
   * @param address Address of the backend server, host:port.
   * @param drained Whether the worker is drained from now on.
   * @returns Whether the local worker has this address. If not, nothing changes.
   */
  setDrained(address: string, drained: boolean): boolean {
    if (this.#server?.address !== address) return false;
    this.#drained = drained;
    this.#options.log.write("info", "worker_drain", { address, drained });
    this.#notify();
    return true;
  }

  /** Drains the worker permanently, because the node is shutting down. */
  drainForStop(): void {
    this.#stopping = true;
    this.#notify();
  }

  #notify(): void {
    const server = this.#server;
    const state = this.#drained || this.#stopping ? "draining" : server?.state;
    this.#options.onChange(
      server && { ...server, state: state ?? "draining" },
    );
  }
}
