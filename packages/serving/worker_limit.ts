import type { WorkerStatement } from "@oleanderdeck/hop";
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
  /** Whether an answer of this incarnation has reached this process. */
  #hasAnswered = false;
  /** Whether the worker has ever named a limit, as far as known. */
  #hasNamedLimit = false;
  #isMalformedReported = false;

  /** @param options State of the worker and receivers of changes. */
  constructor(options: WorkerLimitOptions) {
    this.#options = options;
    this.#worker = options.tracker.state;
    options.tracker.onChange((state) => this.#onWorkerChange(state));
  }

  /** What the worker has said; undefined if it has never named a limit. */
  get statement(): WorkerStatement | undefined {
    if (!this.#hasNamedLimit) return undefined;
    return { ...this.#worker, requestsPerSecond: this.requests.perSecond };
  }

  /**
   * Takes over what another node knows that the worker has said, until the
   * worker's first answer to this process. A process that was restarted beside a
   * worker that goes on does not know its limit.
   */
  learn(statement: WorkerStatement): void {
    if (!this.#isCurrent(statement)) return;
    this.#hasNamedLimit = true;
    if (!this.#hasAnswered) this.#set(statement.requestsPerSecond);
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
    this.#hasAnswered = true;
    this.#set(limit);
  }

  // Whether the identity is that of the known incarnation, as far as its start is
  // known.
  #isCurrent(
    { workerId, startedAt }: Pick<WorkerState, "workerId" | "startedAt">,
  ): boolean {
    const known = this.#worker;
    return workerId === known.workerId &&
      [startedAt, UNKNOWN_START].includes(known.startedAt);
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

  #onWorkerChange({ workerId, startedAt }: WorkerState): void {
    const isSame = this.#isCurrent({ workerId, startedAt });
    this.#worker = { workerId, startedAt };
    if (isSame) return;
    this.#isMalformedReported = false;
    this.#set(undefined);
    this.#hasAnswered = false;
    this.#hasNamedLimit = false;
  }
}
