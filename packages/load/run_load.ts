import { setMaxListeners } from "node:events";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { Pool } from "undici";
import { type Clock, SystemClock } from "@oleanderdeck/settings";
import { arrivalTimes, seededRandom } from "./arrivals.ts";
import { CallStatistics } from "./call_statistics.ts";
import { Caller, DEADLINE_GRACE_MS } from "./caller.ts";
import { LatencyHistogram } from "./load_counts.ts";
import {
  callName,
  durationOf,
  type LoadCall,
  type LoadDescription,
} from "./load_description.ts";
import type { LoadProgress, LoadTestReport } from "./load_report.ts";

/** Options of {@linkcode runLoad}. */
export interface LoadOptions {
  /** Ends the run early; the report covers the calls sent until then. */
  readonly signal?: AbortSignal;
  /** Receives the state of the run at regular intervals. */
  readonly onProgress?: (progress: LoadProgress) => void;
  /** Interval between progress reports in milliseconds, 1000 if absent. */
  readonly progressMs?: number;
  /**
   * Time to wait for responses after the last phase, in milliseconds; slightly
   * more than the longest timeout of the calls if absent. Calls that are still
   * in flight afterwards are cancelled.
   */
  readonly drainMs?: number;
  /** Source of time; the system clock if absent. */
  readonly clock?: Clock;
}

const DEFAULT_PROGRESS_MS = 1000;

/** Minimum length of an interval of the timelines in milliseconds. */
const SHORTEST_INTERVAL_MS = 100;

/**
 * Maximum number of intervals of a timeline, which bounds the size of a report.
 */
const MAX_INTERVALS = 6000;

/**
 * Lateness that timers cause even without overload, in milliseconds. The
 * latency of a call that is sent later than this is measured from its due time,
 * so that a delay of the generator does not hide the latency of a slow system.
 */
const TIMER_RESOLUTION_MS = 2;

/** Kind of call with its schedule, caller and statistics. */
interface CallSource {
  readonly call: LoadCall;
  readonly caller: Caller;
  readonly statistics: CallStatistics;
  /** Due times of the calls after the next one. */
  readonly dueTimes: Iterator<number, void>;
  /** Due time of the next call; infinite if no calls are left. */
  nextDueTime: number;
}

/**
 * Difference between the seeds of two kinds of call. It is a large odd number,
 * so that the seeds differ in many bits.
 */
const SEED_STEP = 0x9e3779b1;

/** Run of a load description. */
class LoadRun {
  readonly #description: LoadDescription;
  readonly #clock: Clock;
  readonly #pools: readonly Pool[];
  readonly #totals: CallStatistics;
  readonly #sources: readonly CallSource[];
  readonly #lateness = new LatencyHistogram();
  readonly #cancellation = new AbortController();
  readonly #intervalMs: number;
  readonly #startTime: number;
  #inFlight = 0;
  #lastNodeIndex = 0;
  #onIdle: (() => void) | undefined;

  constructor(description: LoadDescription, clock: Clock) {
    this.#description = description;
    this.#clock = clock;
    this.#pools = description.nodes.map((node) =>
      new Pool(`http://${node}`, {
        connections: description.connectionsPerNode,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
      })
    );
    const durationMs = durationOf(description.phases);
    this.#intervalMs = Math.max(
      SHORTEST_INTERVAL_MS,
      Math.ceil(durationMs / MAX_INTERVALS),
    );
    setMaxListeners(0, this.#cancellation.signal);
    this.#totals = this.#newStatistics();
    this.#sources = description.calls.map((call, index) => {
      // Each kind of call has its own generator, so that the responses to one
      // kind do not change the arrivals of another.
      const seed = (description.seed + index * SEED_STEP) | 0;
      return this.#newSource(call, seededRandom(seed));
    });
    this.#startTime = clock.now();
  }

  #newStatistics(): CallStatistics {
    const durationMs = durationOf(this.#description.phases);
    return new CallStatistics({ durationMs, intervalMs: this.#intervalMs });
  }

  #newSource(call: LoadCall, random: RandomGenerator): CallSource {
    const { phases, arrivals } = this.#description;
    const statistics = this.#newStatistics();
    const allStatistics = [statistics, this.#totals];
    const caller = new Caller(call, {
      nextNode: () => this.#nextNode(),
      random: random.clone(),
      signal: this.#cancellation.signal,
      onAttempt: (result, attempt) =>
        allStatistics.forEach((each) => each.countAttempt(result, attempt)),
      onPermit: (result) =>
        allStatistics.forEach((each) => each.countPermit(result)),
    });
    const dueTimes = arrivalTimes(call, { phases, arrivals, random });
    return {
      call,
      caller,
      statistics,
      dueTimes,
      nextDueTime: nextTime(dueTimes),
    };
  }

  #nextNode(): Pool {
    this.#lastNodeIndex = (this.#lastNodeIndex + 1) % this.#pools.length;
    return this.#pools[this.#lastNodeIndex]!;
  }

  #elapsed(): number {
    return this.#clock.now() - this.#startTime;
  }

  /**
   * Sends all calls at their due times.
   *
   * @param signal Ends the run early.
   */
  async sendAll(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const due = this.#sources.reduce(
        (earliest, { nextDueTime }) => Math.min(earliest, nextDueTime),
        Infinity,
      );
      if (due === Infinity) return;
      await this.#clock.sleep(Math.max(0, due - this.#elapsed()), signal);
      const now = this.#elapsed();
      if (signal.aborted) return;
      this.#sources.forEach((source) => {
        while (source.nextDueTime <= now) {
          this.#send(source, source.nextDueTime);
          source.nextDueTime = nextTime(source.dueTimes);
        }
      });
    }
  }

  /** Sends a call, unless too many are in flight, and counts it. */
  #send(source: CallSource, dueTime: number): void {
    const allStatistics = [source.statistics, this.#totals];
    if (this.#inFlight >= this.#description.maximumInFlight) {
      allStatistics.forEach((each) => each.countNotSent());
      return;
    }
    const sentAt = this.#elapsed();
    const lateness = sentAt - dueTime;
    const isMeasured = dueTime >= this.#description.warmUpMs;
    if (isMeasured) this.#lateness.record(lateness);
    const latencyStart = lateness > TIMER_RESOLUTION_MS ? dueTime : sentAt;
    this.#inFlight += 1;
    allStatistics.forEach((each) => each.countSent(dueTime));
    source.caller.run().then((result) => {
      const endedAt = this.#elapsed();
      const latencyMs = endedAt - latencyStart;
      const ended = { result, endedAt, latencyMs, isMeasured };
      allStatistics.forEach((each) => each.countEnd(ended));
      this.#inFlight -= 1;
      if (this.#inFlight === 0) this.#onIdle?.();
    });
  }

  /**
   * Waits a limited time for the calls in flight, then cancels those that remain.
   *
   * @param timeMs Maximum time to wait in milliseconds.
   * @param signal Ends the wait early.
   */
  async drain(timeMs: number, signal: AbortSignal): Promise<void> {
    const idleReached = new AbortController();
    const timeLimit = this.#clock.sleep(
      timeMs,
      AbortSignal.any([signal, idleReached.signal]),
    );
    await Promise.race([timeLimit, this.#idle()]);
    idleReached.abort();
    this.#cancellation.abort();
    await this.#idle();
  }

  /** Resolves when no calls are in flight. */
  #idle(): Promise<void> {
    if (this.#inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onIdle = resolve;
    });
  }

  /** Closes the connections to the nodes. */
  async close(): Promise<void> {
    await Promise.all(this.#pools.map((pool) => pool.destroy()));
  }

  /** Returns the state of the run. */
  progress(): LoadProgress {
    const { calls, sent, retries } = this.#totals;
    const whole = calls.countOf("whole");
    const rejected = calls.countOf("rejected");
    return {
      elapsedMs: this.#elapsed(),
      inFlight: this.#inFlight,
      sent,
      whole,
      rejected,
      failed: calls.total() - whole - rejected,
      retries,
      latencyMs: this.#totals.takeRecentLatency(),
    };
  }

  /** Returns the report of the run. */
  report(startedAt: Date, cancelled: boolean): LoadTestReport {
    const weights = this.#sources.map(({ call, statistics }) => ({
      whole: call.failureCost * statistics.calls.countOf("whole"),
      all: call.failureCost * statistics.calls.total(),
    }));
    const sum = (values: readonly number[]) =>
      values.reduce((total, value) => total + value, 0);
    const all = sum(weights.map((weight) => weight.all));
    return {
      seed: this.#description.seed,
      startedAt: startedAt.toISOString(),
      plannedMs: durationOf(this.#description.phases),
      elapsedMs: Math.round(this.#elapsed()),
      cancelled,
      intervalMs: this.#intervalMs,
      latenessMs: this.#lateness.summary(),
      weightedService: all === 0
        ? 1
        : sum(weights.map((weight) => weight.whole)) / all,
      totals: this.#totals.report(),
      calls: Object.fromEntries(
        this.#sources.map(({ call, statistics }) => [
          callName(call),
          statistics.report(),
        ]),
      ),
    };
  }
}

/** Returns the next of some due times, infinite if none is left. */
function nextTime(times: Iterator<number, void>): number {
  const { done, value } = times.next();
  return done || value === undefined ? Infinity : value;
}

/**
 * Sends the calls of a load description to its nodes and reports how they end.
 *
 * The load is an open loop: a call is sent at its due time whether or not
 * earlier calls have ended. Calls beyond `maximumInFlight` are not sent, but
 * counted.
 *
 * @param description Nodes, calls and phases, see `loadDescriptionSchema`.
 * @param options Progress reports, cancellation and clock.
 * @returns Counts, latencies and timelines, in total and for each call.
 */
export async function runLoad(
  description: LoadDescription,
  options: LoadOptions = {},
): Promise<LoadTestReport> {
  const clock = options.clock ?? new SystemClock();
  const signal = options.signal ?? new AbortController().signal;
  const run = new LoadRun(description, clock);
  const startedAt = new Date();
  const timer = setInterval(
    () => options.onProgress?.(run.progress()),
    options.progressMs ?? DEFAULT_PROGRESS_MS,
  );
  try {
    await run.sendAll(signal);
    const cancelled = signal.aborted;
    const longestTimeoutMs = Math.max(
      ...description.calls.map(({ timeoutMs }) => timeoutMs),
    );
    // The second grace period lets the last calls time out before they are
    // cancelled.
    const drainMs = options.drainMs ?? longestTimeoutMs + 2 * DEADLINE_GRACE_MS;
    await run.drain(drainMs, signal);
    return run.report(startedAt, cancelled);
  } finally {
    clearInterval(timer);
    await run.close();
  }
}
