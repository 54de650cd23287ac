/** Maximum size of a datagram in bytes; fits into one packet on common links. */
export const MAX_DATAGRAM_BYTES = 1200;

/** Called for each received datagram with its bytes and the sender's address. */
export type DatagramHandler = (bytes: Uint8Array, from: string) => void;

/** Traffic of a transport since it was opened. */
export interface TransportCounters {
  readonly datagramsSent: number;
  readonly datagramsReceived: number;
  /** Payload bytes, without IP and UDP headers. */
  readonly bytesSent: number;
  /** Payload bytes, without IP and UDP headers. */
  readonly bytesReceived: number;
  /** Datagrams that the local system did not accept for sending. */
  readonly sendErrors: number;
}

/** Sends and receives datagrams; each may be lost, duplicated or delayed. */
export abstract class DatagramTransport {
  #datagramsSent = 0;
  #datagramsReceived = 0;
  #bytesSent = 0;
  #bytesReceived = 0;
  #sendErrors = 0;

  /**
   * Starts to receive datagrams.
   *
   * @throws {Error} If the address is not available.
   */
  abstract open(handler: DatagramHandler): Promise<void>;

  /** Local address as `host:port`, once the transport is open. */
  abstract address(): string;

  /**
   * Sends a datagram once, without acknowledgement.
   *
   * @param address Receiver as `host:port`, or as `[host]:port` for IPv6.
   */
  abstract send(address: string, bytes: Uint8Array): void;

  /** Stops receiving and releases the address. */
  abstract close(): Promise<void>;

  /** Traffic since the transport was opened. */
  counters(): TransportCounters {
    return {
      datagramsSent: this.#datagramsSent,
      datagramsReceived: this.#datagramsReceived,
      bytesSent: this.#bytesSent,
      bytesReceived: this.#bytesReceived,
      sendErrors: this.#sendErrors,
    };
  }

  /** Counts a datagram that was sent. */
  protected countSent(bytes: number): void {
    this.#datagramsSent += 1;
    this.#bytesSent += bytes;
  }

  /** Counts a datagram that was received. */
  protected countReceived(bytes: number): void {
    this.#datagramsReceived += 1;
    this.#bytesReceived += bytes;
  }

  /** Counts a datagram that could not be sent. */
  protected countSendError(): void {
    this.#sendErrors += 1;
  }
}

/** Host and port of an address. */
export interface HostPort {
  /** IP address without brackets. */
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65535;

/**
 * Parses `host:port` or `[host]:port`.
 *
 * @returns The parts, or undefined if the address has another form.
 */
export function parseHostPort(address: string): HostPort | undefined {
  const match = /^(?:\[([^\]\s]+)\]|([^:\s[\]]+)):(\d{1,5})$/.exec(address);
  const port = Number(match?.[3]);
  const host = match?.[1] ?? match?.[2];
  return host !== undefined && port > 0 && port <= MAX_PORT
    ? { host, port }
    : undefined;
}
