import type { LoadReport } from "@oleanderdeck/hop";
import type {
  CallHandle,
  WorkerCall,
  WorkerResult,
} from "@oleanderdeck/serving";

/** Channel to one worker, on this host or on another one. */
export abstract class WorkerChannel {
  /** Name of the node on the worker's host. */
  abstract readonly node: string;
  abstract readonly dataCentre: string;
  /** Round-trip time to the worker's node, in milliseconds. */
  abstract readonly roundTripMs: number;
  /** Last load report of the worker; undefined if there is none. */
  abstract readonly load: LoadReport | undefined;
  /** Number of calls on this channel that have no outcome yet. */
  abstract readonly unfinishedCalls: number;
  /** Whether the worker's node can be reached, as far as known. */
  abstract readonly isReachable: boolean;
  /**
   * Whether the worker's node cannot be reached at present, but a link to it is
   * being opened, for which a call can wait.
   */
  abstract readonly isOpening: boolean;
  /** Whether no call was sent to the worker on this channel so far. */
  abstract readonly isUnused: boolean;
  /**
   * Time of the last call on this channel, as of `performance.now()`; -Infinity
   * before the first.
   */
  abstract readonly lastCallAt: number;

  /**
   * Sends a call of a service to the worker.
   *
   * @param call Call to run.
   * @param options Service of the call and receiver of the outcome.
   * @returns Handle that cancels the call.
   */
  abstract run(call: WorkerCall, options: ChannelRunOptions): CallHandle;
}

/** Options of {@linkcode WorkerChannel.run}. */
export interface ChannelRunOptions {
  readonly service: string;
  /**
   * Whether the call may be sent now; checked when it is sent after a wait for a
   * link. Always if absent.
   */
  readonly maySend?: (() => boolean) | undefined;
  /** Called once with the outcome. */
  readonly finish: (result: WorkerResult) => void;
}
