import type { ClientLimit, ClientLimits } from "./client_limits.ts";

/**
 * Time without a request, or without a byte of an answer that was taken, after which
 * a connection makes room for a new one, in milliseconds. It is longer than the
 * pauses of a client at work.
 */
const IDLE_MS = 1_000;

/**
 * Connections that are looked at for an idle one, so that a crowd of busy ones
 * does not make each further connection expensive.
 */
const MAX_LOOKED_AT = 64;

/** What becomes of a new connection. */
export type Admission<Connection> =
  | { readonly kind: "accepted" }
  /** Another connection, which is idle, is to be closed in its place. */
  | { readonly kind: "replaces"; readonly idle: Connection }
  | { readonly kind: "refused"; readonly limit: ClientLimit };

interface Entry {
  readonly address: string;
  /** Time of the last change, in milliseconds. */
  changedAt: number;
  requests: number;
  /** Bytes that the client had taken when it was last looked at. */
  takenBytes: number | undefined;
}

/**
 * Connections of clients, for a load of more connections than a process has
 * descriptors: which of them are kept. An idle or stalled connection makes room for a
 * new one, so that clients that only open connections, or read no answers, do not
 * shut out others.
 */
export class ConnectionTable<Connection> {
  readonly #limits: () => Pick<
    ClientLimits,
    "connections" | "connectionsPerAddress"
  >;
  /** Connections in the order of their last change. */
  readonly #entries = new Map<Connection, Entry>();
  readonly #perAddress = new Map<string, number>();
  readonly #takenBytes: (connection: Connection) => number | undefined;

  /**
   * @param limits Returns the current limits.
   * @param takenBytes Returns how many bytes the client has taken, if requests of
   * the connection wait for it; undefined if none does.
   */
  constructor(
    limits: () => Pick<ClientLimits, "connections" | "connectionsPerAddress">,
    takenBytes: (connection: Connection) => number | undefined,
  ) {
    this.#limits = limits;
    this.#takenBytes = takenBytes;
  }

  /** Number of connections. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Decides on a new connection. It is counted unless it is refused; one that it
   * replaces is counted no more.
   *
   * @param connection New connection.
   * @param address Address of the client.
   * @param now Time in milliseconds.
   */
  add(
    connection: Connection,
    address: string,
    now: number,
  ): Admission<Connection> {
    const limit = this.#reachedLimit(address);
    const idle = limit === undefined
      ? undefined
      : this.#findIdle(limit === "connections" ? undefined : address, now);
    if (limit !== undefined && idle === undefined) {
      return { kind: "refused", limit };
    }
    if (idle !== undefined) this.remove(idle);
    this.#entries.set(connection, {
      address,
      changedAt: now,
      requests: 0,
      takenBytes: undefined,
    });
    this.#perAddress.set(address, (this.#perAddress.get(address) ?? 0) + 1);
    return idle === undefined
      ? { kind: "accepted" }
      : { kind: "replaces", idle };
  }

  /** Counts a request that begins on a connection, or ends, by 1 or -1. */
  countRequest(connection: Connection, change: 1 | -1, now: number): void {
    const entry = this.#entries.get(connection);
    if (entry === undefined) return;
    entry.requests += change;
    this.#setChanged(connection, entry, now);
  }

  /** Removes a connection that has closed, if it is counted. */
  remove(connection: Connection): void {
    const entry = this.#entries.get(connection);
    if (entry === undefined) return;
    this.#entries.delete(connection);
    const left = this.#perAddress.get(entry.address)! - 1;
    if (left > 0) this.#perAddress.set(entry.address, left);
    else this.#perAddress.delete(entry.address);
  }

  #reachedLimit(address: string): ClientLimit | undefined {
    const { connections, connectionsPerAddress } = this.#limits();
    const ofAddress = this.#perAddress.get(address) ?? 0;
    if (ofAddress >= connectionsPerAddress) return "connections_per_address";
    return this.#entries.size >= connections ? "connections" : undefined;
  }

  #findIdle(address: string | undefined, now: number): Connection | undefined {
    let lookedAt = 0;
    for (const [connection, entry] of this.#entries) {
      if (now - entry.changedAt < IDLE_MS) return undefined;
      if (++lookedAt > MAX_LOOKED_AT) return undefined;
      const isMatching = address === undefined || entry.address === address;
      if (!isMatching) continue;
      if (entry.requests === 0) return connection;
      const takenBytes = this.#takenBytes(connection);
      if (takenBytes === undefined) continue;
      if (takenBytes === entry.takenBytes) return connection;
      entry.takenBytes = takenBytes;
      this.#setChanged(connection, entry, now);
    }
    return undefined;
  }

  #setChanged(connection: Connection, entry: Entry, now: number): void {
    entry.changedAt = now;
    this.#entries.delete(connection);
    this.#entries.set(connection, entry);
  }
}
