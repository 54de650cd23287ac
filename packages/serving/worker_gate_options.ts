import type { LoadReport } from "@oleanderdeck/hop";
import type { RepeatBudget } from "@oleanderdeck/retries";
import type { HeaderNames } from "./header_names.ts";
import type { WorkerCall } from "./worker_call.ts";
import type { WorkerConnections } from "./worker_connections.ts";
import type { WorkerTracker } from "./worker_state.ts";

/** Options of {@linkcode WorkerGate}. */
export interface WorkerGateOptions {
  readonly tracker: WorkerTracker;
  readonly connections: WorkerConnections;
  readonly names: HeaderNames;
  /** Limit on the repeats that are sent to the worker. */
  readonly repeats: RepeatBudget;
  readonly observer?: GateObserver;
}

/**
 * Is notified of calls that are sent, of repeats that are refused and of what
 * the worker says of itself in its answers.
 */
export interface GateObserver {
  /** Called when a call is about to be sent to the worker. */
  onRunning(call: WorkerCall): void;
  /** Called when a call is refused because the limit on repeats is reached. */
  onRepeatRefused(call: WorkerCall): void;
  /**
   * Called when the worker names another limit than before.
   *
   * @param workerId Identity of the worker.
   * @param requestsPerSecond Its limit; undefined if it names none any more.
   */
  onLimitChanged(
    workerId: string,
    requestsPerSecond: number | undefined,
  ): void;
  /**
   * Called when an answer of the worker says that it is leaving.
   *
   * @param workerId Identity of the worker.
   */
  onLeaving(workerId: string): void;
  /**
   * Called once for a worker that names a limit which is not a number.
   *
   * @param workerId Identity of the worker.
   * @param text Limit as the worker names it.
   */
  onMalformedLimit(workerId: string, text: string): void;
}

/** Fields of a load report that the gate cannot determine itself. */
export type DownstreamLoad = Pick<
  LoadReport,
  | "pressure"
  | "routePressures"
  | "unrepeatableRoutes"
  | "admission"
  | "routeAdmission"
>;

/** Handle of a call that was passed to the gate. */
export interface CallHandle {
  /**
   * Cancels the call if it still waits or is idempotent; it then finishes with
   * the error `caller_cancelled`. A call at the worker that is not idempotent
   * continues, and its outcome is reported as usual.
   */
  readonly cancel: () => void;
}
