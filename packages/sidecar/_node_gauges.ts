import type { ConfigurationHolder } from "@oleanderdeck/directory";
import type { MetricsRegistry } from "@oleanderdeck/observability";
import type { RepeatBudget } from "@oleanderdeck/retries";
import type { LoadReporter } from "./load_reporter.ts";
import type { StoreSync } from "./store_sync.ts";

/** Parts of a node whose state is served as gauges. */
export interface NodeGaugeSources {
  readonly reporter: LoadReporter;
  readonly repeats: RepeatBudget;
  readonly storeSync: StoreSync;
  readonly configuration: ConfigurationHolder;
}

/** Adds the gauges of a node to a registry. */
export function addNodeGauges(
  metrics: MetricsRegistry,
  { reporter, repeats, storeSync, configuration }: NodeGaugeSources,
): void {
  metrics.gauge("calls_running", () => reporter.load.running);
  metrics.gauge("calls_waiting", () => reporter.load.waiting);
  metrics.gauge("slots", () => reporter.load.slots);
  metrics.gauge("pace", () => reporter.load.pace ?? 1);
  metrics.gauge("pressure", () => reporter.pressure);
  metrics.gauge("admitted_share_least", () => reporter.leastAdmittedShare);
  metrics.gauge("repeats_left", () => repeats.remaining);
  metrics.gauge("store_silent_ms", () => storeSync.availability.silentMs);
  metrics.gauge("store_era", () => storeSync.era);
  metrics.gauge(
    "follows_store",
    () => storeSync.configuration.isFollowing ? 1 : 0,
  );
  const { freshness } = storeSync;
  if (freshness !== undefined) {
    metrics.gauge("configuration_proof_age_ms", () => freshness.ageMs);
  }
  metrics.gauge("configuration_version", () => configuration.version);
  metrics.gauge(
    "worker_limit",
    () => reporter.load.statement?.requestsPerSecond ?? Infinity,
  );
}
