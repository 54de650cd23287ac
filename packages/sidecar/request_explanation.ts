import {
  explainRouting,
  type RoutingExplanation,
  type RoutingQuery,
} from "@oleanderdeck/calling";
import type { ConfigurationHolder } from "@oleanderdeck/directory";
import type { QuotaExchange } from "./quota_exchange.ts";
import type { StoreSync } from "./store_sync.ts";
import type { WorkerChannels } from "./worker_channels.ts";

/** Where a request would go now, and why, with the state of the node. */
export interface RequestExplanation extends RoutingExplanation {
  readonly node: string;
  /**
   * Age of the proof that the configuration is the latest, in milliseconds;
   * undefined if revocation is not bounded, infinite without a proof.
   */
  readonly proofAgeMs: number | undefined;
  /** Whether requests with keys are served. */
  readonly mayUseCredentials: boolean;
  /**
   * Tokens of the organisation's limit that this node holds; undefined without a
   * limit. Others can be granted by the broker.
   */
  readonly quotaTokens: number | undefined;
}

/** Parts of a node whose state is explained. */
export interface ExplanationSources {
  readonly node: string;
  readonly dataCentre: string;
  readonly configuration: ConfigurationHolder;
  readonly channels: WorkerChannels;
  readonly storeSync: StoreSync;
  readonly quotas: QuotaExchange;
}

/** Explains where a request would go now; sends, counts and changes nothing. */
export function explainRequestAt(
  query: RoutingQuery,
  sources: ExplanationSources,
): RequestExplanation {
  const { channels, configuration, dataCentre, node, quotas, storeSync } =
    sources;
  const routing = explainRouting(query, {
    configuration: configuration.current,
    dataCentre,
    channels: (service) => channels.ofService(service),
    admittedShare: (service, route, priority) =>
      channels.admittedShare(service, route, priority),
  });
  const { organisation } = routing;
  return {
    ...routing,
    node,
    proofAgeMs: storeSync.freshness?.ageMs,
    mayUseCredentials: storeSync.mayUseCredentials,
    quotaTokens: organisation === undefined
      ? undefined
      : quotas.tokensOf(organisation),
  };
}
