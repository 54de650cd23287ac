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

/** What a call server needs from the rest of the node. */
export interface CallServerOptions {
  /** Documents in force; undefined until the node is ready. */
  readonly policy: () => PolicyView | undefined;
  readonly admission: AdmissionControl;
  readonly keys: PeerKeys;
  /** The node itself, and other nodes by id. */
  readonly members: Pick<MemberView, "self" | "find">;
  readonly ledger: PermitLedger;
  readonly allowances: AllowanceLedger;
  readonly retryPolicy: RetryPolicy;
  readonly retryBudget: RetryBudget;
  readonly settlement: AllowanceSettlement;
  /** Backend server beside this node. */
  readonly registration: BackendServerRegistration;
  readonly metrics: Pick<
    StatsdMetrics,
    "countRefusal" | "countRetry" | "count" | "timing"
  >;
  readonly log: Pick<EventLog, "write">;
  readonly clock: Clock;
  /** Whether the node takes calls, apart from a missing policy view. */
  readonly ready?: () => boolean;
}
