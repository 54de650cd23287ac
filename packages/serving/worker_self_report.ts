import type { WorkerStatement } from "@oleanderdeck/hop";
import type { RequestLimit } from "./request_limit.ts";
import type { AnswerStatement } from "./worker_call.ts";
import { WorkerLimit, type WorkerLimitOptions } from "./worker_limit.ts";

/**
 * What the worker beside this node says of itself in its answers: the requests
 * that it takes, and that it leaves. Callers' nodes keep it and send it with
 * their calls, so that a process which was restarted beside a worker that goes on
 * learns it again.
 */
export class WorkerSelfReport {
  readonly #options: WorkerLimitOptions;
  readonly #limit: WorkerLimit;
  /** Whether a caller's node knows what an earlier incarnation has said. */
  #hasOutdatedCaller = false;

  /** @param options State of the worker and receivers of changes. */
  constructor(options: WorkerLimitOptions) {
    this.#options = options;
    this.#limit = new WorkerLimit(options);
  }

  /** Limit on the calls to the worker. */
  get limit(): RequestLimit {
    return this.#limit.requests;
  }

  /**
   * What the worker has said; undefined as long as it has said nothing and no
   * caller knows what an earlier one has said.
   */
  get statement(): WorkerStatement | undefined {
    const { hasLeft: isLeaving, state } = this.#options.tracker;
    const isOfInterest = isLeaving || this.#limit.hasNamedLimit ||
      this.#hasOutdatedCaller;
    if (!isOfInterest) return undefined;
    const { startedAt, workerId } = state;
    const requestsPerSecond = this.limit.perSecond;
    return { workerId, startedAt, requestsPerSecond, isLeaving };
  }

  /**
   * Takes over what an answer says.
   *
   * @param workerId Worker to which the call was sent.
   */
  observe(
    workerId: string,
    { isLeaving, requestLimit }: AnswerStatement,
  ): void {
    if (workerId !== this.#options.tracker.state.workerId) return;
    this.#limit.observe(requestLimit);
    if (isLeaving) this.#markLeft(workerId);
  }

  /** Takes over what a caller's node knows that the worker has said. */
  learn(statement: WorkerStatement): void {
    const { tracker } = this.#options;
    const { isLeaving, startedAt, workerId } = statement;
    const isUnknown = tracker.state.workerId === "";
    if (!isUnknown && !tracker.isCurrent(statement)) {
      this.#hasOutdatedCaller = true;
      return;
    }
    if (isLeaving) this.#markLeft(workerId, startedAt);
    if (!isUnknown) this.#limit.learn(statement.requestsPerSecond);
  }

  #markLeft(workerId: string, startedAt?: number): void {
    const { observer, tracker } = this.#options;
    if (tracker.hasLeft) return;
    if (tracker.markLeft(workerId, startedAt)) observer?.onLeaving(workerId);
  }
}
