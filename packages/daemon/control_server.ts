import {
  createServer,
  type Http2Server,
  type ServerHttp2Session,
} from "node:http2";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { SocketAddress } from "@oleanderdeck/settings";

/** Maximum number of open HTTP/2 sessions; further ones are closed at once. */
const MAXIMUM_SESSIONS = 512;

/** Idle time after which a session is closed, in milliseconds. */
const IDLE_SESSION_MS = 60_000;

/** Time that open calls have to complete during shutdown, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1000;

/** HTTP/2 server on a node's control port, used by operators and peers. */
export class ControlServer {
  readonly #server: Http2Server;
  readonly #sessions = new Set<ServerHttp2Session>();

  /** @param routes Registers the RPC services on the router. */
  constructor(routes: (router: ConnectRouter) => void) {
    this.#server = createServer(connectNodeAdapter({ routes }));
    this.#server.on("session", (session) => this.#accept(session));
  }

  /**
   * Starts listening on an address.
   *
   * @throws {Error} If the server cannot listen on the address.
   */
  listen({ host, port }: SocketAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
  }

  /**
   * Stops accepting sessions, waits up to {@linkcode CLOSE_TIMEOUT_MS} for open
   * calls to complete, and then closes the remaining sessions.
   */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#sessions.forEach((session) => session.close());
    const timer = setTimeout(
      () => this.#sessions.forEach((session) => session.destroy()),
      CLOSE_TIMEOUT_MS,
    );
    await closed;
    clearTimeout(timer);
  }

  #accept(session: ServerHttp2Session): void {
    if (this.#sessions.size >= MAXIMUM_SESSIONS) return session.destroy();
    this.#sessions.add(session);
    session.setTimeout(IDLE_SESSION_MS, () => session.close());
    session.on("error", () => session.destroy());
    session.once("close", () => this.#sessions.delete(session));
  }
}
