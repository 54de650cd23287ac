import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { PolicyView } from "@oleanderdeck/agreement";
import type { SlotLeaseOwner } from "@oleanderdeck/leases";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import type { RoutingPolicy } from "@oleanderdeck/routing";
import type { Clock } from "@oleanderdeck/settings";
import type { UsageAccounts } from "./_usage.ts";

/** Mechanisms of admission control that can be switched off for comparison. */
export interface AdmissionMechanisms {
  /** Slot leases. Without them, every call to a peer worker is forwarded. */
  readonly leases: boolean;
  /** Shedding threshold that follows the standing delay of the queue. */
  readonly shedding: boolean;
  /** Propagation of the thresholds of downstream services to upstream calls. */
  readonly pressure: boolean;
  /** Fair shares. Without them, all organisations count as one. */
  readonly fairShares: boolean;
  /** Order by priority. Without it, all requests count as `normal`. */
  readonly priorities: boolean;
  /** Early refusal of calls whose deadline cannot be met. */
  readonly deadlines: boolean;
  /** Number of offered slots that adapts to the observed call durations. */
  readonly adaptiveLimit: boolean;
  /** Rate limits of organisations, which apply across all nodes. */
  readonly rateLimits: boolean;
}

/** Setting in which all mechanisms are in use. */
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

/** Collaborators that the {@linkcode ServiceAdmission}s of a node share. */
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
  /** Returns the weight of an organisation, above 0. */
  readonly weight: (organisation: string) => number;
  /**
   * Counts a root call and returns whether the rate limit of its organisation
   * allows it.
   */
  readonly acquireRateToken: (
    organisation: string,
  ) => boolean | Promise<boolean>;
  /** Called when a slot of the own worker has been released. */
  readonly onOwnSlotReleased: () => void;
  /** Called when the threshold of a service may have changed. */
  readonly onThresholdChange: (service: string) => void;
}
