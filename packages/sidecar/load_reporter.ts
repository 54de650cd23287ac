import { MAX_REFUSAL_SHARE, type NestedCall } from "@oleanderdeck/calling";
import type { AdmissionShare, LoadReport } from "@oleanderdeck/hop";
import {
  ChainAdmission,
  type DownstreamLoad,
  OverloadMeter,
  PRIORITIES,
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
  /** Returns the channels to the services that the worker calls. */
  readonly channels: () => Pick<
    WorkerChannels,
    "admissionOf" | "pressureOf" | "isRepeatBudgetLow"
  >;
  /** Called when the worker begins or ends to limit chains. */
  readonly onLimitingChanged?: (admission: ChainAdmission) => void;
}

/**
 * Builds the load report of the local worker that is sent to other nodes. It
 * combines the state of the worker's gate, the admission control in front of the
 * worker, with the pressure of the services that the worker's calls reach.
 */
export class LoadReporter {
  readonly #options: LoadReporterOptions;
  readonly #overloadMeter = new OverloadMeter();
  readonly #callGraph = new CallGraph();
  readonly #chainAdmission = new ChainAdmission();
  #downstream = NO_DOWNSTREAM_LOAD;
  #updatedAt = performance.now();

  /** @param options Gate of the worker and channels to other services. */
  constructor(options: LoadReporterOptions) {
    this.#options = options;
  }

  /** Current load report. */
  get load(): LoadReport {
    return this.#options.gate.loadReport(this.#downstream);
  }

  /** Pressure (overload) of the local worker, 0 to 1. */
  get pressure(): number {
    return this.#downstream.pressure;
  }

  /** Least share of the requests of a priority that the worker admits, 0 to 1. */
  get leastAdmittedShare(): number {
    const { shares } = this.#chainAdmission;
    return Math.min(1, ...shares.map(([, share]) => share));
  }

  /** Records a call that the local worker makes. */
  recordCall(call: NestedCall): void {
    this.#callGraph.recordCall(call);
  }

  /**
   * Updates the pressure from the gate's counts since the last update, and the
   * values of the called services from their latest load reports.
   */
  update(): void {
    const { gate } = this.#options;
    const channels = this.#options.channels();
    const counts = gate.takeIntervalCounts();
    this.#updateAdmission(counts.refused);
    this.#overloadMeter.update(counts);
    const pressure = Math.round(this.#overloadMeter.pressure * 100) / 100;
    const routePressures = this.#callGraph.downstreamPressures(
      (service, route) => channels.pressureOf(service, route),
      pressure,
    );
    const routeAdmission = this.#callGraph.downstreamAdmission(
      (service, route) => admissionOf(channels, service, route),
    );
    const { shares: admission } = this.#chainAdmission;
    // With an empty list callers do not derive shares from the pressure.
    const isReported = pressure > 0 || admission.length > 0 ||
      routePressures.length > 0 || routeAdmission.length > 0;
    this.#downstream = {
      pressure,
      routePressures,
      unrepeatableRoutes: this.#callGraph.routesThatReach((service, route) =>
        channels.isRepeatBudgetLow(service, route)
      ),
      ...(isReported && { admission, routeAdmission }),
    };
  }

  #updateAdmission(refused: number): void {
    const now = performance.now();
    const lengthMs = now - this.#updatedAt;
    if (lengthMs <= 0) return;
    this.#updatedAt = now;
    const admission = this.#chainAdmission;
    const wasLimiting = admission.isLimiting;
    const counts = this.#options.gate.takeChainCounts();
    admission.update({ ...counts, lengthMs, refused });
    if (admission.isLimiting !== wasLimiting) {
      this.#options.onLimitingChanged?.(admission);
    }
  }
}

// Workers whose nodes are of an earlier release admit the same share of each
// priority.
function admissionOf(
  channels: Pick<WorkerChannels, "admissionOf" | "pressureOf">,
  service: string,
  route: string,
): readonly AdmissionShare[] {
  const shares = channels.admissionOf(service, route);
  if (shares !== undefined) return shares;
  const share = 1 - MAX_REFUSAL_SHARE * channels.pressureOf(service, route);
  return Array.from({ length: PRIORITIES }, (_, priority) => [priority, share]);
}
