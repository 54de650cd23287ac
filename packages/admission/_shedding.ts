import { type Priority, SHED_KEY_COUNT } from "@oleanderdeck/agreement";
import { divideMaxMin } from "@oleanderdeck/leases";
import type { AdmissionRequest } from "./admission_control.ts";

/** Number of priorities. */
const PRIORITY_COUNT = 4;

/** Threshold that admits all levels. */
export const ADMIT_ALL_THRESHOLD = PRIORITY_COUNT * SHED_KEY_COUNT;

/** Length of the interval of standing delay, as in CoDel. */
export const SHED_INTERVAL_MS = 100;

/** Delay that may always stand for an interval, as in CoDel. */
const TARGET_DELAY_MS = 5;

/**
 * Delay that may stand relative to the duration of a call. Slots that are busy
 * all the time need a queue of this order, since each is freed only once per
 * duration.
 */
const TARGET_DELAY_SHARE = 0.5;

/** Most delay that may stand, so that a slow service sheds early as well. */
const MAX_TARGET_DELAY_MS = 50;

/**
 * Step by which a threshold relaxes per interval without standing delay: all
 * levels are admitted again 1.6 s after the cause ends, within the target of
 * 2 s.
 */
export const RELAX_STEP = 32;

/** A few requests always pass, so that the end of an overload is noticed. */
const MIN_THRESHOLD = 8;

/** Part of the served rate that is admitted while the delay stands. */
const ADMITTED_SHARE = 0.95;

/** Decay of counts per interval; the window is about half a second. */
const COUNT_DECAY = 0.8;

/** Level of a request: lower levels are served first. */
export function levelOf(request: AdmissionRequest): number {
  return request.priority * SHED_KEY_COUNT + request.shedKey;
}

/** Fractional part of the golden ratio; its multiples are spread evenly. */
const GOLDEN_RATIO = 0.618033988749895;

interface OrganisationArrivals {
  readonly organisation: string;
  /** Decayed arrivals by priority. */
  readonly counts: number[];
  /** Decayed highest shed key by priority. */
  readonly highestKeys: number[];
}

/**
 * Shedding threshold of a service on this node. It falls while a standing
 * delay shows that more is admitted than served, and relaxes by a fixed step
 * otherwise.
 */
export class SheddingThreshold {
  readonly #weight: (organisation: string) => number;
  readonly #arrivals = new Map<string, OrganisationArrivals>();
  #threshold = ADMIT_ALL_THRESHOLD;
  #served = 0;
  /** Least delay of the starts in this interval, by priority. */
  #minDelaysMs = [Infinity, Infinity, Infinity, Infinity];
  #sharesThreshold = -1;
  #dither = 0;
  readonly #shares = new Map<string, number>();

  /** @param weight Weight of an organisation, above 0. */
  constructor(weight: (organisation: string) => number) {
    this.#weight = weight;
  }

  /** Requests at or above this level are refused. */
  get threshold(): number {
    return this.#threshold;
  }

  /** Counts an arrival, whether it is admitted or not. */
  recordArrival(request: AdmissionRequest): void {
    let arrivals = this.#arrivals.get(request.organisation);
    if (arrivals === undefined) {
      arrivals = {
        organisation: request.organisation,
        counts: [0, 0, 0, 0],
        highestKeys: [0, 0, 0, 0],
      };
      this.#arrivals.set(request.organisation, arrivals);
    }
    const { priority, shedKey } = request;
    arrivals.counts[priority]! += 1;
    if (arrivals.highestKeys[priority]! < shedKey) {
      arrivals.highestKeys[priority] = shedKey;
    }
  }

  /** Counts a call that got a slot after a delay. */
  recordStart(priority: Priority, delayMs: number): void {
    this.#served += 1;
    if (delayMs < this.#minDelaysMs[priority]!) {
      this.#minDelaysMs[priority] = delayMs;
    }
  }

  /**
   * Ends an interval.
   *
   * @param oldestDelaysMs Age of the oldest waiting attempt by priority;
   * undefined where none waits.
   * @param durationMs Expected duration of a call.
   */
  endInterval(
    oldestDelaysMs: readonly (number | undefined)[],
    durationMs: number,
  ): void {
    const targetMs = Math.max(
      TARGET_DELAY_MS,
      Math.min(MAX_TARGET_DELAY_MS, durationMs * TARGET_DELAY_SHARE),
    );
    const oldest = oldestDelaysMs.filter((delayMs) => delayMs !== undefined);
    const minDelayMs = Math.min(...this.#minDelaysMs);
    // Without a start in the interval, the waiting attempts show the delay.
    const delayMs = Number.isFinite(minDelayMs)
      ? minDelayMs
      : Math.max(0, ...oldest);
    if (oldest.length > 0 && delayMs > targetMs) {
      const standingPriority = oldestDelaysMs.findIndex(
        (oldestMs, priority) => {
          const startedMs = this.#minDelaysMs[priority]!;
          return oldestMs !== undefined &&
            (Number.isFinite(startedMs) ? startedMs : oldestMs) > targetMs;
        },
      );
      // Priorities without standing delay fit and are not shed.
      const level = Math.max(
        standingPriority * SHED_KEY_COUNT,
        Math.min(
          this.#threshold - 1,
          this.#levelFor(this.#served * ADMITTED_SHARE),
        ),
      );
      this.#threshold = Math.max(
        MIN_THRESHOLD,
        Math.min(this.#threshold, level),
      );
    } else {
      this.#threshold = Math.min(
        ADMIT_ALL_THRESHOLD,
        this.#threshold + RELAX_STEP,
      );
    }
    this.#minDelaysMs = [Infinity, Infinity, Infinity, Infinity];
    this.#served *= COUNT_DECAY;
    this.#sharesThreshold = -1;
    for (const [organisation, arrivals] of this.#arrivals) {
      for (let rank = 0; rank < PRIORITY_COUNT; rank++) {
        arrivals.counts[rank]! *= COUNT_DECAY;
        arrivals.highestKeys[rank]! *= 0.98;
      }
      if (arrivals.counts.every((count) => count < 0.01)) {
        this.#arrivals.delete(organisation);
      }
    }
  }

  /**
   * Tells whether a threshold refuses a request. The part of the threshold's
   * own priority that is admitted is divided by weighted max-min over the
   * organisations, so that a noisy one does not cause the others to be shed.
   *
   * @param request The request.
   * @param threshold Threshold of this node or of a service further down.
   */
  refuses(request: AdmissionRequest, threshold: number): boolean {
    if (threshold >= ADMIT_ALL_THRESHOLD) return false;
    const partialPriority = Math.floor(threshold / SHED_KEY_COUNT);
    if (request.priority !== partialPriority) {
      return request.priority > partialPriority;
    }
    if (this.#sharesThreshold !== threshold) this.#divideShares(threshold);
    const share = this.#shares.get(request.organisation) ??
      threshold % SHED_KEY_COUNT;
    // A key stands for an interval of width 1, so that a share of less than
    // one key is not rounded up.
    this.#dither = (this.#dither + GOLDEN_RATIO) % 1;
    return request.shedKey + this.#dither >= share;
  }

  #divideShares(threshold: number): void {
    const priority = Math.floor(threshold / SHED_KEY_COUNT);
    const all = [...this.#arrivals.values()]
      .map((arrivals) => ({
        organisation: arrivals.organisation,
        weight: this.#weight(arrivals.organisation),
        amount: this.#estimateOffered(arrivals, priority),
      }))
      .filter((claim) => claim.amount > 0);
    const offered = all.reduce((sum, claim) => sum + claim.amount, 0);
    const budget = offered * (threshold % SHED_KEY_COUNT) / SHED_KEY_COUNT;
    const shares = divideMaxMin(budget, all);
    this.#shares.clear();
    all.forEach((claim, index) =>
      this.#shares.set(
        claim.organisation,
        SHED_KEY_COUNT * shares[index]! / claim.amount,
      )
    );
    this.#sharesThreshold = threshold;
  }

  /**
   * Offered calls of a priority. Where a node upstream sheds keys above some
   * value, the highest key seen tells which part has arrived.
   */
  #estimateOffered(arrivals: OrganisationArrivals, priority: number): number {
    const count = arrivals.counts[priority]!;
    if (count < 1) return 0;
    const span = (arrivals.highestKeys[priority]! + 1) * (count + 1) / count;
    return count * SHED_KEY_COUNT / Math.min(SHED_KEY_COUNT, span);
  }

  #levelFor(admitted: number): number {
    let remaining = admitted;
    for (let priority = 0; priority < PRIORITY_COUNT; priority++) {
      let offered = 0;
      for (const arrivals of this.#arrivals.values()) {
        offered += this.#estimateOffered(arrivals, priority);
      }
      if (offered > remaining) {
        return Math.floor(SHED_KEY_COUNT * (priority + remaining / offered));
      }
      remaining -= offered;
    }
    return ADMIT_ALL_THRESHOLD;
  }
}
