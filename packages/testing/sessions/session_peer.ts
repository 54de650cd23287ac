import { create } from "@bufbuild/protobuf";
import {
  DatagramChannel,
  MemberView,
  type PeerMessage,
  type PeerMessageCase,
  type PeerMessageValue,
} from "@oleanderdeck/membership";
import {
  AcknowledgementSchema,
  type HeldConfiguration,
  type Member,
  MemberState,
  PingSchema,
  type Worker,
  WorkerState,
} from "@oleanderdeck/protocol";
import type { SessionNetwork } from "./session_network.ts";
import type { ProcessClock } from "./process_clock.ts";

/** Mean interval between the probes that a node sends, in milliseconds. */
const PROBE_INTERVAL_MS = 1_000;

type Handler = (value: never, sender: Member) => void;

interface KnownMember {
  readonly record: Member;
  readonly version: number;
}

/**
 * Membership of one node: its own member record and its copies of the records
 * of other nodes. Records spread by the simulated gossip of the network, and
 * probes carry the state of the configuration.
 */
export class SessionPeer extends MemberView {
  /** Sends and receives datagrams of this node. */
  readonly channel: DatagramChannel;
  readonly clock: ProcessClock;
  readonly #network: SessionNetwork;
  readonly #known = new Map<string, KnownMember>();
  readonly #listeners = new Set<(member: Member) => void>();
  readonly #handlers = new Map<string, Set<Handler>>();
  #configuration: (() => HeldConfiguration) | undefined;
  /** Record that the node announces about itself. */
  record: Member;
  /** Version of the node's own record; a higher version is newer. */
  recordVersion: number;

  constructor(network: SessionNetwork, record: Member, clock: ProcessClock) {
    super();
    this.#network = network;
    this.record = record;
    this.clock = clock;
    this.recordVersion = Number(record.incarnation) * 1_000;
    this.channel = new SessionChannel(network, this, this.#handlers);
    this.channel.onMessage("ping", (_, sender) => {
      this.channel.send(sender.nodeId, {
        case: "acknowledgement",
        value: create(AcknowledgementSchema, {
          configuration: this.#configuration?.(),
        }),
      });
    });
    void this.#probe();
  }

  /** Stores the record of another node if its version is newer. */
  applyUpdate(record: Member, version: number): void {
    if (record.nodeId === this.record.nodeId) return;
    if ((this.#known.get(record.nodeId)?.version ?? -1) >= version) return;
    this.clock.run(() => {
      if ((this.#known.get(record.nodeId)?.version ?? -1) >= version) return;
      this.#known.set(record.nodeId, { record, version });
      for (const listener of [...this.#listeners]) listener(record);
    });
  }

  /** Passes a datagram to the handlers of its message case. */
  receive(message: PeerMessage, sender: Member): void {
    for (const handler of [...this.#handlers.get(message.case) ?? []]) {
      handler(message.value as never, sender);
    }
  }

  override self(): Member {
    return this.record;
  }

  override members(): readonly Member[] {
    const others = [...this.#known.values()].map(({ record }) => record);
    return [this.record, ...others];
  }

  override find(nodeId: string): Member | undefined {
    return nodeId === this.record.nodeId
      ? this.record
      : this.#known.get(nodeId)?.record;
  }

  override servingMembers(service: string): readonly Member[] {
    return this.members().filter(({ state, worker }) =>
      state === MemberState.ALIVE && worker?.service === service &&
      worker.state === WorkerState.SERVING
    );
  }

  override roundTripMs(nodeId: string): number | undefined {
    const member = this.find(nodeId);
    return member &&
      (member.dataCentre === this.record.dataCentre ? 1 : 8);
  }

  override onChange(listener: (member: Member) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  override setWorker(worker: Worker | undefined): void {
    this.record = { ...this.record, worker };
    this.recordVersion++;
    for (const listener of [...this.#listeners]) listener(this.record);
    this.#network.announce(this);
  }

  override setConfigurationSource(source: () => HeldConfiguration): void {
    this.#configuration = source;
  }

  async #probe(): Promise<void> {
    while (this.clock.alive) {
      const jitter = 0.9 + this.#network.randomFraction() * 0.2;
      await this.clock.sleep(PROBE_INTERVAL_MS * jitter);
      const others = [...this.#known.values()].filter(({ record }) =>
        record.state === MemberState.ALIVE
      );
      if (others.length === 0) continue;
      const index = Math.floor(this.#network.randomFraction() * others.length);
      this.channel.send(others[index]!.record.nodeId, {
        case: "ping",
        value: create(PingSchema, { configuration: this.#configuration?.() }),
      });
    }
  }
}

class SessionChannel extends DatagramChannel {
  readonly #network: SessionNetwork;
  readonly #peer: SessionPeer;
  readonly #handlers: Map<string, Set<Handler>>;

  constructor(
    network: SessionNetwork,
    peer: SessionPeer,
    handlers: Map<string, Set<Handler>>,
  ) {
    super();
    this.#network = network;
    this.#peer = peer;
    this.#handlers = handlers;
  }

  override send(nodeId: string, message: PeerMessage): boolean {
    if (!this.#peer.clock.alive) return false;
    return this.#network.deliver(this.#peer, nodeId, message);
  }

  override onMessage<Case extends PeerMessageCase>(
    messageCase: Case,
    handler: (message: PeerMessageValue<Case>, sender: Member) => void,
  ): () => void {
    const handlers = this.#handlers.get(messageCase) ?? new Set();
    this.#handlers.set(messageCase, handlers);
    handlers.add(handler as Handler);
    return () => handlers.delete(handler as Handler);
  }
}
