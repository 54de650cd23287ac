import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { HeldConfiguration, Member } from "@oleanderdeck/protocol";
import type { EventLog } from "@oleanderdeck/observability";
import type { Clock } from "@oleanderdeck/settings";
import type { Disseminator } from "./_disseminator.ts";
import type { LocalHealth } from "./_local_health.ts";
import type { MemberEntry, MemberTable } from "./_member_table.ts";
import type { PeerLink } from "./_peer_link.ts";

/** What the tasks of a {@linkcode Membership} share. */
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
  /** What probes tell about the node's configuration. */
  readonly configuration: () => HeldConfiguration | undefined;
  /** Takes a record that the node found out itself, and passes it on. */
  readonly applyLocal: (record: Member) => void;
}

/** Whether an entry is a peer of the node, not the node itself. */
export function isPeer(
  context: MembershipContext,
  entry: MemberEntry,
): boolean {
  return entry.member.nodeId !== context.self().nodeId;
}
