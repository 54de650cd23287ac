import { createServer, type Server } from "node:net";

/** First two bytes of the addresses that a test may use, for example `127.83`. */
export interface LoopbackNetwork {
  readonly prefix: string;
  /** Lets other processes use the network. */
  close(): Promise<void>;
}

const FIRST_NETWORK = 64;
const NETWORKS = 180;

/** Port whose holder owns the network. */
const RESERVATION_PORT = 9399;

function tryReserve(prefix: string): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(RESERVATION_PORT, `${prefix}.0.1`, () => resolve(server));
  });
}

/**
 * Reserves a part of the loopback network for one test, so that test runs at
 * the same time on one machine do not take each other's fixed ports.
 *
 * @throws {Error} If all networks are reserved.
 */
export async function reserveLoopbackNetwork(): Promise<LoopbackNetwork> {
  const start = process.pid % NETWORKS;
  for (let step = 0; step < NETWORKS; step++) {
    const prefix = `127.${FIRST_NETWORK + (start + step) % NETWORKS}`;
    const server = await tryReserve(prefix);
    if (server === undefined) continue;
    return {
      prefix,
      close: () => new Promise((resolve) => server.close(() => resolve())),
    };
  }
  throw new Error("All loopback networks for tests are reserved");
}
