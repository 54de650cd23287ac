import type { ErrorKind } from "@oleanderdeck/errors";
import type { LoadReport } from "@oleanderdeck/hop";
import type { GateInterval } from "./overload_meter.ts";
import { isNestedRank } from "./rank.ts";
import { RankedQueue } from "./ranked_queue.ts";
import type { WorkerCall, WorkerResult } from "./worker_call.ts";
import type { WorkerExchange } from "./worker_connections.ts";
import type {
  CallHandle,
  DownstreamLoad,
  WorkerGateOptions,
} from "./worker_gate_options.ts";

/** Weight of a new sample in the means of the gate. */
const SAMPLE_WEIGHT = 0.05;

/** Latency target that is assumed before the first call, in milliseconds. */
const INITIAL_LATENCY_TARGET_MS = 1_000;

/** Hold time that is assumed before the first sample, in milliseconds. */
const INITIAL_HOLD_MS = 50;

/**
 * Share of its latency target that a request which begins a chain may wait for
 * a slot. A longer wait would make answers late without serving more. Calls
 * within a chain wait as long as their answer can still be of use, since the
 * work above them is lost otherwise.
 */
const WAIT_SHARE_OF_TARGET = 0.3;

/** Shortest time left with which a call is sent to the worker. */
const MIN_TIME_LEFT_MS = 5;

/** Refused connections in a row that show that the worker is gone. */
const CONNECTIONS_TO_SUSPEND = 2;

/** Time for an answer that the worker gives at the end of its time. */
const LOST_ANSWER_MARGIN_MS = 300;

/** Longest time that is named for a retry, in milliseconds. */
const MAX_RETRY_AFTER_MS = 2_000;

interface Entry {
  readonly rank: number;
  readonly call: WorkerCall;
  readonly finish: (result: WorkerResult) => void;
  readonly arrivedAt: number;
  timer: NodeJS.Timeout | undefined;
  exchange: WorkerExchange | undefined;
  startedAt: number;
}

/**
 * The only way to the worker beside this node. It keeps as many calls at the
 * worker as the worker has slots, lets others wait in the order of their ranks
 * and refuses those that would wait too long, before they are sent. Repeats, and
 * the calls of runs that are repeats, pass within a budget.
 */
export class WorkerGate {
  readonly #options: WorkerGateOptions;
  readonly #queue = new RankedQueue<Entry>();
  readonly #atWorker = new Map<string, WorkerCall>();
  #running = 0;
  #holdMs = INITIAL_HOLD_MS;
  #latencyTargetMs = INITIAL_LATENCY_TARGET_MS;
  #failureShare = 0;
  #answeredAt = performance.now();
  #refusedConnections = 0;
  #arrived = 0;
  #refused = 0;
  #repeatShare = 1;
  #isClosed = false;

  /** @param options Worker, connections and header names. */
  constructor(options: WorkerGateOptions) {
    this.#options = options;
    options.tracker.onChange(({ isReady }) => {
      if (!isReady) this.#refuseWaiting("draining");
    });
  }

  /** Calls at the worker and in the queue. */
  get unfinished(): number {
    return this.#running + this.#queue.length;
  }

  /** Time since the worker's last answer, in milliseconds. */
  get sinceAnswerMs(): number {
    return performance.now() - this.#answeredAt;
  }

  /** Whether calls are taken at present. */
  get isOpen(): boolean {
    return !this.#isClosed && this.#options.tracker.state.isReady;
  }

  /**
   * Finds the request that a call of the worker belongs to, also if the request
   * was given up and the worker may still run it. The identity of
   * such a call begins with that of the request, followed by a dot.
   *
   * @param requestId Identity of the call.
   */
  parentOf(requestId: string): WorkerCall | undefined {
    const end = requestId.lastIndexOf(".");
    return end < 0 ? undefined : this.#atWorker.get(requestId.slice(0, end));
  }

  /**
   * Present load.
   *
   * @param downstream Overload, and what the calls of the worker reach.
   */
  loadReport(downstream: DownstreamLoad): LoadReport {
    return {
      running: this.#running,
      waiting: this.#queue.length,
      slots: this.isOpen ? this.#options.tracker.state.slots : 0,
      holdMs: Math.round(this.#holdMs),
      failureShare: Math.round(this.#failureShare * 100) / 100,
      repeatShare: this.#repeatShare,
      ...downstream,
    };
  }

  /**
   * Runs a call at the worker, or refuses it.
   *
   * @param call Call of this node or of a peer.
   * @param finish Receives the outcome once.
   */
  run(call: WorkerCall, finish: (result: WorkerResult) => void): CallHandle {
    this.#arrived++;
    this.#latencyTargetMs += SAMPLE_WEIGHT *
      (call.latencyTargetMs - this.#latencyTargetMs);
    const entry: Entry = {
      rank: call.rank,
      call,
      finish,
      arrivedAt: performance.now(),
      timer: undefined,
      exchange: undefined,
      startedAt: 0,
    };
    if (!this.isOpen) {
      this.#refuse(entry, this.#isClosed ? "draining" : "no_worker");
    } else if (call.isRepeat && this.#options.repeats.remaining < 1) {
      this.#refuseRepeat(entry);
    } else if (
      this.#running < this.#options.tracker.state.slots &&
      this.#queue.length === 0
    ) this.#start(entry);
    else this.#enqueue(entry);
    return { cancel: () => this.#cancel(entry) };
  }

  /** Counts since the last call of this method. */
  takeInterval(): GateInterval {
    const interval = {
      arrived: this.#arrived,
      refused: this.#refused,
      running: this.#running,
      waitMs: this.#expectedWaitMs(Infinity),
      latencyTargetMs: this.#latencyTargetMs,
      slots: this.#options.tracker.state.slots,
    };
    this.#arrived = 0;
    this.#refused = 0;
    this.#updateRepeatShare();
    return interval;
  }

  /** Refuses all new and waiting calls; those at the worker go on. */
  close(): void {
    this.#isClosed = true;
    this.#refuseWaiting("draining");
  }

  #enqueue(entry: Entry): void {
    const { call } = entry;
    const latest = call.timeLeftMs - 2 * this.#holdMs;
    const longest = isNestedRank(call.rank)
      ? latest
      : Math.min(call.latencyTargetMs * WAIT_SHARE_OF_TARGET, latest);
    if (this.#expectedWaitMs(entry.rank) > longest) {
      return this.#refuse(entry, "queue_full");
    }
    entry.timer = setTimeout(() => {
      if (this.#queue.remove(entry)) this.#refuse(entry, "queue_full");
    }, longest);
    this.#queue.push(entry);
  }

  #expectedWaitMs(rank: number): number {
    const { slots } = this.#options.tracker.state;
    const ahead = this.#queue.lengthBefore(rank) + this.#running + 1 - slots;
    return Math.max(0, ahead) * this.#holdMs / Math.max(1, slots);
  }

  #start(entry: Entry): void {
    clearTimeout(entry.timer);
    const now = performance.now();
    const left = entry.call.timeLeftMs - (now - entry.arrivedAt);
    if (left < MIN_TIME_LEFT_MS) {
      return this.#refuse(entry, "deadline_too_short");
    }
    const { call } = entry;
    const { names, connections, observer, repeats, tracker } = this.#options;
    if (!call.isRepeat) repeats.countRequest();
    else if (!repeats.take()) return this.#refuseRepeat(entry);
    else this.#updateRepeatShare();
    observer?.onRunning(call);
    // The worker stops by itself at the end of the time that it is told; an
    // exchange that lasts longer has lost its answer and would keep its slot.
    entry.timer = setTimeout(
      () => entry.exchange?.cancel(),
      left + LOST_ANSWER_MARGIN_MS,
    );
    this.#running++;
    this.#atWorker.set(call.requestId, call);
    entry.startedAt = now;
    let isFinished = false;
    entry.exchange = connections.send({
      ...call,
      headers: [
        ...call.headers,
        names.timeLeftMs,
        String(Math.floor(left)),
        names.expectedWorker,
        tracker.state.workerId,
      ],
    }, (result) => {
      if (isFinished) return;
      isFinished = true;
      this.#finish(entry, result);
    });
  }

  #finish(entry: Entry, result: WorkerResult): void {
    clearTimeout(entry.timer);
    this.#running--;
    this.#forgetRun(entry, result);
    const isAnswer = result.kind === "answer";
    // Another worker gets the call as its first one.
    if (!isAnswer && !result.wasSent && !entry.call.isRepeat) {
      this.#options.repeats.uncountRequest();
    }
    const isCancelled = !isAnswer && result.error === "caller_cancelled";
    if (isAnswer) {
      const held = performance.now() - entry.startedAt;
      this.#holdMs += SAMPLE_WEIGHT * (held - this.#holdMs);
      this.#answeredAt = performance.now();
      this.#refusedConnections = 0;
    } else if (
      result.error === "connection_refused" &&
      ++this.#refusedConnections >= CONNECTIONS_TO_SUSPEND
    ) this.#options.tracker.markNotReady();
    if (!isCancelled) {
      const failed = isAnswer && result.status < 500 ? 0 : 1;
      this.#failureShare += SAMPLE_WEIGHT * (failed - this.#failureShare);
    }
    entry.finish(
      isAnswer
        ? result
        : { ...result, retryAfterMs: this.#retryAfterMs(entry.rank) },
    );
    this.#startWaiting();
  }

  // A worker may go on with a run that was given up until its time has passed.
  #forgetRun({ call, arrivedAt }: Entry, result: WorkerResult): void {
    const forget = () => this.#atWorker.delete(call.requestId);
    if (result.kind === "answer" || !result.mayHaveRun) return void forget();
    const left = call.timeLeftMs - (performance.now() - arrivedAt);
    setTimeout(forget, left + LOST_ANSWER_MARGIN_MS).unref();
  }

  #startWaiting(): void {
    while (
      this.isOpen && this.#running < this.#options.tracker.state.slots
    ) {
      const next = this.#queue.shift();
      if (next === undefined) return;
      this.#start(next);
    }
  }

  #cancel(entry: Entry): void {
    if (this.#queue.remove(entry)) {
      clearTimeout(entry.timer);
      this.#refuse(entry, "caller_cancelled");
    } else if (entry.call.isIdempotent) entry.exchange?.cancel();
  }

  #refuseWaiting(error: ErrorKind): void {
    this.#queue.drain().forEach((entry) => {
      clearTimeout(entry.timer);
      this.#refuse(entry, error);
    });
  }

  #refuseRepeat(entry: Entry): void {
    this.#updateRepeatShare();
    this.#options.observer?.onRepeatRefused(entry.call);
    this.#refuse(entry, "retry_limit");
  }

  #updateRepeatShare(): void {
    const { unusedShare } = this.#options.repeats;
    this.#repeatShare = Math.round(unusedShare * 100) / 100;
  }

  #refuse(entry: Entry, error: ErrorKind): void {
    if (error === "queue_full") this.#refused++;
    entry.finish({
      kind: "failure",
      error,
      mayHaveRun: false,
      wasSent: false,
      retryAfterMs: this.#retryAfterMs(entry.rank),
    });
  }

  #retryAfterMs(rank: number): number {
    return Math.round(
      Math.min(MAX_RETRY_AFTER_MS, this.#holdMs + this.#expectedWaitMs(rank)),
    );
  }
}
