/** What may be repeated, by the operator's word. */
export type RouteKind = "safe" | "unsafe" | "upload";

/** Share of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host whose path begins with a prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a caller waits for an answer, in milliseconds. */
  readonly timeoutMs: number | undefined;
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly latencyTargetMs: number | undefined;
  /** Greatest number of workers that one request is sent to. */
  readonly maxAttempts: number;
  /** Rank of the requests; 0 is the most important. */
  readonly priority: number;
  /** Services of the route; one entry unless the route is split. */
  readonly shares: readonly ServiceShare[];
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Facts about a service that the operator states. */
export interface ServiceFacts {
  readonly name: string;
  /** Connections that each worker accepts from all callers. */
  readonly maxConnections: number;
}

/** One version of the operator's configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceFacts[];
  readonly limits: CallerLimits;
}
