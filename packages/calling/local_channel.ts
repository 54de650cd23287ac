import type { LoadReport } from "@oleanderdeck/hop";
import type { CallHandle, WorkerCall, WorkerGate } from "@oleanderdeck/serving";
import { type ChannelRunOptions, WorkerChannel } from "./worker_channel.ts";

/** Options of {@linkcode LocalChannel}. */
export interface LocalChannelOptions {
  readonly node: string;
  readonly dataCentre: string;
  /** Admission control in front of the worker. */
  readonly gate: WorkerGate;
  /** Returns the load report, which is also sent to other nodes. */
  readonly load: () => LoadReport;
}

/** Channel to the worker on the same host, through its gate. */
export class LocalChannel extends WorkerChannel {
  readonly node: string;
  readonly dataCentre: string;
  readonly isReachable = true;
  readonly isOpening = false;
  readonly isUnused = false;
  lastCallAt = -Infinity;
  readonly roundTripMs = 0;
  readonly #gate: WorkerGate;
  readonly #load: () => LoadReport;

  /** @param options Node, and the gate and load of its worker. */
  constructor({ node, dataCentre, gate, load }: LocalChannelOptions) {
    super();
    this.node = node;
    this.dataCentre = dataCentre;
    this.#gate = gate;
    this.#load = load;
  }

  get load(): LoadReport {
    return this.#load();
  }

  get unfinishedCalls(): number {
    return 0;
  }

  run(call: WorkerCall, { finish }: ChannelRunOptions): CallHandle {
    this.lastCallAt = performance.now();
    return this.#gate.run(call, finish);
  }
}
