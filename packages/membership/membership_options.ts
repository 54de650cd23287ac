import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { EventLog } from "@oleanderdeck/observability";
import type { Member } from "@oleanderdeck/protocol";
import type { Clock } from "@oleanderdeck/settings";
import type { DropCounters } from "./_peer_link.ts";
import type {
  DatagramTransport,
  TransportCounters,
} from "./datagram_transport.ts";
import type { PeerKeys } from "./peer_keys.ts";

/** Options of a `Membership`. */
export interface MembershipOptions {
  /** Unique in the fleet, at most 48 characters. */
  readonly nodeId: string;
  /** A new one by `newIncarnation` if absent. */
  readonly incarnation?: bigint;
  /** Address that peers use; the transport's own if absent. */
  readonly peerAddress?: string;
  readonly callAddress: string;
  readonly controlAddress: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly transport: DatagramTransport;
  readonly keys: PeerKeys;
  readonly clock: Clock;
  readonly random: RandomGenerator;
  /** Peer addresses of seeds; asked again at each attempt to join. */
  readonly seeds: () => Promise<readonly string[]>;
  /**
   * Asks a peer for its whole list of members, by
   * `Membership.syncMembers` on its side. Datagrams alone are used if
   * absent, which takes minutes in a fleet of thousands.
   */
  readonly pullMembers?: (peer: Member) => Promise<readonly Member[]>;
  readonly log?: EventLog;
}

/** Figures about a membership for metrics. */
export interface MembershipCounters {
  readonly traffic: TransportCounters;
  /** Datagrams dropped on receipt, by reason. */
  readonly drops: DropCounters;
  /** Score of the node's own health, 0 when it is well. */
  readonly healthScore: number;
  /** Updates that still have to be sent to peers. */
  readonly pendingUpdates: number;
  readonly liveMembers: number;
  /** Suspicions of this node that it refuted. */
  readonly refutations: number;
}
