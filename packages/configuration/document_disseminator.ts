import { create } from "@bufbuild/protobuf";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import {
  type DatagramChannel,
  isLive,
  type MemberView,
} from "@oleanderdeck/membership";
import type { EventLog } from "@oleanderdeck/observability";
import {
  type HeldConfiguration,
  HeldConfigurationSchema,
  type Member,
  type News,
  NewsSchema,
} from "@oleanderdeck/protocol";
import type { Clock } from "@oleanderdeck/settings";
import type { ConfigurationReplica } from "./configuration_replica.ts";
import type { DocumentPeer } from "./document_peer.ts";
import { DocumentPuller } from "./document_puller.ts";
import { pickRandom } from "./random_choice.ts";
import type { StoreContact } from "./store_contact.ts";
import { isDocumentName } from "./stored_document.ts";
import { Notifier } from "./notifier.ts";

/** Options of {@linkcode DocumentDisseminator}. */
export interface DocumentDisseminatorOptions {
  readonly replica: ConfigurationReplica;
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly peer: DocumentPeer;
  readonly contact: StoreContact;
  readonly clock: Clock;
  /** Random numbers for the choice of peers. */
  readonly random: RandomGenerator;
  readonly log?: EventLog;
}

/** Time between two rounds while updates are pending, in milliseconds. */
export const ROUND_INTERVAL_MS = 200;

/** Number of peers to which the updates of one round are sent. */
export const UPDATE_FAN_OUT = 2;

/**
 * Number of rounds in which a node announces a version. When every member
 * announces it to two others in eight rounds and 5 of 100 datagrams are lost,
 * each member receives it about 15 times on average. The few members that
 * receive none find out from membership probes that they are behind.
 */
export const UPDATE_ROUNDS = 8;

/** Maximum estimated size of the versions in one datagram, in bytes. */
export const MAX_UPDATE_BYTES = 900;

/**
 * Maximum number of pending updates. When it is reached, a new update replaces
 * the oldest one.
 */
export const MAX_PENDING_UPDATES = 4_096;

/** Estimated size of a version in a datagram without its name, in bytes. */
const VERSION_BYTES = 16;

/** A version of a document that this node still announces to peers. */
interface PendingUpdate {
  readonly version: number;
  /** Number of rounds in which the version was sent. */
  rounds: number;
}

/**
 * Announces new document versions to random peers (gossip), and pulls the
 * documents that peers announce or that this node lacks.
 */
export class DocumentDisseminator {
  readonly #options: DocumentDisseminatorOptions;
  /** Pulls the documents that peers have announced. */
  readonly puller: DocumentPuller;
  /** Versions to announce, by document name; the oldest update first. */
  readonly #pendingUpdates = new Map<string, PendingUpdate>();
  readonly #removers: (() => void)[] = [];
  readonly #notifier = new Notifier();

  /** @param options The replica, its peers and the channel to them. */
  constructor(options: DocumentDisseminatorOptions) {
    this.#options = options;
    this.puller = new DocumentPuller(options);
  }

  /** Returns the state of this node's configuration that its probes report. */
  heldConfiguration(): HeldConfiguration {
    const { replica, contact } = this.#options;
    return create(HeldConfigurationSchema, {
      version: BigInt(replica.highestVersion()),
      digest: replica.digest(),
      storeContactAgeMilliseconds: contact.ageMs(),
    });
  }

  /** Announces and pulls documents until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { replica, members, channel } = this.#options;
    members.setConfigurationSource(() => this.heldConfiguration());
    this.#removers.push(
      replica.onChange(({ name, version }) => this.#addUpdate(name, version)),
      channel.onMessage(
        "news",
        (news, sender) => this.#receiveNews(news, sender),
      ),
      channel.onMessage(
        "ping",
        ({ configuration }, sender) =>
          this.#compareConfiguration(configuration, sender),
      ),
      channel.onMessage(
        "acknowledgement",
        ({ configuration }, sender) =>
          this.#compareConfiguration(configuration, sender),
      ),
    );
    await Promise.all([this.#sendRounds(signal), this.puller.run(signal)]);
    for (const remove of this.#removers.splice(0)) remove();
  }

  async #sendRounds(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      if (this.#pendingUpdates.size === 0) {
        await this.#notifier.wait(clock, {
          milliseconds: MAX_IDLE_WAIT_MS,
          signal,
        });
        continue;
      }
      this.#sendRound();
      await clock.sleep(ROUND_INTERVAL_MS, signal);
    }
  }

  #sendRound(): void {
    const { members, channel, random } = this.#options;
    const self = members.self().nodeId;
    const live = members.members().filter((member) =>
      member.nodeId !== self && isLive(member)
    );
    const selected = this.#selectUpdates();
    const documents = selected.map(([name, { version }]) => ({
      name,
      version: BigInt(version),
    }));
    for (const { nodeId } of pickRandom(random, live, UPDATE_FAN_OUT)) {
      channel.send(nodeId, {
        case: "news",
        value: create(NewsSchema, { documents }),
      });
    }
    for (const [name, update] of selected) {
      update.rounds++;
      if (update.rounds >= UPDATE_ROUNDS) this.#pendingUpdates.delete(name);
    }
  }

  /** Selects the versions that were sent least often, up to the size limit. */
  #selectUpdates(): readonly (readonly [string, PendingUpdate])[] {
    let bytes = 0;
    return [...this.#pendingUpdates]
      .sort(([, a], [, b]) => a.rounds - b.rounds)
      .filter(([name]) => {
        bytes += Buffer.byteLength(name) + VERSION_BYTES;
        return bytes <= MAX_UPDATE_BYTES;
      });
  }

  #addUpdate(name: string, version: number): void {
    // A node that is still loading its configuration accepts documents that the
    // other nodes already hold, so it does not announce them.
    if (!this.#options.replica.isReady()) return;
    this.#pendingUpdates.delete(name);
    if (this.#pendingUpdates.size >= MAX_PENDING_UPDATES) {
      const [oldest] = this.#pendingUpdates.keys();
      this.#pendingUpdates.delete(oldest!);
    }
    this.#pendingUpdates.set(name, { version, rounds: 0 });
    this.#notifier.notifyAll();
  }

  #receiveNews(news: News, sender: Member): void {
    for (const { name, version } of news.documents) {
      if (!isDocumentName(name)) continue;
      this.#options.replica.observeVersion(Number(version));
      this.puller.enqueue(name, Number(version), sender);
    }
  }

  #compareConfiguration(
    held: HeldConfiguration | undefined,
    sender: Member,
  ): void {
    if (held === undefined) return;
    const { replica, contact } = this.#options;
    contact.recordReportedAge(held.storeContactAgeMilliseconds);
    replica.observeVersion(Number(held.version));
    if (held.digest === replica.digest()) {
      replica.markComplete(replica.highestVersion());
    } else {
      this.puller.scheduleComparison(sender, held);
    }
  }
}

/**
 * Maximum time of one wait for a pending update, in milliseconds. The loop then
 * checks again and waits anew.
 */
const MAX_IDLE_WAIT_MS = 60_000;
