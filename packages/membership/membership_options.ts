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
  /** Id of the node, unique in the fleet; 1 to 48 characters. */
  readonly nodeId: string;
  /** Incarnation of the process; one of `newIncarnation` if absent. */
  readonly incarnation?: bigint;
  /** Address that peers send datagrams to; that of the transport if absent. */
  readonly peerAddress?: string;
  readonly callAddress: string;
  readonly controlAddress: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly transport: DatagramTransport;
  readonly keys: PeerKeys;
  readonly clock: Clock;
  readonly random: RandomGenerator;
  /** Returns the peer addresses of the seeds; called at each attempt to join. */
  readonly seeds: () => Promise<readonly string[]>;
  /**
   * Requests the complete list of members from a peer, which answers with
   * `Membership.syncMembers`. If absent, the list comes by datagrams alone, which
   * takes minutes in a fleet of thousands.
   */
  readonly pullMembers?: (peer: Member) => Promise<readonly Member[]>;
  readonly log?: EventLog;
}

/** Counters and gauges of a membership for metrics. */
export interface MembershipCounters {
  readonly traffic: TransportCounters;
  /** Datagrams dropped on receipt, by reason. */
  readonly drops: DropCounters;
  /** Score of the node's own health, 0 (healthy) to 8. */
  readonly healthScore: number;
  /** Number of updates that still have to be sent to peers. */
  readonly pendingUpdates: number;
  /** Number of live members, including the node itself. */
  readonly liveMembers: number;
  /** Number of suspicions of this node that it refuted. */
  readonly refutations: number;
}
