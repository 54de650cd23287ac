import { parseRequestLimit, RequestLimit } from "./request_limit.ts";
import type { GateObserver } from "./worker_gate_options.ts";
import {
  isSameIncarnation,
  type WorkerIncarnation,
} from "./worker_incarnation.ts";
import type { WorkerTracker } from "./worker_state.ts";

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
  #worker: WorkerIncarnation;
  /** Whether an answer of this incarnation has reached this process. */
  #hasAnswered = false;
  #hasNamedLimit = false;
  #isMalformedReported = false;

  /** @param options State of the worker and receivers of changes. */
  constructor(options: WorkerLimitOptions) {
    this.#options = options;
    this.#worker = options.tracker.state;
    options.tracker.onChange((state) => this.#onWorkerChange(state));
  }

  /** Whether the worker has ever named a limit, as far as known. */
  get hasNamedLimit(): boolean {
    return this.#hasNamedLimit;
  }

  /**
   * Takes over the limit that another node knows, until the worker's first
   * answer to this process.
   *
   * @param limit Requests a second; undefined for no limit.
   */
  learn(limit: number | undefined): void {
    this.#hasNamedLimit = true;
    if (!this.#hasAnswered) this.#set(limit);
  }

  /**
   * Takes over the limit that an answer of the worker names.
   *
   * @param text Limit as the answer names it; undefined if it names none.
   */
  observe(text: string | undefined): void {
    const limit = text === undefined ? undefined : parseRequestLimit(text);
    if (text !== undefined && limit === undefined) {
      return this.#reportMalformed(text);
    }
    this.#hasAnswered = true;
    this.#set(limit);
  }

  #set(limit: number | undefined): void {
    this.#hasNamedLimit ||= limit !== undefined;
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

  #onWorkerChange({ workerId, startedAt }: WorkerIncarnation): void {
    const known = this.#worker;
    this.#worker = { workerId, startedAt };
    if (isSameIncarnation(this.#worker, known)) return;
    this.#isMalformedReported = false;
    this.#set(undefined);
    this.#hasAnswered = false;
    this.#hasNamedLimit = false;
  }
}
