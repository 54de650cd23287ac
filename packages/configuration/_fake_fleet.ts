import { create, toBinary } from "@bufbuild/protobuf";
import { Left, Right } from "purify-ts";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PolicyView } from "@oleanderdeck/agreement";
import { DeckError } from "@oleanderdeck/errors";
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
  MemberSchema,
  MemberState,
  NewsSchema,
  PingSchema,
} from "@oleanderdeck/protocol";
import { MemoryStore } from "@oleanderdeck/store";
import {
  ConfigurationReplica,
  ConfigurationService,
  DocumentPeer,
  type DocumentRequest,
  type DocumentVersionCopy,
  selectNewerDocuments,
} from "./mod.ts";
import { pickRandom, randomFraction } from "./random_choice.ts";
import { VirtualClock } from "@oleanderdeck/settings";

/** Stub of a compiled lookup that exposes the compiled documents. */
export interface StubView extends PolicyView {
  readonly compiled: readonly DocumentVersionCopy[];
}

/** Stub of the compiler; it rejects documents with the content `invalid`. */
export function compileStub(
  documents: readonly DocumentVersionCopy[],
): StubView {
  if (documents.some(({ content }) => content === "invalid")) {
    throw new Error("A document is not valid");
  }
  return { compiled: documents } as unknown as StubView;
}

class FakeMemberView extends MemberView {
  source: (() => HeldConfiguration) | undefined;
  readonly dead = new Set<string>();

  constructor(readonly own: Member, readonly fleet: FakeFleet) {
    super();
  }

  self = () => this.own;
  find = (nodeId: string) => this.fleet.nodes.get(nodeId)?.member;
  servingMembers = () => [];
  roundTripMs = () => undefined;
  onChange = () => () => {};
  setWorker = () => {};

  members(): readonly Member[] {
    if (this.dead.size === 0) return this.fleet.members;
    return this.fleet.members.map((member) =>
      this.dead.has(member.nodeId)
        ? { ...member, state: MemberState.DEAD }
        : member
    );
  }

  setConfigurationSource(source: () => HeldConfiguration): void {
    this.source = source;
  }
}

class FakeChannel extends DatagramChannel {
  readonly handlers = new Map<string, Set<(...args: never[]) => void>>();

  constructor(readonly own: Member, readonly fleet: FakeFleet) {
    super();
  }

  send(nodeId: string, message: PeerMessage): boolean {
    return this.fleet.deliver(this.own, nodeId, message);
  }

  onMessage<Case extends PeerMessageCase>(
    messageCase: Case,
    handler: (message: PeerMessageValue<Case>, sender: Member) => void,
  ): () => void {
    const handlers = this.handlers.get(messageCase) ?? new Set();
    this.handlers.set(messageCase, handlers.add(handler));
    return () => handlers.delete(handler);
  }
}

class FakeDocumentPeer extends DocumentPeer {
  constructor(readonly own: Member, readonly fleet: FakeFleet) {
    super();
  }

  async fetch(member: Member, request: DocumentRequest) {
    await this.fleet.clock.sleep(20);
    const node = this.fleet.nodes.get(member.nodeId);
    this.fleet.fetches++;
    if (
      node === undefined || this.fleet.isLost() ||
      !this.fleet.isReachable(this.own.nodeId, member.nodeId)
    ) {
      return Left(new DeckError("connection_refused"));
    }
    return node.replica.isReady()
      ? Right(selectNewerDocuments(node.replica, request))
      : Left(new DeckError("not_ready"));
  }
}

/** One node of {@linkcode FakeFleet}. */
export interface FakeNode {
  readonly member: Member;
  readonly replica: ConfigurationReplica;
  readonly service: ConfigurationService;
  readonly view: FakeMemberView;
  readonly channel: FakeChannel;
}

/** Options of {@linkcode FakeFleet}. */
export interface FakeFleetOptions {
  readonly seed: number;
  /** Share of messages that are lost; 0 by default. */
  readonly loss?: number;
  /** Share of messages that arrive twice; 0 by default. */
  readonly duplicateShare?: number;
  /** Maximum delay of a message, in milliseconds; 10 by default. */
  readonly longestDelayMs?: number;
}

/** Nodes in four data centres that run in one process on virtual time. */
export class FakeFleet {
  readonly clock = new VirtualClock();
  readonly store = new MemoryStore({ clock: this.clock });
  readonly nodes = new Map<string, FakeNode>();
  members: readonly Member[] = [];
  /** Number of datagrams sent, by kind of message. */
  readonly sent = new Map<string, number>();
  /** Number of requests for documents between nodes. */
  fetches = 0;
  /** Size of the largest message of the kind `news`, in bytes. */
  largestNews = 0;
  /** Returns whether one node can reach another. */
  isReachable: (from: string, to: string) => boolean = () => true;
  readonly #random;
  #closed = false;

  constructor(readonly options: FakeFleetOptions) {
    this.#random = xoroshiro128plus(options.seed);
  }

  /** Adds a node and starts it. */
  add(nodeId: string): FakeNode {
    const index = this.nodes.size;
    const member = create(MemberSchema, {
      nodeId,
      state: MemberState.ALIVE,
      dataCentre: `dc-${index % 4}`,
    });
    const view = new FakeMemberView(member, this);
    const channel = new FakeChannel(member, this);
    const replica = new ConfigurationReplica({ compile: compileStub });
    const service = new ConfigurationService({
      replica,
      store: this.store,
      members: view,
      channel,
      peer: new FakeDocumentPeer(member, this),
      clock: this.clock,
      random: xoroshiro128plus(this.options.seed * 100_003 + index),
    });
    const node = { member, replica, service, view, channel };
    this.nodes.set(nodeId, node);
    this.members = [...this.members, member];
    this.#startProbes(node);
    service.start();
    return node;
  }

  addMany(count: number): readonly FakeNode[] {
    return Array.from(
      { length: count },
      (_, index) => this.add(`node-${index}`),
    );
  }

  isLost(): boolean {
    return randomFraction(this.#random) < (this.options.loss ?? 0);
  }

  deliver(sender: Member, nodeId: string, message: PeerMessage): boolean {
    const target = this.nodes.get(nodeId);
    this.sent.set(message.case, (this.sent.get(message.case) ?? 0) + 1);
    if (message.case === "news") {
      const { length } = toBinary(NewsSchema, message.value);
      this.largestNews = Math.max(this.largestNews, length);
    }
    if (target === undefined) return false;
    const copies =
      randomFraction(this.#random) < (this.options.duplicateShare ?? 0) ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.isLost() || !this.isReachable(sender.nodeId, nodeId)) continue;
      const delay = randomFraction(this.#random) *
        (this.options.longestDelayMs ?? 10);
      this.clock.schedule(delay, () => {
        const handlers = target.channel.handlers.get(message.case) ?? [];
        for (const handler of handlers) {
          (handler as (value: unknown, sender: Member) => void)(
            message.value,
            sender,
          );
        }
      });
    }
    return true;
  }

  /** Returns the number of nodes with an active version of a document. */
  countActive(name: string, version: number): number {
    return [...this.nodes.values()].filter(({ replica }) =>
      replica.activeVersion(name) === version
    ).length;
  }

  async close(): Promise<void> {
    this.#closed = true;
    await this.store.close();
    await this.clock.advanceUntilSettled(Promise.all(
      [...this.nodes.values()].map(({ service }) => service.close()),
    ));
  }

  #startProbes({ member, view, channel }: FakeNode): void {
    channel.onMessage("ping", (_, sender) => {
      channel.send(sender.nodeId, {
        case: "acknowledgement",
        value: create(AcknowledgementSchema, {
          configuration: view.source?.(),
        }),
      });
    });
    const probe = async () => {
      while (!this.#closed) {
        const interval = 900 + randomFraction(this.#random) * 200;
        await this.clock.sleep(interval);
        const others = this.members.filter(({ nodeId }) =>
          nodeId !== member.nodeId
        );
        for (const { nodeId } of pickRandom(this.#random, others, 1)) {
          channel.send(nodeId, {
            case: "ping",
            value: create(PingSchema, { configuration: view.source?.() }),
          });
        }
      }
    };
    void probe();
  }
}
