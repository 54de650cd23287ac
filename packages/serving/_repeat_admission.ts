import { type RepeatBudget, RepeatDemand } from "@oleanderdeck/retries";
import { priorityOfRank } from "./rank.ts";

/**
 * Time for which repeats that were asked for keep as many of the budget from
 * less important ones, in milliseconds. It is about half of the window of the
 * budget: what the less important ones use is back only after a window.
 */
const REPEAT_DEMAND_WINDOW_MS = 5_000;

/** Admits repeats to the worker within their budget, by importance. */
export class RepeatAdmission {
  readonly #budget: RepeatBudget;
  readonly #demand = new RepeatDemand({
    windowMs: REPEAT_DEMAND_WINDOW_MS,
    now: () => performance.now(),
  });
  #unusedShare = 1;

  /** @param budget Limit on the repeats that are sent to the worker. */
  constructor(budget: RepeatBudget) {
    this.#budget = budget;
  }

  /** Unused share of the budget at the last update, 0 to 1. */
  get unusedShare(): number {
    return this.#unusedShare;
  }

  /** Updates the unused share, which changes with each repeat and with time. */
  update(): void {
    this.#unusedShare = Math.round(this.#budget.unusedShare * 100) / 100;
  }

  /**
   * Records that a repeat was asked for.
   *
   * @returns Whether the budget has room for it beside more important ones.
   */
  mayAdmit(rank: number): boolean {
    const priority = priorityOfRank(rank);
    this.#demand.record(priority);
    return this.#budget.remaining -
        this.#demand.moreImportantThan(priority) >= 1;
  }

  /**
   * Counts a call that is sent.
   *
   * @returns False if it is a repeat and the budget is used up.
   */
  take(isRepeat: boolean): boolean {
    if (!isRepeat) {
      this.#budget.countRequest();
      return true;
    }
    if (!this.#budget.take()) return false;
    this.update();
    return true;
  }

  /**
   * Reverts the count of a request that has not reached the worker, since the
   * node of the next worker counts it as a first attempt.
   */
  uncountRequest(): void {
    this.#budget.uncountRequest();
  }
}
