import {
  type Configuration,
  type ConfigurationHolder,
  isConfiguration,
  isStoredRecord,
  type StoredRecord,
  type WorkerDirectory,
} from "@oleanderdeck/directory";
import type {
  Frame,
  HelloFrame,
  ProofFrame,
  VersionFrame,
} from "@oleanderdeck/hop";

/**
 * Time for the store to deliver a new version of the configuration to a node
 * that watches it, before a peer is asked for it, in milliseconds.
 */
const STORE_DELIVERY_MS = 300;

/**
 * Time over which the requests of all nodes for a new configuration are spread,
 * in milliseconds.
 */
const REQUEST_SPREAD_MS = 50;

/**
 * Time after which a requested configuration that has not arrived is requested
 * again, in milliseconds.
 */
const REQUEST_TIMEOUT_MS = 450;

/**
 * State that a node sends to a peer which cannot reach the store; the body of a
 * `knowledge` frame as JSON.
 */
interface PeerState {
  readonly configuration: Configuration | undefined;
  readonly records: readonly StoredRecord[];
}

/** Peer that frames can be sent to. */
export interface FrameSink {
  send(frame: Frame): void;
}

/** Options of {@linkcode PeerStateSync}. */
export interface PeerStateSyncOptions {
  readonly configuration: ConfigurationHolder;
  readonly directory: WorkerDirectory;
  /** Whether this node watches the latest configuration in the store. */
  readonly isFollowing: () => boolean;
  /** Whether this node cannot reach the store. */
  readonly isStoreUnavailable: () => boolean;
}

/**
 * Exchanges the configuration and the records of workers between nodes, for
 * nodes that do not watch the platform's store or cannot reach it.
 */
export class PeerStateSync {
  readonly #options: PeerStateSyncOptions;
  /** Version that was requested last, and the time of the request. */
  #requested = { version: 0, at: -Infinity };
  /** Newest version that peers have named, the first time and how often. */
  #announced = { version: 0, at: -Infinity, count: 0 };
  #encoded: { version: number; body: Buffer } | undefined;

  /** @param options Configuration and directory that are exchanged. */
  constructor(options: PeerStateSyncOptions) {
    this.#options = options;
  }

  /**
   * Returns the time since a peer named a version or a newer one, in
   * milliseconds; infinite if none has.
   */
  sinceAnnounced(version: number): number {
    return version <= this.#announced.version
      ? performance.now() - this.#announced.at
      : Infinity;
  }

  /** Returns how often peers have named a version or a newer one. */
  announcementsOf(version: number): number {
    return version <= this.#announced.version ? this.#announced.count : 0;
  }

  /** Whether a peer has named a newer version than this node has. */
  get isBehind(): boolean {
    return this.#announced.version > this.#options.configuration.version;
  }

  /** Announces the version of this node's configuration. */
  get announcement(): VersionFrame {
    return {
      kind: "version",
      configurationVersion: this.#options.configuration.version,
      followsStore: this.#options.isFollowing(),
    };
  }

  /**
   * Requests the configuration of a peer if it is newer. A node that watches the
   * store first gives the store time to deliver it. A node without a
   * configuration or without the store also requests the records, and so does
   * one whose peer may be of an earlier release, which sends them together only.
   *
   * @param frame Version of the peer's configuration.
   * @param peer Peer that sent the frame.
   */
  requestIfNewer(
    frame: HelloFrame | VersionFrame | ProofFrame,
    peer: FrameSink,
  ): void {
    const { configurationVersion: version } = frame;
    const { configuration, isFollowing, isStoreUnavailable } = this.#options;
    if (version > this.#announced.version) {
      this.#announced = { version, at: performance.now(), count: 0 };
    }
    if (version === this.#announced.version) this.#announced.count++;
    if (version <= configuration.version || this.#isRequested(version)) return;
    this.#requested = { version, at: performance.now() };
    const isCurrentRelease = frame.kind === "proof" ||
      frame.kind === "version" && frame.followsStore;
    const needsRecords = configuration.version === 0 || isStoreUnavailable() ||
      !isCurrentRelease;
    const kind = needsRecords ? "knowledge_request" : "configuration_request";
    const delayMs = configuration.version === 0
      ? 0
      : isFollowing()
      ? STORE_DELIVERY_MS
      : Math.random() * REQUEST_SPREAD_MS;
    setTimeout(() => {
      if (version > configuration.version) peer.send({ kind });
    }, delayMs);
  }

  #isRequested(version: number): boolean {
    return version <= this.#requested.version &&
      performance.now() - this.#requested.at < REQUEST_TIMEOUT_MS;
  }

  /** Sends the configuration of this node to a peer. */
  sendConfiguration(peer: FrameSink): void {
    const { current } = this.#options.configuration;
    if (current === undefined) return;
    if (this.#encoded?.version !== current.version) {
      const body = Buffer.from(JSON.stringify(current));
      this.#encoded = { version: current.version, body };
    }
    peer.send({ kind: "configuration", body: this.#encoded.body });
  }

  /** Sends the configuration and the records of this node to a peer. */
  sendState(peer: FrameSink): void {
    const { configuration, directory } = this.#options;
    const peerState: PeerState = {
      configuration: configuration.current,
      records: directory.records,
    };
    const body = Buffer.from(JSON.stringify(peerState));
    peer.send({ kind: "knowledge", body });
  }

  /**
   * Applies the configuration received from a peer, if it is newer. One of
   * another form is left out.
   *
   * @param body Body of a `configuration` frame.
   * @throws {SyntaxError} If the body is not valid JSON; the link is then closed.
   */
  applyConfiguration(body: Buffer): void {
    this.#putConfiguration(JSON.parse(body.toString("utf8")));
  }

  /**
   * Applies the state received from a peer, where it is newer. A configuration or
   * record of another form is left out.
   *
   * @param body Body of a `knowledge` frame.
   * @throws {SyntaxError} If the body is not valid JSON; the link is then closed.
   */
  applyState(body: Buffer): void {
    const { directory } = this.#options;
    const peerState: Partial<PeerState> | null = JSON.parse(
      body.toString("utf8"),
    );
    this.#putConfiguration(peerState?.configuration);
    [peerState?.records].flat().filter(isStoredRecord)
      .forEach((stored) => directory.putFromPeer(stored));
  }

  #putConfiguration(received: unknown): void {
    if (!isConfiguration(received)) return;
    this.#options.configuration.put(received, "peer");
  }
}
