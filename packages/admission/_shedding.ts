import { type Priority, SHED_KEY_COUNT } from "@oleanderdeck/agreement";
import { divideMaxMin } from "@oleanderdeck/leases";
import type { AdmissionRequest } from "./admission_control.ts";

/** Number of priorities. */
const PRIORITY_COUNT = 4;

/** Threshold that admits requests of all levels. */
export const ADMIT_ALL_THRESHOLD = PRIORITY_COUNT * SHED_KEY_COUNT;

/**
 * Interval of the check for a standing delay, as in CoDel. A delay is standing
 * if even its minimum over the interval is above the target.
 */
export const SHED_INTERVAL_MS = 100;

/** Minimum target delay, as in CoDel. */
const TARGET_DELAY_MS = 5;

/**
 * Target delay relative to the duration of a call. Keeping all slots busy takes
 * a queue of this order, since each slot becomes free only once per duration.
 */
const TARGET_DELAY_SHARE = 0.5;

/** Maximum target delay, so that a slow service also sheds early. */
const MAX_TARGET_DELAY_MS = 50;

/**
 * Amount by which the threshold rises per interval without a standing delay.
 * All levels are admitted again 1.6 s after the cause of an overload ends,
 * within the target of 2 s.
 */
export const RELAX_STEP = 32;

/**
 * Minimum threshold. A few requests are always admitted, so that the end of an
 * overload is detected.
 */
const MIN_THRESHOLD = 8;

/** Part of the served rate that is admitted during a standing delay. */
const ADMITTED_SHARE = 0.95;

/** Factor by which counts decay per interval, a window of about 0.5 s. */
const COUNT_DECAY = 0.8;

/**
 * Returns the level of a request, which is its priority times the number of
 * shed keys, plus its shed key. Requests of higher levels are shed first.
 */
export function levelOf(request: AdmissionRequest): number {
  return request.priority * SHED_KEY_COUNT + request.shedKey;
}

/**
 * Fractional part of the golden ratio. The fractional parts of its multiples
 * are spread evenly between 0 and 1.
 */
const GOLDEN_RATIO_FRACTION = 0.618033988749895;

/** Recent arrivals of one organisation. */
interface OrganisationArrivals {
  readonly organisation: string;
  /** Exponentially decayed number of arrivals by priority. */
  readonly counts: number[];
  /** Highest recent shed key by priority, which decays as well. */
  readonly highestKeys: number[];
}

/**
 * Shedding threshold of a service on this node. It falls during a standing
 * delay, which shows that more calls are admitted than served, and otherwise
 * rises by a fixed step.
 */
export class SheddingThreshold {
  readonly #weight: (organisation: string) => number;
  readonly #arrivals = new Map<string, OrganisationArrivals>();
  #threshold = ADMIT_ALL_THRESHOLD;
  #served = 0;
  /** Minimum delay of the calls started in this interval, by priority. */
  #minDelaysMs = [Infinity, Infinity, Infinity, Infinity];
  #sharesThreshold = -1;
  #dither = 0;
  readonly #shares = new Map<string, number>();

  /** @param weight Returns the weight of an organisation, above 0. */
  constructor(weight: (organisation: string) => number) {
    this.#weight = weight;
  }

  /** Level at or above which requests are refused. */
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

  /** Counts a call that acquired a slot after a delay in milliseconds. */
  recordStart(priority: Priority, delayMs: number): void {
    this.#served += 1;
    if (delayMs < this.#minDelaysMs[priority]!) {
      this.#minDelaysMs[priority] = delayMs;
    }
  }

  /**
   * Ends an interval and updates the threshold.
   *
   * @param oldestDelaysMs Age of the oldest waiting attempt by priority, in
   * milliseconds; undefined where none waits.
   * @param durationMs Expected duration of a call in milliseconds.
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
    // If no call started in the interval, the waiting attempts show the delay.
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
      // Priorities without a standing delay have enough slots and are not shed.
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
   * Checks whether a threshold refuses a request. A threshold within a priority
   * admits part of its requests, and this part is divided between the
   * organisations by weighted max-min fairness. The excess of one organisation
   * therefore does not cause the requests of others to be shed.
   *
   * @param request The request.
   * @param threshold Threshold of this node or of a downstream service.
   * @returns Whether the request is refused.
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
    // A key represents an interval of width 1 and is compared at a varying
    // point within it. Otherwise, a share of less than one key would be rounded
    // up.
    this.#dither = (this.#dither + GOLDEN_RATIO_FRACTION) % 1;
    return request.shedKey + this.#dither >= share;
  }

  /**
   * Computes for each organisation which shed keys of the threshold's priority
   * are admitted: those below its entry in the shares.
   */
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
   * Estimates the offered calls of a priority. If upstream nodes shed keys
   * above some value, only part of the calls arrives here; the highest key that
   * has arrived shows how large this part is.
   */
  #estimateOffered(arrivals: OrganisationArrivals, priority: number): number {
    const count = arrivals.counts[priority]!;
    if (count < 1) return 0;
    const span = (arrivals.highestKeys[priority]! + 1) * (count + 1) / count;
    return count * SHED_KEY_COUNT / Math.min(SHED_KEY_COUNT, span);
  }

  /** Returns the threshold at which a number of calls would be admitted. */
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
