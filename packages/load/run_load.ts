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
  /** Ends the run early; the report covers what was done until then. */
  readonly signal?: AbortSignal;
  /** Receives the state of the run at regular times. */
  readonly onProgress?: (progress: LoadProgress) => void;
  /** Time between two states in milliseconds, 1000 if absent. */
  readonly progressMs?: number;
  /**
   * Time to wait for answers after the last phase in milliseconds; a little
   * more than the longest timeout of the calls if absent. Calls that have not
   * ended then are cancelled.
   */
  readonly drainMs?: number;
  /** Source of time; the system's if absent. */
  readonly clock?: Clock;
}

const DEFAULT_PROGRESS_MS = 1000;

/** Shortest interval of the timelines in milliseconds. */
const SHORTEST_INTERVAL_MS = 100;

/** Greatest number of intervals, which bounds the size of a report. */
const MAX_INTERVALS = 6000;

/**
 * Lateness that is the resolution of timers and not a sign of overload. A call
 * that is later than this counts its latency from its due time, so that a slow
 * system cannot hide behind a generator that waits for it.
 */
const TIMER_RESOLUTION_MS = 2;

interface CallSource {
  readonly call: LoadCall;
  readonly caller: Caller;
  readonly statistics: CallStatistics;
  readonly times: Iterator<number, void>;
  /** Due time of the next call; infinite when there is none. */
  next: number;
}

/** Odd number far from 0, so that the seeds of calls differ in many bits. */
const SEED_STEP = 0x9e3779b1;

class LoadRun {
  readonly #description: LoadDescription;
  readonly #clock: Clock;
  readonly #pools: readonly Pool[];
  readonly #totals: CallStatistics;
  readonly #sources: readonly CallSource[];
  readonly #lateness = new LatencyHistogram();
  readonly #cancellation = new AbortController();
  readonly #intervalMs: number;
  readonly #started: number;
  #inFlight = 0;
  #lastNode = 0;
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
      // Each kind of call has its own generator, so that one kind's answers do
      // not change the arrivals of another.
      const seed = (description.seed + index * SEED_STEP) | 0;
      return this.#newSource(call, seededRandom(seed));
    });
    this.#started = clock.now();
  }

  #newStatistics(): CallStatistics {
    const durationMs = durationOf(this.#description.phases);
    return new CallStatistics({ durationMs, intervalMs: this.#intervalMs });
  }

  #newSource(call: LoadCall, random: RandomGenerator): CallSource {
    const { phases, arrivals } = this.#description;
    const statistics = this.#newStatistics();
    const both = [statistics, this.#totals];
    const caller = new Caller(call, {
      nextNode: () => this.#nextNode(),
      random: random.clone(),
      signal: this.#cancellation.signal,
      onAttempt: (result, attempt) =>
        both.forEach((each) => each.countAttempt(result, attempt)),
      onPermit: (result) => both.forEach((each) => each.countPermit(result)),
    });
    const times = arrivalTimes(call, { phases, arrivals, random });
    return { call, caller, statistics, times, next: nextOf(times) };
  }

  #nextNode(): Pool {
    this.#lastNode = (this.#lastNode + 1) % this.#pools.length;
    return this.#pools[this.#lastNode]!;
  }

  #elapsed(): number {
    return this.#clock.now() - this.#started;
  }

  /** Sends all calls at their due times. */
  async sendAll(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const due = this.#sources.reduce(
        (earliest, { next }) => Math.min(earliest, next),
        Infinity,
      );
      if (due === Infinity) return;
      await this.#clock.sleep(Math.max(0, due - this.#elapsed()), signal);
      const now = this.#elapsed();
      if (signal.aborted) return;
      this.#sources.forEach((source) => {
        while (source.next <= now) {
          this.#send(source, source.next);
          source.next = nextOf(source.times);
        }
      });
    }
  }

  #send(source: CallSource, dueTime: number): void {
    const both = [source.statistics, this.#totals];
    if (this.#inFlight >= this.#description.maximumInFlight) {
      both.forEach((each) => each.countNotSent());
      return;
    }
    const sentAt = this.#elapsed();
    const lateness = sentAt - dueTime;
    const isMeasured = dueTime >= this.#description.warmUpMs;
    if (isMeasured) this.#lateness.record(lateness);
    const countedFrom = lateness > TIMER_RESOLUTION_MS ? dueTime : sentAt;
    this.#inFlight += 1;
    both.forEach((each) => each.countSent(dueTime));
    source.caller.run().then((result) => {
      const endedAt = this.#elapsed();
      const latencyMs = endedAt - countedFrom;
      const ended = { result, endedAt, latencyMs, isMeasured };
      both.forEach((each) => each.countEnd(ended));
      this.#inFlight -= 1;
      if (this.#inFlight === 0) this.#onIdle?.();
    });
  }

  /** Waits for calls in flight, then cancels what is left. */
  async drain(timeMs: number, signal: AbortSignal): Promise<void> {
    const end = new AbortController();
    const wait = this.#clock.sleep(
      timeMs,
      AbortSignal.any([signal, end.signal]),
    );
    await Promise.race([wait, this.#idle()]);
    end.abort();
    this.#cancellation.abort();
    await this.#idle();
  }

  #idle(): Promise<void> {
    if (this.#inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onIdle = resolve;
    });
  }

  async close(): Promise<void> {
    await Promise.all(this.#pools.map((pool) => pool.destroy()));
  }

  progress(): LoadProgress {
    const { calls, sent, retries } = this.#totals;
    const whole = calls.of("whole");
    const rejected = calls.of("rejected");
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

  report(startedAt: Date, cancelled: boolean): LoadTestReport {
    const weights = this.#sources.map(({ call, statistics }) => ({
      whole: call.failureCost * statistics.calls.of("whole"),
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

function nextOf(times: Iterator<number, void>): number {
  const { done, value } = times.next();
  return done || value === undefined ? Infinity : value;
}

/**
 * Sends the calls of a description to its nodes and counts how they end.
 *
 * The load is an open loop: a call is sent at its due time whether or not
 * earlier calls were answered, except that calls beyond `maximumInFlight` are
 * counted as not sent.
 *
 * @param description Nodes, calls and phases, see `loadDescriptionSchema`.
 * @param options Progress, early end and time.
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
    const longest = Math.max(
      ...description.calls.map(({ timeoutMs }) => timeoutMs),
    );
    // The second grace lets a call that times out end by itself.
    const drainMs = options.drainMs ?? longest + 2 * DEADLINE_GRACE_MS;
    await run.drain(drainMs, signal);
    return run.report(startedAt, cancelled);
  } finally {
    clearInterval(timer);
    await run.close();
  }
}
