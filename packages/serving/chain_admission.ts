import type { AdmissionShare } from "@oleanderdeck/hop";
import type { ChainCounts } from "./chain_counts.ts";
import { isNestedRank, priorityOfRank } from "./rank.ts";

/**
 * Share of the slots that admitted chains are to occupy. The rest is for the
 * variation of arrivals within an interval.
 */
const TARGET_USAGE = 0.9;

/**
 * Time within which calls that wait are to be worked off, in milliseconds. Calls
 * deep in a chain have less than a second left.
 */
const DRAIN_MS = 700;

/** Least share of a rank, as a part of the share of all requests. */
const MIN_RELATIVE_SHARE = 0.25;

/**
 * Least share of a rank. With a smaller one the few requests that pass would
 * not show how many are offered.
 */
const MIN_SHARE = 0.02;

/** Expected wait that counts as long, as a share of the mean latency target. */
const LONG_WAIT_SHARE = 0.1;

/** Greatest factor by which a share grows in an interval. */
const MAX_GROWTH = 1.25;

/**
 * The same while slots are free, and an addition. Calls of a backlog arrive late
 * with the low shares of the time at which they were admitted, so the shares are
 * too low at its end.
 */
const MAX_GROWTH_WHEN_FREE = 1.4;
const GROWTH_WHEN_FREE = 0.02;

/** Share of the slots in use below which slots are free. */
const FREE_USAGE = 0.8;

/** Intervals in which all are admitted after which the limitation ends. */
const INTERVALS_TO_END = 8;

/** Intervals without a call after which a rank is forgotten. */
const INTERVALS_TO_FORGET = 40;

/**
 * Calls in an interval for which the moving averages give it the greatest
 * weight. Counts of fewer calls vary more and get less.
 */
const CALLS_FOR_MAX_WEIGHT = 10;
const MIN_WEIGHT = 0.2;
const MAX_WEIGHT = 0.5;

/** State of the gate over one interval. */
export interface ChainInterval {
  /** Length of the interval, in milliseconds. */
  readonly lengthMs: number;
  /** Counts of each rank. */
  readonly counts: readonly ChainCounts[];
  /** Maximum number of calls that the worker runs at the same time. */
  readonly slots: number;
  /** Calls at the worker at the end of the interval. */
  readonly running: number;
  /** Calls that wait at the end of the interval. */
  readonly waiting: number;
  /** Expected wait of a new call of the lowest priority, in milliseconds. */
  readonly waitMs: number;
  /** Calls that were refused because the wait for a slot was too long. */
  readonly refused: number;
  /** Mean latency target of the calls, in milliseconds. */
  readonly latencyTargetMs: number;
}

/** Demand of the calls of one rank. */
interface Demand {
  /** Calls in a millisecond if all requests were admitted. */
  offeredPerMs: number;
  /** Mean time for which a call holds a slot, in milliseconds. */
  holdMs: number;
  idleIntervals: number;
  share: number;
}

/**
 * Decides which share of the requests of each rank may begin chains that reach a
 * worker: of those that are sent to it directly, and of those whose calls reach it.
 * It answers a load of chains that make several calls of a small service in turn: a
 * call that is refused there wastes the work of all before it. Within a priority,
 * requests that are sent directly come first, since they take one call each.
 *
 * Each call says with which share its chain was admitted, so the demand of all
 * chains is known whatever was admitted when they began, and the share follows
 * from demand and capacity alone. A delay between decision and effect therefore
 * causes no oscillation.
 */
export class ChainAdmission {
  readonly #demands = new Map<number, Demand>();
  /** Slots whose work is finished as it arrives, while calls wait for them. */
  #usefulSlots = Infinity;
  #isLimiting = false;
  #intervalsWithoutLimit = 0;

  /** Whether the shares of some requests are limited, or were a moment ago. */
  get isLimiting(): boolean {
    return this.#isLimiting;
  }

  /** Shares below 1, by rank. */
  get shares(): readonly AdmissionShare[] {
    if (!this.#isLimiting) return [];
    return [...this.#demands]
      .map(([rank, { share }]) =>
        [rank, Math.round(share * 1_000) / 1_000] as const
      )
      .filter(([, share]) => share < 1)
      .sort(([a], [b]) => a - b);
  }

  /** Updates the shares by the counts of one interval. */
  update(interval: ChainInterval): void {
    this.#updateDemands(interval);
    if (interval.slots === 0) return this.#endLimit();
    this.#updateUsefulSlots(interval);
    const shares = this.#fittingShares(interval);
    const isExceeded = shares.some(([, share]) => share < 1);
    if (this.#isLimiting) this.#continueLimit(isExceeded);
    else if (isExceeded && hasLongWaits(interval)) this.#isLimiting = true;
    if (!this.#isLimiting) return;
    shares.forEach(([rank, share]) => {
      const demand = this.#demands.get(rank)!;
      demand.share = Math.min(share, greatestShare(demand.share, interval));
    });
  }

  #continueLimit(isExceeded: boolean): void {
    this.#intervalsWithoutLimit = isExceeded
      ? 0
      : this.#intervalsWithoutLimit + 1;
    if (this.#intervalsWithoutLimit >= INTERVALS_TO_END) this.#endLimit();
  }

  #endLimit(): void {
    this.#isLimiting = false;
    this.#intervalsWithoutLimit = 0;
    this.#demands.forEach((demand) => demand.share = 1);
  }

  #updateDemands({ counts, lengthMs }: ChainInterval): void {
    counts.forEach(({ arrived, ended, heldMs, offered }, rank) => {
      const perMs = Math.max(0, offered) / lengthMs;
      const known = this.#demands.get(rank);
      if (known === undefined && arrived === 0) return;
      const demand = known ?? {
        offeredPerMs: perMs,
        holdMs: 0,
        idleIntervals: 0,
        share: 1,
      };
      this.#demands.set(rank, demand);
      demand.offeredPerMs += weightOf(arrived) * (perMs - demand.offeredPerMs);
      if (ended > 0) {
        const weight = demand.holdMs === 0 ? 1 : weightOf(ended);
        demand.holdMs += weight * (heldMs / ended - demand.holdMs);
      }
    });
    this.#demands.forEach((demand, rank) => {
      const { arrived = 0 } = counts[rank] ?? {};
      if (counts[rank] === undefined) {
        demand.offeredPerMs *= 1 - MIN_WEIGHT;
      }
      demand.idleIntervals = arrived > 0 ? 0 : demand.idleIntervals + 1;
      if (demand.idleIntervals > INTERVALS_TO_FORGET) {
        this.#demands.delete(rank);
      }
    });
  }

  // While calls wait, the calls that end show the capacity sooner than the time
  // for which each held its slot, which is known only at its end.
  #updateUsefulSlots(
    { counts, lengthMs, slots, waiting }: ChainInterval,
  ): void {
    if (waiting === 0) {
      this.#usefulSlots = Infinity;
      return;
    }
    const ended = sum(counts.map((count) => count.ended));
    const workMs = sum(
      counts.map((count, rank) =>
        count.ended * (this.#demands.get(rank)?.holdMs ?? 0)
      ),
    );
    const known = Math.min(slots, this.#usefulSlots);
    this.#usefulSlots = known + weightOf(ended) * (workMs / lengthMs - known);
  }

  // Divides the slots strictly by priority, and within one to requests that are
  // sent directly first, except for the least share of each rank.
  #fittingShares(
    { slots, waiting }: ChainInterval,
  ): readonly AdmissionShare[] {
    const demands = [...this.#demands]
      .sort(([a], [b]) => orderOf(a) - orderOf(b))
      .map(([rank, { holdMs, offeredPerMs }]) => ({
        rank,
        slots: offeredPerMs * holdMs,
      }));
    const wanted = sum(demands.map((demand) => demand.slots));
    const free = Math.min(slots * TARGET_USAGE, this.#usefulSlots) -
      waiting * this.#meanHoldMs(wanted) / DRAIN_MS;
    const shareOfAll = Math.max(MIN_SHARE, Math.min(1, free / wanted));
    if (!(shareOfAll < 1)) {
      return demands.map(({ rank }) => [rank, 1] as const);
    }
    const least = Math.max(MIN_SHARE, MIN_RELATIVE_SHARE * shareOfAll);
    let left = shareOfAll * wanted - least * wanted;
    return demands.map(({ rank, slots }) => {
      const given = Math.min(Math.max(0, left), slots * (1 - least));
      left -= given;
      return [rank, slots === 0 ? 1 : least + given / slots] as const;
    });
  }

  #meanHoldMs(wantedSlots: number): number {
    const perMs = sum(
      [...this.#demands.values()].map(({ offeredPerMs }) => offeredPerMs),
    );
    return perMs === 0 ? 0 : wantedSlots / perMs;
  }
}

function orderOf(rank: number): number {
  return 2 * priorityOfRank(rank) + (isNestedRank(rank) ? 1 : 0);
}

function greatestShare(
  share: number,
  { running, slots, waiting }: ChainInterval,
): number {
  const isFree = waiting === 0 && running < FREE_USAGE * slots;
  return isFree
    ? share * MAX_GROWTH_WHEN_FREE + GROWTH_WHEN_FREE
    : share * MAX_GROWTH;
}

function hasLongWaits(
  { latencyTargetMs, refused, waitMs }: ChainInterval,
): boolean {
  return refused > 0 || waitMs > LONG_WAIT_SHARE * latencyTargetMs;
}

function weightOf(calls: number): number {
  const weight = MAX_WEIGHT * calls / CALLS_FOR_MAX_WEIGHT;
  return Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, weight));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
