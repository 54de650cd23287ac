import type { CallServer } from "@oleanderdeck/calls";
import type { DocumentReplica } from "@oleanderdeck/configuration";
import type { Membership } from "@oleanderdeck/membership";
import type { StatsdMetrics } from "@oleanderdeck/observability";

/** Time between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 10_000;

/** Parts of a node whose state is reported. */
export interface NodeGaugesOptions {
  readonly metrics: Pick<StatsdMetrics, "gauge">;
  readonly membership: Pick<Membership, "counters">;
  readonly replica: Pick<DocumentReplica, "highestVersion">;
  readonly callServer: Pick<CallServer, "inFlight">;
}

/** Reports the state of a node as gauges at a fixed interval. */
export class NodeGauges {
  readonly #options: NodeGaugesOptions;
  #timer: NodeJS.Timeout | undefined;

  /** @param options Sources of the values, and the metrics client. */
  constructor(options: NodeGaugesOptions) {
    this.#options = options;
  }

  /** Starts the periodic reports. */
  start(): void {
    this.#timer ??= setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  /** Stops the periodic reports. */
  close(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** Reports all gauges once. */
  report(): void {
    const { callServer, membership, metrics, replica } = this.#options;
    const { drops, healthScore, liveMembers, traffic } = membership.counters();
    const dropped = Object.values(drops)
      .reduce((total: number, count: number) => total + count, 0);
    metrics.gauge("members.live", liveMembers);
    metrics.gauge("members.health_score", healthScore);
    metrics.gauge("datagrams.dropped", dropped);
    metrics.gauge("datagrams.sent_bytes", traffic.bytesSent);
    metrics.gauge("datagrams.received_bytes", traffic.bytesReceived);
    metrics.gauge("configuration.version", replica.highestVersion());
    metrics.gauge("calls.in_flight", callServer.inFlight);
  }
}
