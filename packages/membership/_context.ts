import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { HeldConfiguration, Member } from "@oleanderdeck/protocol";
import type { EventLog } from "@oleanderdeck/observability";
import type { Clock } from "@oleanderdeck/settings";
import type { Disseminator } from "./_disseminator.ts";
import type { LocalHealth } from "./_local_health.ts";
import type { MemberEntry, MemberTable } from "./_member_table.ts";
import type { PeerLink } from "./_peer_link.ts";

/** State and services that the tasks of a `Membership` share. */
export interface MembershipContext {
  readonly clock: Clock;
  readonly random: RandomGenerator;
  readonly table: MemberTable;
  readonly link: PeerLink;
  readonly disseminator: Disseminator;
  readonly health: LocalHealth;
  readonly log: EventLog | undefined;
  /** The node's own record. */
  readonly self: () => Member;
  /** Version, digest and store contact of the configuration, sent with probes. */
  readonly configuration: () => HeldConfiguration | undefined;
  /** Merges a state change that this node has detected itself, and gossips it. */
  readonly applyLocal: (record: Member) => void;
}

/** Whether an entry belongs to another node than this one. */
export function isPeer(
  context: MembershipContext,
  entry: MemberEntry,
): boolean {
  return entry.member.nodeId !== context.self().nodeId;
}
