import type {
  Configuration,
  ConfigurationHolder,
  StoredRecord,
  WorkerDirectory,
} from "@oleanderdeck/directory";
import type { Frame } from "@oleanderdeck/hop";

/** Time for the store to tell a version before a peer is asked for it. */
const PEER_CONFIGURATION_DELAY_MS = 300;

/** What one node passes on to another that cannot reach the store. */
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
  /** Called after a peer has told what it knows. */
  readonly onStateApplied: () => void;
}

/**
 * Passes the configuration and the records of workers between nodes, for those
 * that cannot reach the platform's store or hear of a version late.
 */
export class PeerStateSync {
  readonly #options: PeerStateSyncOptions;

  /** @param options What is passed on. */
  constructor(options: PeerStateSyncOptions) {
    this.#options = options;
  }

  /** Asks a peer for what it knows if its configuration stays the newer one. */
  requestStateIfNewer(version: number, peer: FrameSink): void {
    const { configuration } = this.#options;
    if (version <= configuration.version) return;
    const delay = configuration.version === 0 ? 0 : PEER_CONFIGURATION_DELAY_MS;
    setTimeout(() => {
      if (version > configuration.version) {
        peer.send({ kind: "knowledge_request" });
      }
    }, delay);
  }

  /** Tells a peer what this node knows. */
  sendState(peer: FrameSink): void {
    const { configuration, directory } = this.#options;
    const peerState: PeerState = {
      configuration: configuration.current,
      records: directory.records,
    };
    const body = Buffer.from(JSON.stringify(peerState));
    peer.send({ kind: "knowledge", body });
  }

  /** Takes what a peer knows, where it is newer. */
  applyState(body: Buffer): void {
    const { configuration, directory, onStateApplied } = this.#options;
    const peerState = JSON.parse(body.toString("utf8")) as PeerState;
    if (peerState.configuration !== undefined) {
      configuration.put(peerState.configuration);
    }
    peerState.records.forEach((stored) => directory.put(stored));
    onStateApplied();
  }
}
