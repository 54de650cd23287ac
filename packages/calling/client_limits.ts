/** Limits of what clients may occupy of a process. */
export interface ClientLimits {
  /**
   * Requests of one connection that are read ahead, behind those in progress.
   * Beyond them the connection is not read.
   */
  readonly requestsAhead: number;
  /**
   * Bytes of unread answers of one connection above which none of its further
   * requests is started.
   */
  readonly unreadBytes: number;
  /** Connections of all clients at the same time. */
  readonly connections: number;
  /** Connections of one client address at the same time. */
  readonly connectionsPerAddress: number;
}

/** Limits that settings may state. */
export type StatedClientLimits = {
  readonly [Name in keyof ClientLimits]?: number | undefined;
};

/** Limits that can be reached, as events and counters name them. */
export type ClientLimit =
  | "requests_ahead"
  | "requests_held"
  | "unread_answers"
  | "connections"
  | "connections_per_address"
  | "idle_connection_closed";

/** Descriptors of a process for which the settings state no limit. */
export const DEFAULT_MAX_FDS = 4_096;

/**
 * Descriptors that are not left to clients: files, listeners, links from and to
 * other hosts, connections to the worker and to the store.
 */
const OWN_FDS = 200;

/** Requests read ahead by default; usual clients send a few. */
const DEFAULT_REQUESTS_AHEAD = 16;

/** Unread bytes by default, more than usual clients leave behind. */
const DEFAULT_UNREAD_BYTES = 262_144;

/**
 * Share of the connections that one address may have by default. All clients of a
 * host have the same address, and some hundred connections.
 */
const DEFAULT_ADDRESS_SHARE = 0.75;

/** Share of the descriptors for clients that the platform's ports may use. */
const PLATFORM_SHARE = 0.125;

/** Connections to the platform's ports, at least. */
const MIN_PLATFORM_CONNECTIONS = 16;

/**
 * Returns the limits of a process.
 *
 * @param maxFds Descriptors that the process may open.
 * @param stated Limits that are stated in the settings.
 */
export function clientLimits(
  maxFds: number,
  stated: StatedClientLimits = {},
): ClientLimits {
  const connections = stated.connections ??
    Math.max(1, availableFds(maxFds) - platformConnections(maxFds));
  return {
    requestsAhead: stated.requestsAhead ?? DEFAULT_REQUESTS_AHEAD,
    unreadBytes: stated.unreadBytes ?? DEFAULT_UNREAD_BYTES,
    connections,
    connectionsPerAddress: stated.connectionsPerAddress ??
      Math.max(1, Math.floor(connections * DEFAULT_ADDRESS_SHARE)),
  };
}

/** Returns the number of connections that the platform's ports may have. */
export function platformConnections(maxFds: number): number {
  return Math.max(
    MIN_PLATFORM_CONNECTIONS,
    Math.floor(availableFds(maxFds) * PLATFORM_SHARE),
  );
}

function availableFds(maxFds: number): number {
  return Math.max(maxFds - OWN_FDS, Math.floor(maxFds / 2));
}

/** Limits of a process whose settings state none. */
export const USUAL_CLIENT_LIMITS = clientLimits(DEFAULT_MAX_FDS);
