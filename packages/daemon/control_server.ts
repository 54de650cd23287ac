import {
  createServer,
  type Http2Server,
  type ServerHttp2Session,
} from "node:http2";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { SocketAddress } from "@oleanderdeck/settings";

/** Greatest number of open sessions; operators and peers need far fewer. */
const MAXIMUM_SESSIONS = 512;

/** Time after which an unused session is closed, in milliseconds. */
const IDLE_SESSION_MS = 60_000;

/** Time that open calls get at the end, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1000;

/** HTTP/2 server of a node's control port, for operators and peers. */
export class ControlServer {
  readonly #server: Http2Server;
  readonly #sessions = new Set<ServerHttp2Session>();

  /** @param routes Services to serve. */
  constructor(routes: (router: ConnectRouter) => void) {
    this.#server = createServer(connectNodeAdapter({ routes }));
    this.#server.on("session", (session) => this.#accept(session));
  }

  /**
   * Starts to listen.
   *
   * @throws {Error} If the address is not available.
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

  /** Lets open calls end for a short time, then closes all sessions. */
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
