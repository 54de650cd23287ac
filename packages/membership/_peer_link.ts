import type { Datagram, Member } from "@oleanderdeck/protocol";
import {
  decodeDatagram,
  type DropReason,
  encodeDatagram,
} from "./_datagram_codec.ts";
import {
  type DatagramTransport,
  MAX_DATAGRAM_BYTES,
} from "./datagram_transport.ts";
import type { MemberTable } from "./_member_table.ts";
import {
  DatagramChannel,
  type PeerMessage,
  type PeerMessageCase,
  type PeerMessageValue,
} from "./member_view.ts";
import type { PeerKeys } from "./peer_keys.ts";

/** Options of {@linkcode PeerLink}. */
export interface PeerLinkOptions {
  readonly nodeId: string;
  readonly transport: DatagramTransport;
  readonly keys: PeerKeys;
  readonly table: MemberTable;
  /** Called for each valid datagram, before the handlers of its message. */
  readonly onDatagram: (datagram: Datagram, from: string) => void;
}

/** Number of dropped datagrams by reason. */
export type DropCounters = Readonly<Record<DropReason | "unknown", number>>;

type Handler = (message: never, sender: Member) => void;

const SEQUENCE_MODULUS = 2 ** 32;

/** Signs, sends, verifies and dispatches the datagrams of a node. */
export class PeerLink extends DatagramChannel {
  readonly #options: PeerLinkOptions;
  readonly #handlers = new Map<PeerMessageCase, Set<Handler>>();
  readonly #drops = { oversized: 0, signature: 0, malformed: 0, unknown: 0 };
  #sequence = 0;

  constructor(options: PeerLinkOptions) {
    super();
    this.#options = options;
  }

  /** Number of dropped datagrams; `unknown` counts messages of unknown senders. */
  drops(): DropCounters {
    return { ...this.#drops };
  }

  open(): Promise<void> {
    return this.#options.transport.open((bytes, from) =>
      this.#receive(bytes, from)
    );
  }

  close(): Promise<void> {
    return this.#options.transport.close();
  }

  send(nodeId: string, message: PeerMessage): boolean {
    const entry = this.#options.table.get(nodeId);
    if (entry === undefined) return false;
    this.sendTo(entry.member.peerAddress, message);
    return true;
  }

  /**
   * Sends a message and member records to an address.
   *
   * @param updates Encoded records. A datagram that they make too large is counted
   * as `oversized` and not sent.
   * @returns Sequence number and size of the datagram in bytes.
   */
  sendTo(
    address: string,
    body: PeerMessage | undefined,
    updates: readonly Uint8Array[] = [],
  ): { readonly sequence: number; readonly bytes: number } {
    this.#sequence = (this.#sequence + 1) % SEQUENCE_MODULUS;
    const { nodeId: sender, keys, transport } = this.#options;
    const content = { sender, sequence: this.#sequence, body, updates };
    const bytes = encodeDatagram(content, keys);
    if (bytes.length > MAX_DATAGRAM_BYTES) this.#drops.oversized += 1;
    else transport.send(address, bytes);
    return { sequence: this.#sequence, bytes: bytes.length };
  }

  onMessage<Case extends PeerMessageCase>(
    messageCase: Case,
    handler: (message: PeerMessageValue<Case>, sender: Member) => void,
  ): () => void {
    const handlers = this.#handlers.get(messageCase) ?? new Set();
    this.#handlers.set(messageCase, handlers);
    handlers.add(handler);
    return () => handlers.delete(handler);
  }

  #receive(bytes: Uint8Array, from: string): void {
    const { keys, nodeId, onDatagram, table } = this.#options;
    const datagram = decodeDatagram(bytes, keys);
    if (typeof datagram === "string") {
      this.#drops[datagram] += 1;
      return;
    }
    if (datagram.sender === nodeId) return;
    onDatagram(datagram, from);
    const { body } = datagram;
    if (body.case === undefined) return;
    const sender = table.get(datagram.sender)?.member;
    if (sender === undefined) {
      this.#drops.unknown += 1;
      return;
    }
    for (const handler of this.#handlers.get(body.case) ?? []) {
      handler(body.value as never, sender);
    }
  }
}
