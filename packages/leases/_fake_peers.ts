import { create, toBinary } from "@bufbuild/protobuf";
import {
  DatagramSchema,
  type Member,
  MemberSchema,
  MemberState,
  type Worker,
  WorkerState,
} from "@oleanderdeck/protocol";
import {
  DatagramChannel,
  MemberView,
  type PeerMessage,
  type PeerMessageCase,
  type PeerMessageValue,
} from "@oleanderdeck/membership";

/**
 * Bytes added to a datagram by its signature (32) and its UDP and IPv4 headers
 * (28).
 */
const OVERHEAD_BYTES = 32 + 28;

type Handler = (value: never, sender: Member) => void;

/** Options of {@linkcode FakePeers}. */
export interface FakePeersOptions {
  /**
   * One-way delay in milliseconds between nodes of different data centres;
   * within a data centre it is 0.2 ms.
   */
  readonly delayMs: number;
}

/**
 * Nodes in memory that share one list of members and deliver messages to each
 * other by timers instead of a network.
 */
export class FakePeers {
  readonly nodes = new Map<string, FakePeer>();
  /** Whether a message is lost on its way; no message is lost by default. */
  drops: (message: PeerMessage, from: string, to: string) => boolean = () =>
    false;
  readonly #delayMs: number;

  constructor(options: FakePeersOptions = { delayMs: 0 }) {
    this.#delayMs = options.delayMs;
  }

  /** Adds a live node and notifies the member listeners of all nodes. */
  add(nodeId: string, dataCentre = "dc-1", incarnation = 1n): FakePeer {
    const peer = new FakePeer(
      this,
      create(MemberSchema, {
        nodeId,
        incarnation,
        state: MemberState.ALIVE,
        callAddress: `${nodeId}:1`,
        dataCentre,
      }),
    );
    this.nodes.set(nodeId, peer);
    this.changed(peer.record);
    return peer;
  }

  /** Marks a node as dead and notifies the member listeners of all nodes. */
  kill(nodeId: string): void {
    const peer = this.nodes.get(nodeId)!;
    peer.record = { ...peer.record, state: MemberState.DEAD };
    this.changed(peer.record);
  }

  /** Notifies the member listeners of all nodes. */
  changed(member: Member): void {
    for (const peer of this.nodes.values()) peer.view.notify(member);
  }

  /** One-way delay between two nodes in milliseconds. */
  delayBetween(from: Member, to: Member): number {
    return from.dataCentre === to.dataCentre ? 0.2 : this.#delayMs;
  }

  /**
   * Counts the bytes of a message and delivers it after the delay, unless it is
   * lost or its target is not reachable by then.
   *
   * @returns Whether the target is a known node; true also for lost messages.
   */
  deliver(from: FakePeer, to: string, message: PeerMessage): boolean {
    const target = this.nodes.get(to);
    if (target === undefined) return false;
    const bytes = OVERHEAD_BYTES + toBinary(
      DatagramSchema,
      create(DatagramSchema, {
        sender: from.record.nodeId,
        sequence: 100_000,
        body: message,
      }),
    ).length;
    from.sentBytes += bytes;
    target.receivedBytes += bytes;
    if (this.drops(message, from.record.nodeId, to)) return true;
    setTimeout(() => {
      if (target.reachable) target.channel.receive(message, from.record);
    }, this.delayBetween(from.record, target.record));
    return true;
  }
}

/** One node of {@linkcode FakePeers}. */
export class FakePeer {
  readonly view: FakeMemberView;
  readonly channel: FakeChannel;
  sentBytes = 0;
  receivedBytes = 0;
  /** Whether the node receives messages. */
  reachable = true;
  record: Member;

  constructor(peers: FakePeers, record: Member) {
    this.record = record;
    this.view = new FakeMemberView(peers, this);
    this.channel = new FakeChannel(peers, this);
  }
}

class FakeMemberView extends MemberView {
  readonly #listeners = new Set<(member: Member) => void>();
  readonly #peers: FakePeers;
  readonly #peer: FakePeer;

  constructor(peers: FakePeers, peer: FakePeer) {
    super();
    this.#peers = peers;
    this.#peer = peer;
  }

  self(): Member {
    return this.#peer.record;
  }

  members(): readonly Member[] {
    return [...this.#peers.nodes.values()].map((peer) => peer.record);
  }

  find(nodeId: string): Member | undefined {
    return this.#peers.nodes.get(nodeId)?.record;
  }

  servingMembers(service: string): readonly Member[] {
    return this.members().filter((member) =>
      member.state === MemberState.ALIVE &&
      member.worker?.service === service &&
      member.worker.state === WorkerState.SERVING
    );
  }

  roundTripMs(nodeId: string): number | undefined {
    const member = this.find(nodeId);
    return member && 2 * this.#peers.delayBetween(this.#peer.record, member);
  }

  onChange(listener: (member: Member) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  notify(member: Member): void {
    for (const listener of this.#listeners) listener(member);
  }

  setWorker(worker: Worker | undefined): void {
    this.#peer.record = { ...this.#peer.record, worker };
    this.#peers.changed(this.#peer.record);
  }

  setConfigurationSource(): void {}
}

class FakeChannel extends DatagramChannel {
  readonly #handlers = new Map<string, Set<Handler>>();
  readonly #peers: FakePeers;
  readonly #peer: FakePeer;

  constructor(peers: FakePeers, peer: FakePeer) {
    super();
    this.#peers = peers;
    this.#peer = peer;
  }

  send(nodeId: string, message: PeerMessage): boolean {
    return this.#peers.deliver(this.#peer, nodeId, message);
  }

  onMessage<Case extends PeerMessageCase>(
    messageCase: Case,
    handler: (message: PeerMessageValue<Case>, sender: Member) => void,
  ): () => void {
    const handlers = this.#handlers.get(messageCase) ?? new Set();
    this.#handlers.set(messageCase, handlers);
    handlers.add(handler as Handler);
    return () => handlers.delete(handler as Handler);
  }

  receive(message: PeerMessage, sender: Member): void {
    for (const handler of [...this.#handlers.get(message.case) ?? []]) {
      handler(message.value as never, sender);
    }
  }
}
