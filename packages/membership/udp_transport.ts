import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import { isIPv6 } from "node:net";
import {
  type DatagramHandler,
  DatagramTransport,
  parseHostPort,
} from "./datagram_transport.ts";

/** Local address of a {@linkcode UdpTransport}. */
export interface UdpTransportOptions {
  /** Local IP address. */
  readonly host: string;
  /** Local port; 0 for one that the system chooses. */
  readonly port: number;
}

// Buffers a burst of about 200 datagrams while the process is busy.
const RECEIVE_BUFFER_BYTES = 256 * 1024;

/** Sends and receives datagrams by UDP. */
export class UdpTransport extends DatagramTransport {
  readonly #options: UdpTransportOptions;
  readonly #socket: Socket;
  #closed = false;

  /** @param options Local address; those of peers must have IP addresses too. */
  constructor(options: UdpTransportOptions) {
    super();
    this.#options = options;
    this.#socket = createSocket({
      type: isIPv6(options.host) ? "udp6" : "udp4",
      // Addresses are numeric, so no name is resolved when a datagram is sent.
      lookup: (hostname, _options, callback) =>
        callback(null, hostname, isIPv6(hostname) ? 6 : 4),
    });
  }

  open(handler: DatagramHandler): Promise<void> {
    const socket = this.#socket;
    socket.on("message", (bytes: Uint8Array, from: RemoteInfo) => {
      this.countReceived(bytes.length);
      handler(bytes, formatAddress(from.address, from.port));
    });
    return new Promise((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(this.#options.port, this.#options.host, () => {
        socket.off("error", reject);
        socket.on("error", () => this.countSendError());
        socket.setRecvBufferSize(RECEIVE_BUFFER_BYTES);
        resolve();
      });
    });
  }

  address(): string {
    const { address, port } = this.#socket.address();
    return formatAddress(address, port);
  }

  send(address: string, bytes: Uint8Array): void {
    const target = parseHostPort(address);
    if (this.#closed || target === undefined) return this.countSendError();
    this.#socket.send(bytes, target.port, target.host, (error) => {
      if (error) this.countSendError();
    });
    this.countSent(bytes.length);
  }

  close(): Promise<void> {
    if (this.#closed) return Promise.resolve();
    this.#closed = true;
    return new Promise((resolve) => this.#socket.close(() => resolve()));
  }
}

function formatAddress(host: string, port: number): string {
  return isIPv6(host) ? `[${host}]:${port}` : `${host}:${port}`;
}
