import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { PolicyView } from "@oleanderdeck/agreement";
import type { SlotLeaseOwner } from "@oleanderdeck/leases";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import type { RoutingPolicy } from "@oleanderdeck/routing";
import type { Clock } from "@oleanderdeck/settings";
import type { UsageAccounts } from "./_usage.ts";

/** Mechanisms that can be switched off for comparison. */
export interface AdmissionMechanisms {
  /** Slot leases; without them every call is forwarded. */
  readonly leases: boolean;
  /** Shedding threshold by standing delay. */
  readonly shedding: boolean;
  /** Thresholds of downstream services apply to upstream calls. */
  readonly pressure: boolean;
  /** Shares of organisations; without them all count as one. */
  readonly fairShares: boolean;
  /** Order by priority; without it all requests count as `normal`. */
  readonly priorities: boolean;
  /** Early refusal of calls whose deadline cannot be met. */
  readonly deadlines: boolean;
  /** Offer that follows observed durations. */
  readonly adaptiveLimit: boolean;
  /** Limits of organisations over the whole graph. */
  readonly rateLimits: boolean;
}

/** All mechanisms are in use. */
export const ALL_MECHANISMS: AdmissionMechanisms = {
  leases: true,
  shedding: true,
  pressure: true,
  fairShares: true,
  priorities: true,
  deadlines: true,
  adaptiveLimit: true,
  rateLimits: true,
};

/** Collaborators that the services of a node share. */
export interface AdmissionContext {
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  readonly random: RandomGenerator;
  readonly policies: () => PolicyView;
  readonly routing: RoutingPolicy;
  readonly owner: SlotLeaseOwner;
  readonly usage: UsageAccounts;
  readonly mechanisms: AdmissionMechanisms;
  /** Weight of an organisation, above 0. */
  readonly weight: (organisation: string) => number;
  /** Counts a root call and tells whether the organisation's limit allows it. */
  readonly acquireRateToken: (
    organisation: string,
  ) => boolean | Promise<boolean>;
  /** Is called when a slot of the own worker was given back. */
  readonly onOwnSlotReleased: () => void;
  /** Is called when the threshold of a service may have changed. */
  readonly onThresholdChange: (service: string) => void;
}
