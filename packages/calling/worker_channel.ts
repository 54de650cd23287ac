import type { LoadReport } from "@oleanderdeck/hop";
import type {
  CallHandle,
  WorkerCall,
  WorkerResult,
} from "@oleanderdeck/serving";

/** Way to one worker, on this host or on another one. */
export abstract class WorkerChannel {
  /** Name of the node beside the worker. */
  abstract readonly node: string;
  abstract readonly dataCentre: string;
  /** Time for a message to the worker's node and back, in milliseconds. */
  abstract readonly roundTripMs: number;
  /** Last known load; undefined before the first report. */
  abstract readonly load: LoadReport | undefined;
  /** Calls of this node that have no outcome yet. */
  abstract readonly unfinished: number;
  /** Whether the node beside the worker can be reached, as far as known. */
  abstract readonly isReachable: boolean;

  /**
   * Sends a call of a service to the worker.
   *
   * @param call Call to run.
   * @param options Service of the call and receiver of the outcome.
   */
  abstract run(call: WorkerCall, options: ChannelRunOptions): CallHandle;
}

/** Options of {@linkcode WorkerChannel.run}. */
export interface ChannelRunOptions {
  readonly service: string;
  /** Receives the outcome once. */
  readonly finish: (result: WorkerResult) => void;
}
