import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import type { EventLog } from "@oleanderdeck/observability";
import type { Clock } from "@oleanderdeck/settings";
import type { Store } from "@oleanderdeck/store";
import type { ConfigurationReplica } from "./configuration_replica.ts";
import { DocumentDisseminator } from "./document_disseminator.ts";
import type { DocumentPeer } from "./document_peer.ts";
import { RolloutQuery, type RolloutReport } from "./rollout_query.ts";
import { loadConfiguration } from "./load_configuration.ts";
import { StoreContact } from "./store_contact.ts";
import { StoreDocumentEditor } from "./store_document_editor.ts";
import { StoreReader } from "./store_reader.ts";

/** Options of {@linkcode ConfigurationService}. */
export interface ConfigurationServiceOptions {
  readonly replica: ConfigurationReplica;
  readonly store: Store;
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly peer: DocumentPeer;
  readonly clock: Clock;
  readonly random: RandomGenerator;
  readonly log?: EventLog;
}

/** Runs the tasks that keep the configuration of a node up to date. */
export class ConfigurationService {
  /** Changes documents; the replica accepts committed changes at once. */
  readonly editor: StoreDocumentEditor;
  /** Latest known contact of any node with the store. */
  readonly contact: StoreContact;
  readonly #options: ConfigurationServiceOptions;
  readonly #reader: StoreReader;
  readonly #disseminator: DocumentDisseminator;
  readonly #rolloutQuery: RolloutQuery;
  readonly #stop = new AbortController();
  #tasks: Promise<unknown> | undefined;

  /** @param options The replica, the store, the members and their channel. */
  constructor(options: ConfigurationServiceOptions) {
    this.#options = options;
    this.contact = new StoreContact(options.clock);
    const shared = { ...options, contact: this.contact };
    this.editor = new StoreDocumentEditor(shared);
    this.#reader = new StoreReader(shared);
    this.#disseminator = new DocumentDisseminator(shared);
    this.#rolloutQuery = new RolloutQuery(shared);
  }

  /**
   * Starts the tasks. The channel and the member view must be running.
   * `replica.isReady()` returns true once the configuration is loaded.
   */
  start(): void {
    this.#tasks ??= Promise.all([
      this.#disseminator.run(this.#stop.signal),
      this.#loadAndRead(),
    ]);
  }

  /** Whether this node is one of those selected to watch the store. */
  isReader(): boolean {
    return this.#reader.isSelected();
  }

  /** Counts the live members by their active version of a document. */
  countVersions(name: string): Promise<RolloutReport> {
    return this.#rolloutQuery.countVersions(name);
  }

  /** Stops the tasks. The store stays open, because its owner closes it. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#rolloutQuery.close();
    await this.#tasks;
  }

  async #loadAndRead(): Promise<void> {
    const { signal } = this.#stop;
    await loadConfiguration({
      ...this.#options,
      reader: this.#reader,
      puller: this.#disseminator.puller,
      signal,
    });
    await this.#reader.run(signal);
  }
}
