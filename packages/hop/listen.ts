import type { AddressInfo, Server } from "node:net";

/** Address to listen on, and what is done about later errors. */
export interface ListenOptions {
  readonly host: string;
  readonly port: number;
  /** Number of connections that may wait to be accepted. */
  readonly backlog?: number;
  /**
   * Called with each error of the listener after its start, such as a
   * connection that cannot be accepted because no descriptor is left. Without a
   * handler it would end the process.
   */
  readonly onError: (error: Error) => void;
}

/**
 * Starts a server.
 *
 * @param server Server of TCP or HTTP.
 * @param options Address and handler of errors.
 * @returns The port.
 * @throws {Error} If the address cannot be listened on.
 */
export function listen(
  server: Server,
  { onError, ...address }: ListenOptions,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address, () => {
      server.off("error", reject);
      server.on("error", onError);
      resolve((server.address() as AddressInfo).port);
    });
  });
}
