import type {
  Configuration,
  Organisation,
  Route,
} from "@oleanderdeck/directory";
import { RouteTable } from "./route_table.ts";
import type { WorkerChannel } from "./worker_channel.ts";
import { describeCandidates, type WorkerCandidate } from "./worker_choice.ts";

/** Path of the explanations on the port of a node's metrics. */
export const EXPLANATION_PATH = "/oleanderdeck/explain-routing";

/** Least number of digits of a key's hash that name an organisation. */
const MIN_FINGERPRINT_DIGITS = 8;

/** Request whose way is explained. */
export interface RoutingQuery {
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  /**
   * Organisation of the caller: its name, or the first digits of the hash of one
   * of its keys; undefined for a caller without a key.
   */
  readonly organisation: string | undefined;
}

/** Service that a request may go to. */
export interface ServiceExplanation {
  readonly service: string;
  /** Share of the route's requests that the service gets, 0 to 1. */
  readonly share: number;
  /**
   * Share of the requests of this priority that are admitted at present, before it
   * is divided among organisations, 0 to 1.
   */
  readonly admittedShare: number;
  /** Workers that this node calls, the next choice first. */
  readonly workers: readonly WorkerCandidate[];
}

/** Where a request would go now, and why. */
export interface RoutingExplanation {
  /** Version of the configuration in force; 0 if there is none. */
  readonly configurationVersion: number;
  /** Name of the route; undefined if none matches. */
  readonly route: string | undefined;
  /** Name of the caller's organisation; undefined if it has none. */
  readonly organisation: string | undefined;
  /** Whether the caller would be refused for want of a known key. */
  readonly isKeyMissing: boolean;
  /** Priority that counts; 0 is the most important. */
  readonly priority: number | undefined;
  readonly services: readonly ServiceExplanation[];
}

/** Parts of a node that decide about requests. */
export interface RoutingSources {
  readonly configuration: Configuration | undefined;
  readonly dataCentre: string;
  readonly channels: (service: string) => readonly WorkerChannel[];
  /**
   * Returns the share of the requests of a priority that are admitted, 0 to 1;
   * undefined if it is not limited.
   */
  readonly admittedShare: (
    service: string,
    route: string,
    priority: number,
  ) => number | undefined;
}

/**
 * Explains where a request would go now, and why, by the decisions that requests
 * take, without sending or counting anything.
 */
export function explainRouting(
  { host, path, organisation: wanted }: RoutingQuery,
  sources: RoutingSources,
): RoutingExplanation {
  const { configuration } = sources;
  const route = configuration && new RouteTable(configuration).find(host, path);
  const organisations = configuration?.organisations ?? [];
  const organisation = wanted === undefined
    ? undefined
    : organisations.find((known) => isMeant(known, wanted));
  const priority = route && (organisation?.priority ?? route.priority);
  return {
    configurationVersion: configuration?.version ?? 0,
    route: route?.name,
    organisation: organisation?.name,
    isKeyMissing: organisations.length > 0 && organisation === undefined &&
      route?.isPublic !== true,
    priority,
    services: route === undefined || priority === undefined
      ? []
      : explainServices(route, priority, sources),
  };
}

function explainServices(
  { name, shares }: Route,
  priority: number,
  { admittedShare, channels, dataCentre }: RoutingSources,
): readonly ServiceExplanation[] {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  return shares.map(({ service, weight }) => ({
    service,
    share: total > 0 ? weight / total : 0,
    admittedShare: admittedShare(service, name, priority) ?? 1,
    workers: describeCandidates(channels(service), {
      dataCentre,
      excluded: new Set(),
      bytes: 0,
    }),
  }));
}

function isMeant({ keyHashes, name }: Organisation, wanted: string): boolean {
  return name === wanted ||
    wanted.length >= MIN_FINGERPRINT_DIGITS &&
      keyHashes.some((hash) => hash.startsWith(wanted.toLowerCase()));
}
