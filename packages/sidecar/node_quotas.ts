import type {
  ConfigurationHolder,
  WorkerDirectory,
} from "@oleanderdeck/directory";
import type { Frame, QuotaRequestFrame } from "@oleanderdeck/hop";
import { HostShare } from "@oleanderdeck/leases";
import type { EventLog, MetricsRegistry } from "@oleanderdeck/observability";
import type { FrameSink } from "./peer_state_sync.ts";
import { QuotaExchange, type QuotaRefusals } from "./quota_exchange.ts";
import { PROPAGATION_MS } from "./record_sync.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";

/** Least time over which the tokens a second are averaged, in milliseconds. */
const RATE_MS = 1_000;

/** Options of {@linkcode NodeQuotas}. */
export interface NodeQuotasOptions {
  readonly settings: SidecarSettings;
  readonly directory: WorkerDirectory;
  readonly configuration: ConfigurationHolder;
  /** Whether the records of the store were listed since the start. */
  readonly hasListedRecords: () => boolean;
  /** Returns the names of the elected nodes, in their order. */
  readonly elected: () => readonly string[];
  /** Sends a frame to a node if its link is open. */
  readonly send: (node: string, frame: QuotaRequestFrame) => void;
  readonly log: EventLog;
  readonly metrics?: MetricsRegistry;
}

/** Connects the quotas of organisations to the parts of a node. */
export class NodeQuotas {
  readonly exchange: QuotaExchange;
  readonly #options: NodeQuotasOptions;
  readonly #hostShare: HostShare;

  /** @param options Parts of the node. */
  constructor(options: NodeQuotasOptions) {
    this.#options = options;
    const { configuration, directory, elected, send, settings } = options;
    this.#hostShare = new HostShare({
      isFirstStart: settings.isFirstStart ?? false,
      propagationMs: PROPAGATION_MS,
    });
    this.exchange = new QuotaExchange({
      node: settings.node,
      elected,
      send,
      hostShare: this.#hostShare,
      now: () => performance.now(),
      wallNow: () => Date.now(),
      schedule: (callback, delayMs) => {
        const timer = setTimeout(callback, delayMs).unref();
        return () => clearTimeout(timer);
      },
      random: Math.random,
      onRefused: (refusals) => this.#logRefusals(refusals),
    });
    if (configuration.current !== undefined) {
      this.exchange.applyConfiguration(configuration.current);
    }
    configuration.onChange((current) =>
      this.exchange.applyConfiguration(current)
    );
    this.#observeFirstRecords(directory);
    if (options.metrics !== undefined) this.#addGauges(options.metrics);
  }

  /** Records the hosts and the elected nodes; called several times a second. */
  update(): void {
    const { directory, settings } = this.#options;
    const isKnown = directory.get(settings.node) !== undefined;
    this.exchange.update(directory.size, isKnown);
  }

  /** Handles a frame of another node, if it is one of quotas. */
  receive(frame: Frame, peer: FrameSink): void {
    switch (frame.kind) {
      case "hello":
        return this.exchange.identify(peer, frame.node);
      case "quota_request":
        return this.exchange.receiveRequest(frame, peer);
      case "quota_grant":
        return this.exchange.receiveGrant(frame, nodeOf(peer));
    }
  }

  /** Ends the timers and refuses the requests that wait. */
  close(): void {
    this.exchange.close();
  }

  // A record of this host that comes with the first ones is of an earlier
  // process; one that comes later was written by this one. If the listing had
  // none, the first change comes behind it.
  #observeFirstRecords(directory: WorkerDirectory): void {
    let isFirst = true;
    directory.onChange(() => {
      if (!isFirst) return;
      isFirst = false;
      if (this.#options.hasListedRecords()) this.#hostShare.recordNoRecords();
      queueMicrotask(() => this.update());
    });
  }

  #logRefusals(
    { isAlone, organisation, refused, retryAfterMs }: QuotaRefusals,
  ): void {
    this.#options.log.write("info", "quota_refused", {
      organisation,
      refused,
      retry_after_ms: Math.round(retryAfterMs),
      without_broker: isAlone,
    });
  }

  #addGauges(metrics: MetricsRegistry): void {
    const { broker } = this.exchange;
    metrics.gauge("quota_tokens_held", () => this.exchange.tokens);
    metrics.gauge("quota_tokens_pooled", () => broker.tokens);
    metrics.gauge(
      "quota_tokens_granted_per_second",
      rateOf(() => broker.grantedTokens),
    );
    metrics.gauge(
      "quota_tokens_deposited_per_second",
      rateOf(() => broker.depositedTokens),
    );
    metrics.gauge(
      "quota_organisations_short",
      () => this.exchange.shortOrganisations,
    );
    metrics.gauge(
      "quota_share",
      () => this.exchange.accrual,
    );
  }
}

// Grants come on links that this node has opened, which name their peer.
function nodeOf(peer: FrameSink): string {
  return "node" in peer && typeof peer.node === "string" ? peer.node : "";
}

// Returns a gauge of the growth of a number since it was last read.
function rateOf(total: () => number): () => number {
  let last = { at: performance.now(), total: total() };
  let perSecond = 0;
  return () => {
    const at = performance.now();
    if (at - last.at < RATE_MS) return perSecond;
    perSecond = (total() - last.total) * 1_000 / (at - last.at);
    last = { at, total: total() };
    return perSecond;
  };
}
