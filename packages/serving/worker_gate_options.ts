import type { LoadReport } from "@oleanderdeck/hop";
import type { RepeatBudget } from "@oleanderdeck/retries";
import type { HeaderNames } from "./header_names.ts";
import type { WorkerCall } from "./worker_call.ts";
import type { WorkerConnections } from "./worker_connections.ts";
import type { WorkerTracker } from "./worker_state.ts";

/** Options of `WorkerGate`. */
export interface WorkerGateOptions {
  readonly tracker: WorkerTracker;
  readonly connections: WorkerConnections;
  readonly names: HeaderNames;
  /** Bound of the repeats that the worker gets. */
  readonly repeats: RepeatBudget;
  readonly observer?: GateObserver;
}

/** Receives what the gate decides about repeats. */
export interface GateObserver {
  /** A call goes to the worker. */
  onRunning(call: WorkerCall): void;
  /** A call is refused because the bound of repeats is reached. */
  onRepeatRefused(call: WorkerCall): void;
}

/** Part of a load report that the gate does not know by itself. */
export type DownstreamLoad = Pick<
  LoadReport,
  "pressure" | "routePressures" | "unrepeatableRoutes"
>;

/** A call that was handed to the gate. */
export interface CallHandle {
  /**
   * Withdraws the call. The outcome still arrives unless the worker goes on
   * with it.
   */
  readonly cancel: () => void;
}
