import {
  DatagramChannel,
  type MemberView,
  type PeerMessage,
  type PeerMessageCase,
  type PeerMessageValue,
} from "@oleanderdeck/membership";
import type { Member } from "@oleanderdeck/protocol";

type Handler = (value: never, sender: Member) => void;

/**
 * Channel that delivers messages from a node to itself without a datagram, for
 * a node that is both owner and holder of a rate lease. All other messages go
 * through the given channel.
 */
export class LoopbackChannel extends DatagramChannel {
  readonly #channel: DatagramChannel;
  readonly #members: MemberView;
  readonly #handlers = new Map<PeerMessageCase, Set<Handler>>();

  /**
   * @param channel Channel to the other nodes.
   * @param members View that supplies the node's own member record.
   */
  constructor(channel: DatagramChannel, members: MemberView) {
    super();
    this.#channel = channel;
    this.#members = members;
  }

  override send(nodeId: string, message: PeerMessage): boolean {
    const self = this.#members.self();
    if (nodeId !== self.nodeId) return this.#channel.send(nodeId, message);
    queueMicrotask(() => {
      for (const handler of [...this.#handlers.get(message.case) ?? []]) {
        handler(message.value as never, self);
      }
    });
    return true;
  }

  override onMessage<Case extends PeerMessageCase>(
    messageCase: Case,
    handler: (message: PeerMessageValue<Case>, sender: Member) => void,
  ): () => void {
    const handlers = this.#handlers.get(messageCase) ?? new Set();
    this.#handlers.set(messageCase, handlers);
    handlers.add(handler as Handler);
    const remove = this.#channel.onMessage(messageCase, handler);
    return () => {
      handlers.delete(handler as Handler);
      remove();
    };
  }
}
