/** Share of a route's requests that is sent to one service. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Route of the requests to one host whose path begins with a prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /**
   * Whether a request may be sent to a second worker when the first may have
   * run it.
   */
  readonly isIdempotent: boolean;
  /**
   * Longest time that a caller waits for a response, in milliseconds; undefined
   * if the route sets none.
   */
  readonly timeoutMs: number | undefined;
  /**
   * Latency up to which a response has its full value to the caller, in
   * milliseconds; undefined if the route sets none.
   */
  readonly latencyTargetMs: number | undefined;
  /** Maximum number of workers that one request is sent to. */
  readonly maxAttempts: number;
  /** Priority of the requests; 0 is the most important. */
  readonly priority: number;
  /**
   * Services that receive the requests of the route; a single one unless the
   * requests are split between services.
   */
  readonly shares: readonly ServiceShare[];
  /**
   * Whether requests need no credential although there are organisations; absent
   * in the configurations of earlier releases.
   */
  readonly isPublic?: boolean;
}

/** Organisation whose callers present a credential. */
export interface Organisation {
  readonly name: string;
  /** SHA-256 of each of its keys, in hexadecimal. */
  readonly keyHashes: readonly string[];
  /** Priority that replaces the one of the route; undefined if it has none. */
  readonly priority: number | undefined;
  /** Requests a second over all hosts; 0 if there is no limit. */
  readonly ratePerSecond: number;
  /** Requests that may come at once beyond the rate. */
  readonly burst: number;
}

/**
 * Limits on the requests of callers: sizes in bytes and time-outs in
 * milliseconds.
 */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Properties of a service that the operator declares. */
export interface ServiceFacts {
  readonly name: string;
  /**
   * Maximum number of connections that each worker accepts from all callers.
   */
  readonly maxConnections: number;
}

/**
 * Returns whether a decoded value has the fields of a configuration that are
 * used to route a request. A peer may run another release.
 */
export function isConfiguration(value: unknown): value is Configuration {
  if (!isObject(value)) return false;
  const { version, routes, services, limits } = value as Partial<Configuration>;
  const { organisations = [], needsCredentials = false } = value as Partial<
    Configuration
  >;
  return Number.isFinite(version) && Array.isArray(services) &&
    isObject(limits) && Object.values(limits).every(Number.isFinite) &&
    Array.isArray(routes) && routes.every(isRoute) &&
    Array.isArray(organisations) && organisations.every(isOrganisation) &&
    typeof needsCredentials === "boolean";
}

/**
 * Longest name of an organisation, in UTF-16 code units. Workers limit the size
 * of the headers that it is part of.
 */
const MAX_NAME_LENGTH = 256;

/**
 * Returns whether a value can be the name of an organisation. It is sent in a
 * header, so it has no control characters and no space at its ends.
 */
export function isOrganisationName(value: unknown): value is string {
  return typeof value === "string" && value !== "" &&
    value.length <= MAX_NAME_LENGTH && value === value.trim() &&
    !/\p{Cc}/u.test(value);
}

/**
 * Returns whether a value can be the priority of an organisation. Ranks derive
 * from it, and a node ends the link on which it receives a fractional one.
 */
export function isOrganisationPriority(value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0;
}

function isOrganisation(value: unknown): value is Organisation {
  if (!isObject(value)) return false;
  const { name, keyHashes } = value as Partial<Organisation>;
  const { priority = 0, ratePerSecond, burst } = value as Partial<Organisation>;
  return isOrganisationName(name) &&
    Array.isArray(keyHashes) &&
    keyHashes.every((hash) => typeof hash === "string") &&
    isOrganisationPriority(priority) &&
    [ratePerSecond, burst].every((limit) =>
      Number.isFinite(limit) && limit! >= 0
    );
}

function isRoute(value: unknown): value is Route {
  if (!isObject(value)) return false;
  const { name, host, pathPrefix, shares } = value as Partial<Route>;
  const { isIdempotent, maxAttempts, priority } = value as Partial<Route>;
  const { isPublic = false } = value as Partial<Route>;
  return [name, host, pathPrefix].every((text) => typeof text === "string") &&
    typeof isIdempotent === "boolean" && typeof isPublic === "boolean" &&
    [maxAttempts, priority].every(Number.isFinite) &&
    Array.isArray(shares) && shares.every(isServiceShare);
}

function isServiceShare(value: unknown): value is ServiceShare {
  if (!isObject(value)) return false;
  const { service, weight } = value as Partial<ServiceShare>;
  return typeof service === "string" && Number.isFinite(weight);
}

function isObject(value: unknown): value is object {
  return typeof value === "object" && value !== null;
}

/** One version of the operator's configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceFacts[];
  readonly limits: CallerLimits;
  /**
   * Organisations whose callers need a credential; empty, or absent in the
   * configurations of earlier releases, if requests need none.
   */
  readonly organisations?: readonly Organisation[];
  /**
   * Whether requests need a credential although no organisation may be usable,
   * because the operator names some; absent if requests need none.
   */
  readonly needsCredentials?: boolean;
}

/** Returns whether the callers of a configuration need credentials. */
export function needsCredentials(
  configuration: Configuration | undefined,
): boolean {
  const { needsCredentials, organisations = [] } = configuration ?? {};
  return needsCredentials === true || organisations.length > 0;
}
