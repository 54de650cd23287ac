import type {
  ConfigurationHolder,
  PlatformStore,
  WorkerDeparture,
  WorkerDirectory,
  WorkerRecord,
} from "@oleanderdeck/directory";
import type { Frame, HelloFrame, VersionFrame } from "@oleanderdeck/hop";
import type { EventLog } from "@oleanderdeck/observability";
import {
  ConfigurationFreshness,
  watchWaitMs,
} from "./configuration_freshness.ts";
import { ConfigurationSync } from "./configuration_sync.ts";
import { ConfigurationWatchers } from "./configuration_watchers.ts";
import { RecordSync } from "./record_sync.ts";
import type { RevocationSettings } from "./sidecar_settings.ts";
import { StoreAvailability } from "./store_availability.ts";

/** Options of {@linkcode StoreSync}. */
export interface StoreSyncOptions {
  readonly store: PlatformStore;
  readonly directory: WorkerDirectory;
  readonly configuration: ConfigurationHolder;
  readonly log: EventLog;
  /** Name of this node and of its record. */
  readonly node: string;
  /** Absent if the deployment does not bound the use of keys. */
  readonly proofs?: ProofOptions;
  /** See {@linkcode RecordSync}. */
  readonly onOwnRecord: (record: WorkerRecord | undefined) => void;
  /** See {@linkcode RecordSync}. */
  readonly onOwnDeparture: (departure: WorkerDeparture) => void;
}

/** Options of the proof that the configuration is the latest. */
export interface ProofOptions extends RevocationSettings {
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Links to other nodes. */
  readonly links: () => NodeLinks;
}

/** Links to other nodes, by the names of the nodes. */
export interface NodeLinks {
  /** Whether there is a link to the node on which it answers requests for proofs. */
  isLinkedTo(node: string): boolean;
  /** Sends a frame on the link to the node; drops it if there is none. */
  sendTo(node: string, frame: Frame): void;
}

/** Synchronises the state of a node with the platform's store. */
export class StoreSync {
  readonly #store: PlatformStore;
  readonly availability: StoreAvailability;
  /** Decides which nodes watch the configuration in the store. */
  readonly watchers: ConfigurationWatchers;
  readonly configuration: ConfigurationSync;
  /** Undefined if the deployment does not bound the use of keys. */
  readonly freshness: ConfigurationFreshness | undefined;
  readonly records: RecordSync;

  /** @param options Store, and the directory and configuration to update. */
  constructor(options: StoreSyncOptions) {
    const { store, directory, configuration, log, node } = options;
    this.#store = store;
    store.era.onRise((previous, current) =>
      log.write("warn", "store_era_changed", { previous, current })
    );
    const availability = new StoreAvailability(log);
    const watchers = new ConfigurationWatchers({
      node,
      directory,
      now: () => performance.now(),
    });
    this.availability = availability;
    this.watchers = watchers;
    this.freshness = this.#openFreshness(options);
    this.configuration = new ConfigurationSync({
      store,
      configuration,
      availability,
      mustWatch: () => watchers.mustWatch,
      isElected: () => watchers.elected.includes(node),
      watchWaitMs: watchWaitMs(options.proofs?.limitMs),
      freshness: this.freshness,
    });
    this.records = new RecordSync({ ...options, availability });
  }

  /** Whether requests with credentials may be served now. */
  get mayUseCredentials(): boolean {
    return this.freshness?.mayUseCredentials ?? true;
  }

  /**
   * Records that a peer has named its version. Where proofs are needed, only these
   * show that a node watches the store.
   */
  recordVersion(frame: HelloFrame | VersionFrame): void {
    if (this.freshness !== undefined) {
      this.freshness.hear(frame.configurationVersion);
    } else if (frame.kind === "version" && frame.followsStore) {
      this.watchers.recordAnnouncement();
    }
  }

  /** Era of the store, as far as this node knows; 0 if it names none. */
  get era(): number {
    return this.#store.era.current;
  }

  /** Starts to follow the store. */
  start(): void {
    this.configuration.start();
    this.records.start();
  }

  /** Ends after the current calls to the store. */
  close(): void {
    this.availability.close();
    this.configuration.close();
    this.records.close();
  }

  #openFreshness(
    { configuration, directory, log, node, proofs }: StoreSyncOptions,
  ): ConfigurationFreshness | undefined {
    if (proofs === undefined) return undefined;
    const { isFirstStart, limitMs, links } = proofs;
    const { watchers } = this;
    return new ConfigurationFreshness({
      node,
      limitMs,
      clocks: {
        monotonic: () => performance.now(),
        wall: () => Date.now(),
      },
      random: Math.random,
      version: () => configuration.version,
      elected: () =>
        watchers.elected.filter((elected) => links().isLinkedTo(elected)),
      isNear: (other) =>
        directory.get(other)?.dataCentre === directory.get(node)?.dataCentre,
      isAlone: () =>
        this.records.hasFreshRecords &&
        directory.records.every(({ record }) => record.node === node),
      isFirstStart,
      send: (peer, frame) => links().sendTo(peer, frame),
      onPeerProof: () => watchers.recordAnnouncement(),
      log,
    });
  }
}
