import type { NestedCall } from "@oleanderdeck/calling";
import type { LoadReport } from "@oleanderdeck/hop";
import {
  type DownstreamLoad,
  OverloadMeter,
  type WorkerGate,
} from "@oleanderdeck/serving";
import { CallGraph } from "./call_graph.ts";
import type { WorkerChannels } from "./worker_channels.ts";

const NO_DOWNSTREAM_LOAD: DownstreamLoad = {
  pressure: 0,
  routePressures: [],
  unrepeatableRoutes: [],
};

/** Options of {@linkcode LoadReporter}. */
export interface LoadReporterOptions {
  readonly gate: WorkerGate;
  /** Ways to the services that the worker calls. */
  readonly channels: () => WorkerChannels;
}

/**
 * Load of the own worker as other nodes are told it: that of its gate, and that
 * of the services which its calls reach.
 */
export class LoadReporter {
  readonly #options: LoadReporterOptions;
  readonly #overloadMeter = new OverloadMeter();
  readonly #callGraph = new CallGraph();
  #downstream = NO_DOWNSTREAM_LOAD;

  /** @param options Gate of the worker and ways to other services. */
  constructor(options: LoadReporterOptions) {
    this.#options = options;
  }

  /** Present load. */
  get load(): LoadReport {
    return this.#options.gate.loadReport(this.#downstream);
  }

  /** Overload of the own worker, 0 to 1. */
  get pressure(): number {
    return this.#downstream.pressure;
  }

  /** Notes a call of the worker. */
  recordCall(call: NestedCall): void {
    this.#callGraph.recordCall(call);
  }

  /** Takes the counts since the last call, and what other services report. */
  update(): void {
    const { gate } = this.#options;
    const channels = this.#options.channels();
    this.#overloadMeter.update(gate.takeInterval());
    const pressure = Math.round(this.#overloadMeter.pressure * 100) / 100;
    this.#downstream = {
      pressure,
      routePressures: this.#callGraph.downstreamPressures(
        (service, route) => channels.pressureOf(service, route),
        pressure,
      ),
      unrepeatableRoutes: this.#callGraph.routesThatReach((service, route) =>
        channels.isRepeatBudgetLow(service, route)
      ),
    };
  }
}
