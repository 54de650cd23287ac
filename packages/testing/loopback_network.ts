import { createServer, type Server } from "node:net";

/** Loopback network reserved for one test. */
export interface LoopbackNetwork {
  /** First two bytes of its addresses, for example `127.83`. */
  readonly prefix: string;
  /** Releases the network for other processes. */
  close(): Promise<void>;
}

/** Second byte of the addresses of the first network. */
const FIRST_NETWORK = 64;
const NETWORK_COUNT = 180;

/** Port that a process listens on while it holds the network. */
const RESERVATION_PORT = 9399;

function tryReserve(prefix: string): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(RESERVATION_PORT, `${prefix}.0.1`, () => resolve(server));
  });
}

/**
 * Reserves a loopback network for one test, so that concurrent test runs on one
 * machine do not collide on fixed ports.
 *
 * @throws {Error} If all networks are reserved.
 */
export async function reserveLoopbackNetwork(): Promise<LoopbackNetwork> {
  const start = process.pid % NETWORK_COUNT;
  for (let step = 0; step < NETWORK_COUNT; step++) {
    const prefix = `127.${FIRST_NETWORK + (start + step) % NETWORK_COUNT}`;
    const server = await tryReserve(prefix);
    if (server === undefined) continue;
    return {
      prefix,
      close: () => new Promise((resolve) => server.close(() => resolve())),
    };
  }
  throw new Error("All loopback networks for tests are reserved");
}
