import type { AdmissionControl } from "@oleanderdeck/admission";
import type { PolicyView } from "@oleanderdeck/agreement";
import type { PermitLedger } from "@oleanderdeck/idempotency";
import type { MemberView, PeerKeys } from "@oleanderdeck/membership";
import type { EventLog, StatsdMetrics } from "@oleanderdeck/observability";
import type {
  AllowanceLedger,
  AllowanceSettlement,
  RetryBudget,
  RetryPolicy,
} from "@oleanderdeck/retries";
import type { Clock } from "@oleanderdeck/settings";
import type { BackendServerRegistration } from "./backend_server_registration.ts";

/** Dependencies of a call server on the rest of the node. */
export interface CallServerOptions {
  /**
   * Returns the compiled view of the current policy documents; undefined until
   * the node has loaded them.
   */
  readonly policy: () => PolicyView | undefined;
  /** Admission control that assigns a target to each attempt. */
  readonly admission: AdmissionControl;
  /** Keys shared by all nodes, for contexts and forwarded calls. */
  readonly keys: PeerKeys;
  /** View of the membership: this node, and other nodes by id. */
  readonly members: Pick<MemberView, "self" | "find">;
  /** Permits and outcomes of non-idempotent requests. */
  readonly permitLedger: PermitLedger;
  /** Retries that other nodes have lent to calls of this node. */
  readonly allowanceLedger: AllowanceLedger;
  readonly retryPolicy: RetryPolicy;
  readonly retryBudget: RetryBudget;
  /** Recovers unused retries that were lent to other nodes. */
  readonly allowanceSettlement: AllowanceSettlement;
  /** Registration of the backend server on the host of this node. */
  readonly registration: BackendServerRegistration;
  readonly metrics: Pick<
    StatsdMetrics,
    "countRefusal" | "countRetry" | "count" | "timing"
  >;
  readonly log: Pick<EventLog, "write">;
  readonly clock: Clock;
  /** Returns whether the node accepts calls once it has a policy view. */
  readonly ready?: () => boolean;
}
