import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { WorkerSubset } from "@oleanderdeck/calling";
import type { LoadReport } from "@oleanderdeck/hop";
import { EventQueue } from "./_replay_event_queue.ts";
import type { Placement, ReplayChannel } from "./_replay_placements.ts";
import { type ReplayOutcomeKind, SimulatedWorker } from "./_replay_worker.ts";

/** Latency target of the calls, in milliseconds. */
const TARGET_MS = 1_200;

/** Time limit of the calls, in milliseconds. */
const LIMIT_MS = 2_500;

/** Gates that may refuse a call, and workers that may run it. */
const MAX_REFUSALS = 3;
const MAX_ATTEMPTS = 2;

/** Interval in which a node sends changed load reports, in milliseconds. */
const REPORT_INTERVAL_MS = 250;

/** Part of the slots by which the load changes before it is reported. */
const REPORT_THRESHOLD = 0.2;

/** Kinds of calls: their share and mean work at speed 1, in milliseconds. */
const KINDS: readonly (readonly [share: number, workMs: number])[] = [
  [0.4, 76],
  [0.35, 160],
  [0.25, 290],
];
const MEAN_WORK_MS = KINDS.reduce((sum, [share, ms]) => sum + share * ms, 0);

const SPEEDS = [0.6, 1, 1.6];

/** Slowdown by the stalls of a worker, on average. */
const MEAN_STALL_FACTOR = 1 / (0.85 + 0.15 * 2.5);

/** Event of a replay: changes workers while calls go on. */
export type ReplayEvent = (replay: PlacementReplay) => void;

/** Load of one replay. */
export interface PlacementLoad {
  readonly workers: number;
  readonly callers: number;
  /** Mean demand as a share of the capacity of all workers. */
  readonly load: number;
  /** Whether the demand swings by half within 13 s. */
  readonly swings?: boolean;
  readonly seconds: number;
  /** Time from which calls are counted, in milliseconds. */
  readonly countedFromMs: number;
  readonly seed: number;
  /** Workers that the event concerns; their calls are compared with others. */
  readonly affected?: readonly number[];
  /** Time from which the affected workers should get their share again. */
  readonly affectedFromMs?: number;
  readonly event?: ReplayEvent;
}

/** What callers saw. */
export interface PlacementResult {
  readonly goodput: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Attempts that ended without an answer, as a share of the calls. */
  readonly wasted: number;
  readonly p50: number;
  readonly p99: number;
  readonly crossing: number;
  /**
   * Time until the affected workers had 0.8 of the calls of others of their
   * speed, in milliseconds; undefined if they had it at no time.
   */
  readonly fullShareMs: number | undefined;
  /**
   * Greatest multiple of the calls of others of their speed that the affected
   * workers had in 250 ms of the first 3 s; undefined without such others.
   */
  readonly peak: number | undefined;
}

interface Call {
  readonly caller: number;
  readonly workMs: number;
  readonly arrivedAt: number;
  readonly tried: Set<string>;
  refusals: number;
  attempts: number;
}

/**
 * Replays calls to one service in virtual time. Its callers do not know of each
 * other; each has links to its subset of the workers, choices and reports of its
 * own. Workers have different speeds and numbers of slots, are slower when nearly
 * full, and stall at times.
 */
export class PlacementReplay {
  readonly workers: readonly SimulatedWorker[];
  readonly queue = new EventQueue();
  readonly random: () => number;
  readonly #load: PlacementLoad;
  readonly #placement: Placement;
  readonly #channels: readonly (readonly ReplayChannel[])[];
  readonly #channelsTo: readonly (readonly ReplayChannel[])[];
  readonly #elapsed: number[] = [];
  readonly #started: readonly number[][];
  #counted = 0;
  #good = 0;
  #late = 0;
  #refused = 0;
  #failed = 0;
  #crossing = 0;
  #wasted = 0;
  #sent = 0;

  constructor(load: PlacementLoad, placement: Placement) {
    this.#load = load;
    this.#placement = placement;
    const generator = xoroshiro128plus(load.seed);
    this.random = () => uniformFloat64(generator);
    this.workers = Array.from(
      { length: load.workers },
      (_, index) =>
        new SimulatedWorker({
          queue: this.queue,
          random: this.random,
          seconds: load.seconds,
          slots: 49 + Math.floor(this.random() * 47),
          speed: SPEEDS[(index + Math.floor(index / 3)) % 3]!,
          gate: placement.gate(() => this.queue.now),
        }),
    );
    this.#channels = Array.from(
      { length: load.callers },
      (_, caller) => this.#channelsOf(caller),
    );
    const channels = this.#channels.flat();
    this.#channelsTo = this.workers.map((_, index) =>
      channels.filter(({ worker }) => worker === index)
    );
    this.#started = this.workers.map(() =>
      Array.from({ length: load.seconds * 4 + 40 }, () => 0)
    );
  }

  /** Runs the replay; clock and random numbers are its own meanwhile. */
  run(): PlacementResult {
    const { random } = Math;
    const { now } = performance;
    // Spies would keep each of the millions of calls.
    Math.random = this.random;
    performance.now = () => this.queue.now;
    try {
      this.#play();
    } finally {
      Math.random = random;
      performance.now = now;
    }
    return this.#result();
  }

  #play(): void {
    const { callers, event, seconds } = this.#load;
    event?.(this);
    const totalPerMs = this.#load.load * MEAN_STALL_FACTOR *
      this.workers.reduce((sum, { slots, speed }) => sum + slots * speed, 0) /
      MEAN_WORK_MS;
    for (let caller = 0; caller < callers; caller++) {
      this.#scheduleClump(caller, totalPerMs / callers);
    }
    this.workers.forEach((_, index) => {
      const report = () => {
        this.#reportChanges(index);
        this.queue.after(REPORT_INTERVAL_MS, report);
      };
      this.queue.after(this.random() * REPORT_INTERVAL_MS, report);
    });
    this.queue.runUntil(seconds * 1_000);
  }

  /** Makes a worker unreachable, which loses its calls. */
  crash(index: number): void {
    this.workers[index]!.stop();
    this.#channelsTo[index]!.forEach((channel) => {
      channel.isReachable = false;
      channel.load = undefined;
    });
  }

  /** Starts a new incarnation of a worker, cold for some time. */
  start(index: number, { isNewChannel = true, coldMs = 3_000 } = {}): void {
    const worker = this.workers[index]!;
    worker.start(coldMs);
    this.#channelsTo[index]!.forEach((channel) => {
      channel.isReachable = true;
      if (isNewChannel) {
        channel.isUnused = true;
        channel.lastCallAt = -Infinity;
      }
      // The links are opened at different times.
      this.queue.after(this.random() * 100, () => {
        channel.load = worker.report();
      });
    });
  }

  #channelsOf(caller: number): readonly ReplayChannel[] {
    const dataCentre = `dc-${caller % 3}`;
    const subset = new WorkerSubset({ node: `caller-${caller}`, dataCentre });
    const records = this.workers.map((_, index) => ({
      node: `${index}`,
      dataCentre: `dc-${index % 3}`,
    }));
    return subset.choose(records as never).map((record) => {
      const worker = Number(record.node);
      const channel = this.#placement.channel({
        worker,
        node: record.node,
        dataCentre: record.dataCentre,
        roundTripMs: record.dataCentre === dataCentre ? 0.5 : 4,
      });
      channel.load = this.workers[worker]!.report();
      return channel;
    });
  }

  // Calls of a caller arrive in clumps of 1 to 5.
  #scheduleClump(caller: number, perMs: number): void {
    const swing = this.#load.swings
      ? 1 + 0.2 * Math.sin(this.queue.now * 2 * Math.PI / 13_000)
      : 1;
    const size = 1 + Math.floor(this.random() * 5);
    const gapMs = -Math.log(1 - this.random()) * size / (perMs * swing);
    this.queue.after(gapMs, () => {
      for (let index = 0; index < size; index++) this.#arrive(caller);
      this.#scheduleClump(caller, perMs);
    });
  }

  #arrive(caller: number): void {
    let draw = this.random();
    const kind = KINDS.findIndex(([share]) => (draw -= share) < 0);
    const [, meanMs] = KINDS[Math.max(0, kind)]!;
    this.#send({
      caller,
      workMs: meanMs * (0.7 + 0.6 * this.random()),
      arrivedAt: this.queue.now,
      tried: new Set(),
      refusals: 0,
      attempts: 0,
    });
  }

  #send(call: Call): void {
    const channel = this.#placement.choose(
      this.#channels[call.caller]!,
      `dc-${call.caller % 3}`,
      call.tried,
    );
    if (channel === undefined) return this.#count(call, "refused");
    call.tried.add(channel.node);
    const { now } = this.queue;
    channel.isUnused = false;
    channel.lastCallAt = now;
    channel.unfinishedCalls++;
    const isCounted = call.arrivedAt >= this.#load.countedFromMs;
    if (isCounted) {
      this.#sent++;
      if (channel.roundTripMs > 1) this.#crossing++;
    }
    this.#started[channel.worker]![Math.floor(now / 250)]!++;
    const worker = this.workers[channel.worker]!;
    const wayMs = channel.roundTripMs / 2;
    this.queue.after(wayMs, () =>
      worker.run({
        workMs: call.workMs,
        targetMs: TARGET_MS,
        finish: (outcome, report) =>
          this.queue.after(wayMs, () =>
            this.#receive(call, { channel, outcome, report })),
      }));
  }

  #receive(call: Call, { channel, outcome, report }: {
    readonly channel: ReplayChannel;
    readonly outcome: ReplayOutcomeKind;
    readonly report: LoadReport | undefined;
  }): void {
    channel.unfinishedCalls--;
    if (report !== undefined && channel.isReachable) {
      channel.load = report;
      channel.lastSentLoad = report;
    }
    const { now } = this.queue;
    if (outcome === "answered") return this.#count(call, "answered");
    if (call.arrivedAt >= this.#load.countedFromMs) this.#wasted++;
    if (now - call.arrivedAt > LIMIT_MS) return this.#count(call, "failed");
    if (outcome === "refused") {
      return ++call.refusals < MAX_REFUSALS
        ? this.#send(call)
        : this.#count(call, "refused");
    }
    return ++call.attempts < MAX_ATTEMPTS
      ? this.#send(call)
      : this.#count(call, "failed");
  }

  #count(call: Call, outcome: ReplayOutcomeKind): void {
    if (call.arrivedAt < this.#load.countedFromMs) return;
    const elapsedMs = this.queue.now - call.arrivedAt;
    this.#counted++;
    if (outcome === "refused") this.#refused++;
    else if (outcome === "failed") this.#failed++;
    else {
      this.#elapsed.push(elapsedMs);
      if (elapsedMs > TARGET_MS) this.#late++;
      else this.#good++;
    }
  }

  #reportChanges(index: number): void {
    const worker = this.workers[index]!;
    if (!worker.isRunning) return;
    const report = worker.report();
    this.#channelsTo[index]!.forEach((channel) => {
      const last = channel.lastSentLoad;
      const isChanged = last === undefined || last.slots !== report.slots ||
        Math.abs(
            report.running + report.waiting - last.running - last.waiting,
          ) > REPORT_THRESHOLD * Math.max(1, report.slots) ||
        this.#placement.isChanged(report, last);
      if (!isChanged) return;
      channel.lastSentLoad = report;
      this.queue.after(channel.roundTripMs / 2, () => {
        if (channel.isReachable) channel.load = report;
      });
    });
  }

  #result(): PlacementResult {
    const sorted = Float64Array.from(this.#elapsed).sort();
    const at = (share: number) =>
      Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
    const all = Math.max(1, this.#counted);
    return {
      goodput: this.#good / all,
      late: this.#late / all,
      refused: this.#refused / all,
      failed: this.#failed / all,
      wasted: this.#wasted / all,
      p50: at(0.5),
      p99: at(0.99),
      crossing: this.#crossing / Math.max(1, this.#sent),
      fullShareMs: this.#fullShareMs(),
      peak: this.#peak(),
    };
  }

  // Compares calls for each slot with those of other workers of the same speed.
  #shares(bins: number): readonly number[] {
    const { affected = [], affectedFromMs = 0, seconds } = this.#load;
    if (affected.length === 0) return [];
    const rate = (indices: readonly number[], bin: number) => {
      let calls = 0;
      let slots = 0;
      indices.forEach((index) => {
        const started = this.#started[index]!;
        for (let next = bin; next < bin + bins; next++) calls += started[next]!;
        slots += this.workers[index]!.slots;
      });
      return calls / Math.max(1, slots);
    };
    const own = new Set(affected);
    const speeds = new Set(affected.map((index) => this.workers[index]!.speed));
    const others = this.workers.map((_, index) => index).filter((index) =>
      !own.has(index) && speeds.has(this.workers[index]!.speed)
    );
    if (affectedFromMs >= seconds * 1_000) return [];
    const first = Math.ceil(affectedFromMs / 250);
    return Array.from({ length: seconds * 4 - first - bins }, (_, index) => {
      const usual = others.length > 0
        ? rate(others, first + index)
        : rate(affected, seconds * 4 - 1 - bins);
      return usual === 0 ? 0 : rate(affected, first + index) / usual;
    });
  }

  #fullShareMs(): number | undefined {
    const index = this.#shares(2).findIndex((share) => share >= 0.8);
    return index < 0 ? undefined : index * 250;
  }

  #peak(): number | undefined {
    const shares = this.#shares(1).slice(0, 12);
    return shares.length === 0 ? undefined : Math.max(...shares);
  }
}
