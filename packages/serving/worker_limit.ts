import { parseRequestLimit, RequestLimit } from "./request_limit.ts";
import type { GateObserver } from "./worker_gate_options.ts";
import {
  UNKNOWN_START,
  type WorkerState,
  type WorkerTracker,
} from "./worker_state.ts";

/** Options of {@linkcode WorkerLimit}. */
export interface WorkerLimitOptions {
  readonly tracker: WorkerTracker;
  readonly observer?: GateObserver;
  /** Called after each change of the limit. */
  readonly onChange: () => void;
}

/**
 * Limit that the worker beside this node names in its answers. It holds until an
 * answer names another one or none, and for one incarnation of the worker.
 */
export class WorkerLimit {
  /** Spaces the calls to the worker. */
  readonly requests = new RequestLimit(() => performance.now());
  readonly #options: WorkerLimitOptions;
  #worker: Pick<WorkerState, "workerId" | "startedAt">;
  #isMalformedReported = false;

  /** @param options State of the worker and receivers of changes. */
  constructor(options: WorkerLimitOptions) {
    this.#options = options;
    this.#worker = options.tracker.state;
    options.tracker.onChange((state) => this.#onWorkerChange(state));
  }

  /**
   * Takes over what an answer of the worker says.
   *
   * @param workerId Worker to which the call was sent.
   * @param text Limit that its answer names; undefined if it names none.
   */
  observe(workerId: string, text: string | undefined): void {
    if (workerId !== this.#worker.workerId) return;
    const limit = text === undefined ? undefined : parseRequestLimit(text);
    if (text !== undefined && limit === undefined) {
      return this.#reportMalformed(text);
    }
    this.#set(limit);
  }

  #set(limit: number | undefined): void {
    if (limit === this.requests.perSecond) return;
    this.requests.set(limit);
    this.#options.observer?.onLimitChanged(this.#worker.workerId, limit);
    this.#options.onChange();
  }

  #reportMalformed(text: string): void {
    if (this.#isMalformedReported) return;
    this.#isMalformedReported = true;
    this.#options.observer?.onMalformedLimit(this.#worker.workerId, text);
  }

  #onWorkerChange({ workerId, startedAt }: WorkerState): void {
    const known = this.#worker;
    const isSame = workerId === known.workerId &&
      (startedAt === known.startedAt || known.startedAt === UNKNOWN_START);
    this.#worker = { workerId, startedAt };
    if (isSame) return;
    this.#isMalformedReported = false;
    this.#set(undefined);
  }
}
