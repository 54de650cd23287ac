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
  /** Source of the choice of peers. */
  readonly random: RandomGenerator;
  readonly log?: EventLog;
}

/** Time between two rounds while there is news, in milliseconds. */
export const ROUND_INTERVAL_MS = 200;

/** Number of peers that get the news of one round. */
export const UPDATE_FAN_OUT = 2;

/**
 * Rounds in which a node tells a version. Each member is told about 15 times
 * when all members tell it to two others in eight rounds at a loss of 5 in 100,
 * so hardly any member hears nothing; probes reach those.
 */
export const UPDATE_ROUNDS = 8;

/** Greatest estimated size of the versions in one datagram, in bytes. */
export const MAX_UPDATE_BYTES = 900;

/** Greatest number of versions that wait to be told; the oldest gives way. */
export const MAX_PENDING_UPDATES = 4_096;

/** Estimated size of a version in a datagram beside its name, in bytes. */
const VERSION_BYTES = 16;

interface PendingUpdate {
  readonly version: number;
  rounds: number;
}

/** Spreads new documents from node to node and finds out what is missing. */
export class DocumentDisseminator {
  readonly #options: DocumentDisseminatorOptions;
  /** Pulls documents that peers told of. */
  readonly puller: DocumentPuller;
  /** Versions to tell, by document name. */
  readonly #pendingUpdates = new Map<string, PendingUpdate>();
  readonly #removers: (() => void)[] = [];
  readonly #notifier = new Notifier();

  /** @param options The replica, its peers and the channel to them. */
  constructor(options: DocumentDisseminatorOptions) {
    this.#options = options;
    this.puller = new DocumentPuller(options);
  }

  /** What probes tell about the configuration of this node. */
  heldConfiguration(): HeldConfiguration {
    const { replica, contact } = this.#options;
    return create(HeldConfigurationSchema, {
      version: BigInt(replica.highestVersion()),
      digest: replica.digest(),
      storeContactAgeMilliseconds: contact.ageMs(),
    });
  }

  /** Tells and pulls until the signal is aborted. */
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

  /** Selects the versions that were told least, up to the size of a datagram. */
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
    // A node that is starting takes documents that all others hold already.
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

/** Time after which a wait without news begins again, in milliseconds. */
const MAX_IDLE_WAIT_MS = 60_000;
