import type { Frame, HelloFrame } from "@oleanderdeck/hop";
import type { MemoryAccount } from "@oleanderdeck/serving";
import type { PeerChannel } from "./peer_channel.ts";
import type { WorkerStatements } from "./worker_statements.ts";

/** Options of {@linkcode PeerChannel}. */
export interface PeerChannelOptions {
  /** Name of the peer, the node on the worker's host. */
  readonly node: string;
  readonly dataCentre: string;
  /** Service of the worker on the peer's host. */
  readonly service: string;
  /** Address at which the peer accepts links, as host:port. */
  readonly address: string;
  /** Statements of all workers, which outlive the channel. */
  readonly statements: WorkerStatements;
  /** Returns the first frame sent on a new link. */
  readonly hello: () => HelloFrame;
  /** Account of the memory for answers. */
  readonly account: MemoryAccount;
  /** Called with each frame that does not concern calls or the load. */
  readonly onFrame: (frame: Frame, channel: PeerChannel) => void;
  /** Called when a link was opened, has ended or could not be opened. */
  readonly onLinkStateChange?: (event: LinkStateChange) => void;
}

/** Reports that a link was opened, has ended or could not be opened. */
export interface LinkStateChange {
  readonly node: string;
  readonly isOpen: boolean;
  readonly reason: string;
  /** Number of calls that had no outcome when the link ended. */
  readonly lostCalls?: number;
  /** Number of calls on a silent link that were claimed on the opened one. */
  readonly claimedCalls?: number;
}
