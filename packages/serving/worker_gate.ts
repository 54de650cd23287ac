import type { ErrorKind } from "@oleanderdeck/errors";
import type { LoadReport } from "@oleanderdeck/hop";
import { CallEstimates } from "./_call_estimates.ts";
import { RepeatAdmission } from "./_repeat_admission.ts";
import { Attempt } from "./attempt.ts";
import type { ChainInterval } from "./chain_admission.ts";
import { ChainCounter } from "./chain_counts.ts";
import type { GateIntervalCounts } from "./overload_meter.ts";
import { isNestedRank, queuePositionOf } from "./rank.ts";
import { RankedQueue } from "./ranked_queue.ts";
import { StopAdmission, type StopTimes } from "./stop_admission.ts";
import type { WorkerCall, WorkerResult } from "./worker_call.ts";
import type {
  CallHandle,
  DownstreamLoad,
  WorkerGateOptions,
} from "./worker_gate_options.ts";
import {
  isSameIncarnation,
  type WorkerIncarnation,
} from "./worker_incarnation.ts";
import { WorkerSelfReport } from "./worker_self_report.ts";

/**
 * Maximum wait for a slot of a request that begins a call chain, as a share of
 * its latency target. A longer wait would make answers late without increasing
 * the throughput. Calls within a chain wait as long as their answer can still
 * arrive in time, since refusing them wastes the work of the requests that made
 * them.
 */
const WAIT_SHARE_OF_TARGET = 0.3;

/**
 * Minimum time left with which a call is sent to the worker, in milliseconds.
 */
const MIN_TIME_LEFT_MS = 5;

/**
 * Consecutive refused connections after which the worker is considered to have
 * stopped and receives no calls until its next heartbeat.
 */
const REFUSED_CONNECTIONS_TO_SUSPEND = 2;

/**
 * Additional time after a call's deadline for an answer that the worker sends
 * just before it, in milliseconds.
 */
const LOST_ANSWER_MARGIN_MS = 300;

/** Maximum time after which a retry is suggested, in milliseconds. */
const MAX_RETRY_AFTER_MS = 2_000;

/** Call that waits for a slot or runs at the worker. */
interface PendingCall {
  /** Position in the queue; see {@linkcode queuePositionOf}. */
  readonly rank: number;
  readonly call: WorkerCall;
  readonly finish: (result: WorkerResult) => void;
  readonly arrivedAt: number;
  timer: NodeJS.Timeout | undefined;
  exchange: Attempt | undefined;
  startedAt: number;
}

/**
 * Admission control in front of the worker beside this node; all calls to the
 * worker pass it. It sends at most as many calls at the same time as the worker
 * has slots, and no more a second than the worker takes; it queues others by rank
 * and refuses, unsent, those that would wait too long. Repeats, which include the
 * calls that the execution of a repeat makes, are limited by a budget.
 */
export class WorkerGate {
  readonly #options: WorkerGateOptions;
  readonly #queue = new RankedQueue<PendingCall>();
  readonly #selfReport: WorkerSelfReport;
  readonly #repeats: RepeatAdmission;
  readonly #estimates = new CallEstimates();
  readonly #stopAdmission = new StopAdmission();
  readonly #chains = new ChainCounter();
  readonly #callsAtWorker = new Map<string, WorkerCall>();
  /** Requests during whose execution a call of the worker was refused. */
  readonly #refusedBelow = new WeakSet<WorkerCall>();
  /** Incarnation of the worker that the estimates are of. */
  #worker: WorkerIncarnation;
  #running = 0;
  #lastAnswerAt = performance.now();
  #refusedConnections = 0;
  #arrived = 0;
  #refused = 0;
  #limitTimer: NodeJS.Timeout | undefined;
  #isClosed = false;

  /**
   * @param options State of the worker, connections, header names and budget.
   */
  constructor(options: WorkerGateOptions) {
    this.#options = options;
    this.#repeats = new RepeatAdmission(options.repeats);
    this.#selfReport = new WorkerSelfReport({
      ...options,
      onChange: () => this.#startWaiting(),
    });
    this.#worker = options.tracker.state;
    options.tracker.onChange((state) => {
      if (!state.isReady) this.#refuseWaiting("draining");
      if (!isSameIncarnation(state, this.#worker)) this.#estimates.reset();
      this.#worker = state;
    });
  }

  /** Number of calls at the worker and in the queue. */
  get unfinished(): number {
    return this.#running + this.#queue.length;
  }

  /** Time since the worker's last answer, in milliseconds. */
  get sinceAnswerMs(): number {
    return performance.now() - this.#lastAnswerAt;
  }

  /** Whether new calls are accepted. */
  get isOpen(): boolean {
    return !this.#isClosed && this.#options.tracker.isUsable;
  }

  /**
   * Finds the request during whose execution the worker made a call. A request
   * that was cancelled or has failed is found as long as the worker may still
   * run it. The identity of the call is that of the request, followed by a dot
   * and a suffix.
   *
   * @param requestId Identity of the call that the worker made.
   * @returns The request; undefined if there is none.
   */
  parentRequestOf(requestId: string): WorkerCall | undefined {
    const end = requestId.lastIndexOf(".");
    return end < 0
      ? undefined
      : this.#callsAtWorker.get(requestId.slice(0, end));
  }

  /**
   * Records that a call which the worker made for a request was refused.
   *
   * @param request Request that the worker runs.
   */
  markRefusedBelow(request: WorkerCall): void {
    this.#refusedBelow.add(request);
  }

  /**
   * Returns the current load of the worker.
   *
   * @param downstream Overload of the worker and of the services that its calls
   * reach.
   */
  loadReport(downstream: DownstreamLoad): LoadReport {
    const { statement } = this.#selfReport;
    const pace = this.#estimates.pace(this.#options.tracker.state.slots);
    return {
      running: this.#running,
      waiting: this.#queue.length,
      slots: this.isOpen ? this.#usableSlots : 0,
      holdMs: Math.round(this.#estimates.holdMs),
      failureShare: Math.round(
        this.#estimates.failureShareAt(performance.now()) * 100,
      ) / 100,
      repeatShare: this.#repeats.unusedShare,
      ...downstream,
      ...(statement && { statement }),
      ...(pace < 1 && { pace: Math.round(pace * 100) / 100 }),
    };
  }

  /**
   * Sends a call to the worker, queues it or refuses it.
   *
   * @param call Call from this node or from a peer.
   * @param finish Called once, with the outcome.
   * @returns Handle that cancels the call.
   */
  run(call: WorkerCall, finish: (result: WorkerResult) => void): CallHandle {
    this.#arrived++;
    if (call.statement !== undefined) this.#selfReport.learn(call.statement);
    this.#estimates.recordLatencyTarget(call.latencyTargetMs);
    const pending: PendingCall = {
      rank: queuePositionOf(call.rank),
      call,
      finish,
      arrivedAt: performance.now(),
      timer: undefined,
      exchange: undefined,
      startedAt: 0,
    };
    if (this.isOpen) this.#chains.recordArrival(call);
    if (!this.isOpen) {
      this.#refuse(pending, this.#isClosed ? "draining" : "no_worker");
    } else if (!this.#endsBeforeStop(call)) {
      this.#refuse(pending, "draining");
    } else if (call.isRepeat && !this.#repeats.mayAdmit(call.rank)) {
      this.#refuseRepeat(pending);
    } else if (this.#queue.length === 0 && this.#startDelayMs === 0) {
      this.#start(pending);
    } else this.#enqueue(pending);
    return { cancel: () => this.#cancel(pending) };
  }

  /** Slots that calls can occupy within the limit of the worker. */
  get #usableSlots(): number {
    const { slots } = this.#options.tracker.state;
    return this.#selfReport.limit.usableSlots(slots, this.#estimates.holdMs);
  }

  /**
   * Time until the next call may be sent, in milliseconds; infinite if all slots
   * are in use.
   */
  get #startDelayMs(): number {
    return this.#running < this.#options.tracker.state.slots
      ? this.#selfReport.limit.waitMs(0)
      : Infinity;
  }

  /** Returns the counts since the last call of this method and resets them. */
  takeIntervalCounts(): GateIntervalCounts {
    const interval = {
      arrived: this.#arrived,
      refused: this.#refused,
      running: this.#running,
      waitMs: this.#expectedWaitMs(Infinity),
      latencyTargetMs: this.#estimates.latencyTargetMs,
      slots: this.#usableSlots,
    };
    this.#arrived = 0;
    this.#refused = 0;
    this.#repeats.update();
    return interval;
  }

  /**
   * Returns the counts of the chains since the last call of this method and
   * resets them.
   */
  takeChainCounts(): Omit<ChainInterval, "lengthMs" | "refused"> {
    return {
      counts: this.#chains.take(),
      slots: this.isOpen ? this.#usableSlots : 0,
      running: this.#running,
      waiting: this.#queue.length,
      waitMs: this.#expectedWaitMs(Infinity),
      latencyTargetMs: this.#estimates.latencyTargetMs,
    };
  }

  /** Begins to refuse calls that are not expected to end before the node does. */
  startStop(times: StopTimes): void {
    this.#stopAdmission.startStop(times);
  }

  /** Refuses all waiting and later calls; those at the worker continue. */
  close(): void {
    this.#isClosed = true;
    this.#refuseWaiting("draining");
  }

  #endsBeforeStop({ route, timeLeftMs }: WorkerCall): boolean {
    const deadline = performance.now() + timeLeftMs;
    return this.#stopAdmission.acceptsAtWorker(route, deadline);
  }

  #enqueue(pending: PendingCall): void {
    const { call } = pending;
    const usefulWaitMs = call.timeLeftMs - 2 * this.#estimates.holdMs;
    const maxWaitMs = isNestedRank(call.rank)
      ? usefulWaitMs
      : Math.min(call.latencyTargetMs * WAIT_SHARE_OF_TARGET, usefulWaitMs);
    if (this.#expectedWaitMs(pending.rank) > maxWaitMs) {
      return this.#refuse(pending, "queue_full");
    }
    pending.timer = setTimeout(() => {
      if (this.#queue.remove(pending)) this.#refuse(pending, "queue_full");
    }, maxWaitMs);
    this.#queue.push(pending);
    this.#startWaiting();
  }

  #expectedWaitMs(rank: number): number {
    const { slots } = this.#options.tracker.state;
    const waiting = this.#queue.lengthBefore(rank);
    const callsAhead = Math.max(0, waiting + this.#running + 1 - slots);
    return Math.max(
      callsAhead * this.#estimates.holdMs / Math.max(1, slots),
      this.#selfReport.limit.waitMs(waiting),
    );
  }

  #start(pending: PendingCall): void {
    clearTimeout(pending.timer);
    const now = performance.now();
    const timeLeftMs = pending.call.timeLeftMs - (now - pending.arrivedAt);
    if (timeLeftMs < MIN_TIME_LEFT_MS) {
      return this.#refuse(pending, "deadline_too_short");
    }
    const { call } = pending;
    const { names, connections, observer, tracker } = this.#options;
    if (!this.#repeats.take(call.isRepeat)) return this.#refuseRepeat(pending);
    observer?.onRunning(call);
    // The worker ends the call itself after the time in the request's header.
    // An exchange that lasts longer has lost its answer and would occupy its
    // slot for ever.
    pending.timer = setTimeout(
      () => pending.exchange?.cancel(),
      timeLeftMs + LOST_ANSWER_MARGIN_MS,
    );
    this.#running++;
    this.#selfReport.limit.countCall();
    this.#callsAtWorker.set(call.requestId, call);
    pending.startedAt = now;
    const { workerId } = tracker.state;
    const sent = {
      ...call,
      headers: [
        ...call.headers,
        names.timeLeftMs,
        String(Math.floor(timeLeftMs)),
        names.expectedWorker,
        workerId,
      ],
    };
    const exchange = new Attempt((result) => this.#finish(pending, result));
    pending.exchange = exchange;
    exchange.start((finish) =>
      connections.send(
        sent,
        finish,
        (stated) => this.#selfReport.observe(workerId, stated),
      )
    );
  }

  #finish(pending: PendingCall, result: WorkerResult): void {
    clearTimeout(pending.timer);
    this.#running--;
    this.#untrackCall(pending, result);
    const isAnswer = result.kind === "answer";
    const now = performance.now();
    const heldMs = now - pending.startedAt;
    if (isAnswer || result.mayHaveRun) {
      this.#chains.recordHold(pending.call, heldMs);
    }
    if (!isAnswer && !result.wasSent && !pending.call.isRepeat) {
      this.#repeats.uncountRequest();
    }
    const isCausedByCaller = !isAnswer &&
      (result.error === "caller_cancelled" ||
        result.error === "malformed_request");
    if (isAnswer) {
      this.#stopAdmission.recordAnswer(pending.call.route, heldMs);
      this.#lastAnswerAt = now;
      this.#refusedConnections = 0;
    } else if (
      result.error === "connection_refused" &&
      ++this.#refusedConnections >= REFUSED_CONNECTIONS_TO_SUSPEND
    ) this.#options.tracker.markNotReady();
    if (!isCausedByCaller) {
      const isFailure = !isAnswer || result.status >= 500;
      const { slots } = this.#options.tracker.state;
      this.#estimates.recordOutcome(
        { heldMs: isAnswer ? heldMs : undefined, isFailure, now },
        slots,
      );
    }
    pending.finish(
      isAnswer
        ? {
          ...result,
          isRefusedBelow: this.#refusedBelow.has(pending.call),
        }
        : { ...result, retryAfterMs: this.#retryAfterMs(pending.rank) },
    );
    this.#startWaiting();
  }

  // After a failure the worker may still run the call until its deadline, and
  // the calls that it makes meanwhile must find it as their parent.
  #untrackCall({ call, arrivedAt }: PendingCall, result: WorkerResult): void {
    const untrack = () => this.#callsAtWorker.delete(call.requestId);
    if (result.kind === "answer" || !result.mayHaveRun) return void untrack();
    const timeLeftMs = call.timeLeftMs - (performance.now() - arrivedAt);
    setTimeout(untrack, timeLeftMs + LOST_ANSWER_MARGIN_MS).unref();
  }

  #startWaiting(): void {
    clearTimeout(this.#limitTimer);
    while (this.isOpen && this.#startDelayMs === 0) {
      const next = this.#queue.shift();
      if (next === undefined) return;
      this.#start(next);
    }
    if (this.#queue.length === 0 || this.#startDelayMs === Infinity) return;
    this.#limitTimer = setTimeout(
      () => this.#startWaiting(),
      this.#startDelayMs,
    );
  }

  #cancel(pending: PendingCall): void {
    if (this.#queue.remove(pending)) {
      clearTimeout(pending.timer);
      this.#refuse(pending, "caller_cancelled");
    } else if (pending.call.isIdempotent) pending.exchange?.cancel();
  }

  #refuseWaiting(error: ErrorKind): void {
    this.#queue.drain().forEach((pending) => {
      clearTimeout(pending.timer);
      this.#refuse(pending, error);
    });
  }

  #refuseRepeat(pending: PendingCall): void {
    this.#repeats.update();
    this.#options.observer?.onRepeatRefused(pending.call);
    this.#refuse(pending, "retry_limit");
  }

  #refuse(pending: PendingCall, error: ErrorKind): void {
    if (error === "queue_full") {
      this.#refused++;
      this.#chains.recordRefusal(pending.call);
    }
    pending.finish({
      kind: "failure",
      error,
      mayHaveRun: false,
      wasSent: false,
      retryAfterMs: this.#retryAfterMs(pending.rank),
    });
  }

  #retryAfterMs(rank: number): number {
    return Math.round(
      Math.min(
        MAX_RETRY_AFTER_MS,
        this.#estimates.holdMs + this.#expectedWaitMs(rank),
      ),
    );
  }
}
