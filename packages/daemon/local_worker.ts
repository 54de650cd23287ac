import type { LocalWorker } from "@oleanderdeck/leases";
import type { BackendServer } from "@oleanderdeck/calls";
import type { EventLog } from "@oleanderdeck/observability";

/** Options of {@linkcode LocalWorkerState}. */
export interface LocalWorkerStateOptions {
  /** Receives the worker after each change. */
  readonly apply: (worker: LocalWorker | undefined) => void;
  readonly log: EventLog;
}

/**
 * The worker beside the node: what its backend server registered, and whether
 * an operator or a stop of the node drains it.
 */
export class LocalWorkerState {
  readonly #options: LocalWorkerStateOptions;
  #server: BackendServer | undefined;
  #drained = false;
  #stopping = false;

  /** @param options Receiver of changes and log. */
  constructor(options: LocalWorkerStateOptions) {
    this.#options = options;
  }

  /** Takes a registration; undefined when it has lapsed. */
  register(server: BackendServer | undefined): void {
    this.#server = server;
    this.#options.log.write("info", "backend_server_changed", {
      service: server?.service,
      address: server?.address,
      state: server?.state ?? "gone",
    });
    this.#apply();
  }

  /**
   * Drains the worker or puts it back, as an operator asked.
   *
   * @param address Address of the backend server.
   * @returns Whether the worker at this address is the own one.
   */
  setDrained(address: string, drained: boolean): boolean {
    if (this.#server?.address !== address) return false;
    this.#drained = drained;
    this.#options.log.write("info", "worker_drain", { address, drained });
    this.#apply();
    return true;
  }

  /** Drains the worker for good, because the node stops. */
  stop(): void {
    this.#stopping = true;
    this.#apply();
  }

  #apply(): void {
    const server = this.#server;
    const state = this.#drained || this.#stopping ? "draining" : server?.state;
    this.#options.apply(
      server && { ...server, state: state ?? "draining" },
    );
  }
}
