import type { Socket } from "node:net";
import { ERROR_DETAILS } from "@oleanderdeck/errors";
import type { CallerProxyObserver } from "./caller_proxy_observer.ts";
import { type ClientLimits, USUAL_CLIENT_LIMITS } from "./client_limits.ts";
import { ConnectionTable } from "./connection_table.ts";

/** Options of {@linkcode ClientConnections}. */
export interface ClientConnectionsOptions {
  readonly observer?: CallerProxyObserver;
  /** Returns the limits; the usual ones if omitted. */
  readonly clientLimits?: () => ClientLimits;
}

/** Connections of the clients of a proxy, within the descriptors of the process. */
export class ClientConnections {
  readonly #options: ClientConnectionsOptions;
  readonly #table = new ConnectionTable<Socket>(
    () => this.limits,
    takenBytes,
  );

  /** @param options Limits and receiver of events. */
  constructor(options: ClientConnectionsOptions) {
    this.#options = options;
  }

  /** Current limits. */
  get limits(): ClientLimits {
    return this.#options.clientLimits?.() ?? USUAL_CLIENT_LIMITS;
  }

  /**
   * Decides on a connection that was accepted, and closes it or an idle one if
   * there are too many.
   *
   * @returns Whether the connection is kept.
   */
  admit(socket: Socket): boolean {
    const address = socket.remoteAddress ?? "";
    const admission = this.#table.add(socket, address, performance.now());
    const { observer } = this.#options;
    if (admission.kind === "refused") {
      observer?.onClientLimit(admission.limit);
      socket.end(REFUSAL, "latin1");
      socket.destroySoon();
      return false;
    }
    socket.once("close", () => this.#table.remove(socket));
    if (admission.kind === "replaces") {
      observer?.onClientLimit("idle_connection_closed");
      admission.idle.destroy();
    }
    return true;
  }

  /** Counts a request that begins on a connection, or ends, by 1 or -1. */
  countRequest(socket: Socket, change: 1 | -1): void {
    this.#table.countRequest(socket, change, performance.now());
  }
}

// Nothing of a refused connection is read, so no request on it has run.
const { retryAfterMs, status, text } = ERROR_DETAILS.too_many_requests_held;
const REFUSAL = `HTTP/1.1 ${status} Service Unavailable\r\n` +
  `Content-Type: text/plain\r\nContent-Length: ${text.length + 1}\r\n` +
  `Retry-After: ${(retryAfterMs / 1_000).toFixed(3)}\r\n` +
  `Connection: close\r\n\r\n${text}\n`;

function takenBytes({ bytesWritten, writableLength }: Socket) {
  return writableLength > 0 ? bytesWritten - writableLength : undefined;
}
