import { chooseChannel, WorkerChannel } from "@oleanderdeck/calling";
import type { LoadReport } from "@oleanderdeck/hop";
import { CallEstimates } from "../serving/_call_estimates.ts";
import type { GateModel } from "./_replay_worker.ts";

/** Size of a request and its answer. */
const REQUEST_BYTES = 1_536;

/** Cost of a worker in another data centre, in the previous choice. */
const CROSS_MS = 4 + 2 * REQUEST_BYTES / 1_024;

/** Channel of one caller to one worker of a replay. */
export class ReplayChannel extends WorkerChannel {
  readonly worker: number;
  readonly node: string;
  readonly dataCentre: string;
  readonly roundTripMs: number;
  load: LoadReport | undefined;
  lastSentLoad: LoadReport | undefined;
  unfinishedCalls = 0;
  isReachable = true;
  readonly isOpening = false;
  isUnused = false;
  lastCallAt = -Infinity;

  constructor(options: ReplayChannelOptions) {
    super();
    this.worker = options.worker;
    this.node = options.node;
    this.dataCentre = options.dataCentre;
    this.roundTripMs = options.roundTripMs;
  }

  run(): never {
    throw new Error("The replay sends calls itself");
  }
}

export interface ReplayChannelOptions {
  readonly worker: number;
  readonly node: string;
  readonly dataCentre: string;
  readonly roundTripMs: number;
}

/** Way in which callers choose workers and gates estimate them. */
export abstract class Placement {
  abstract readonly name: string;

  abstract choose(
    channels: readonly ReplayChannel[],
    dataCentre: string,
    excluded: ReadonlySet<string>,
  ): ReplayChannel | undefined;

  channel(options: ReplayChannelOptions): ReplayChannel {
    return new ReplayChannel(options);
  }

  gate(_now: () => number): GateModel {
    return new PreviousGate();
  }

  /** Whether a report differs so much from the last one that it is sent. */
  isChanged(_report: LoadReport, _last: LoadReport): boolean {
    return false;
  }
}

/** Estimates of the gate before the pace was introduced. */
class PreviousGate implements GateModel {
  holdMs = 50;
  failureShare = 0;
  readonly pace = undefined;
  #isKnown = false;

  recordAnswer(heldMs: number, isFailure: boolean): void {
    this.holdMs += 0.05 * (heldMs - this.holdMs);
    this.failureShare += 0.05 * ((isFailure ? 1 : 0) - this.failureShare);
  }

  // A worker that returns on its host keeps the estimates.
  reset(): void {
    if (!this.#isKnown) this.holdMs = 50;
    this.#isKnown = true;
  }
}

export class RandomPlacement extends Placement {
  readonly name = "random";

  choose(
    channels: readonly ReplayChannel[],
    _dataCentre: string,
    excluded: ReadonlySet<string>,
  ): ReplayChannel | undefined {
    const usable = channels.filter((channel) => isUsable(channel, excluded));
    return usable[Math.floor(Math.random() * usable.length)];
  }
}

export class LeastOutstanding extends Placement {
  readonly name = "least outstanding";

  choose(
    channels: readonly ReplayChannel[],
    _dataCentre: string,
    excluded: ReadonlySet<string>,
  ): ReplayChannel | undefined {
    let best: ReplayChannel | undefined;
    let least = Infinity;
    for (const channel of channels) {
      if (!isUsable(channel, excluded)) continue;
      const value = channel.unfinishedCalls + Math.random();
      if (value < least) {
        least = value;
        best = channel;
      }
    }
    return best;
  }
}

function isUsable(
  { isReachable, load, node }: ReplayChannel,
  excluded: ReadonlySet<string>,
): boolean {
  return !excluded.has(node) && isReachable && load?.slots !== 0;
}

/** The choice before the pace was introduced. */
export class PreviousChoice extends Placement {
  readonly name = "previous";

  choose(
    channels: readonly ReplayChannel[],
    dataCentre: string,
    excluded: ReadonlySet<string>,
  ): ReplayChannel | undefined {
    let best: ReplayChannel | undefined;
    let least = Infinity;
    for (const channel of channels) {
      if (excluded.has(channel.node) || !channel.isReachable) continue;
      const isNear = channel.dataCentre === dataCentre;
      const { load } = channel;
      const isFirst = isNear && channel.isUnused &&
        (load === undefined || load.running + load.waiting < load.slots);
      const cost = isFirst
        ? channel.roundTripMs
        : previousCost(channel, isNear ? 0 : CROSS_MS, channels);
      const jittered = cost * (1 + 0.05 * Math.random());
      if (jittered < least) {
        least = jittered;
        best = channel;
      }
    }
    return best;
  }
}

function previousCost(
  { load, roundTripMs, unfinishedCalls }: ReplayChannel,
  crossingMs: number,
  channels: readonly ReplayChannel[],
): number {
  const distanceMs = roundTripMs + crossingMs;
  if (load === undefined) {
    const holds = channels.flatMap(({ load }) =>
      load === undefined || load.slots === 0 ? [] : [load.holdMs]
    );
    const mean = holds.length === 0
      ? 50
      : holds.reduce((sum, value) => sum + value, 0) / holds.length;
    return mean * (1 + unfinishedCalls) + distanceMs;
  }
  if (load.slots === 0) return Infinity;
  const usage = (Math.max(load.running + load.waiting, unfinishedCalls) + 1) /
    load.slots;
  const wait = usage < 1 ? usage ** 6 : usage;
  const success = 1 - Math.min(load.failureShare, 0.95);
  return load.holdMs * (1 + wait) / success + distanceMs;
}

/** The choice as built, with the estimates of the gate. */
export class PacedChoice extends Placement {
  readonly name = "as built";

  choose(
    channels: readonly ReplayChannel[],
    dataCentre: string,
    excluded: ReadonlySet<string>,
  ): ReplayChannel | undefined {
    return chooseChannel(channels, {
      dataCentre,
      excluded,
      bytes: REQUEST_BYTES,
      mayProbe: excluded.size === 0,
    }) as ReplayChannel | undefined;
  }

  override gate(now: () => number): GateModel {
    return new PacedGate(now);
  }

  override isChanged(report: LoadReport, last: LoadReport): boolean {
    return report.holdMs < 0.8 * last.holdMs ||
      Math.abs((report.pace ?? 1) - (last.pace ?? 1)) >= 0.1;
  }
}

class PacedGate implements GateModel {
  readonly #now: () => number;
  readonly #estimates = new CallEstimates();
  #slots = 0;

  constructor(now: () => number) {
    this.#now = now;
  }

  get holdMs(): number {
    return this.#estimates.holdMs;
  }

  get failureShare(): number {
    return this.#estimates.failureShareAt(this.#now());
  }

  get pace(): number | undefined {
    const pace = this.#estimates.pace(this.#slots);
    return pace < 1 ? Math.round(pace * 100) / 100 : undefined;
  }

  recordAnswer(heldMs: number, isFailure: boolean): void {
    const now = this.#now();
    this.#estimates.recordOutcome({ heldMs, isFailure, now }, this.#slots);
  }

  reset(slots: number): void {
    this.#slots = slots;
    this.#estimates.reset();
  }
}

/** All placements. */
export const PLACEMENTS: readonly (new () => Placement)[] = [
  PreviousChoice,
  LeastOutstanding,
  RandomPlacement,
  PacedChoice,
];
