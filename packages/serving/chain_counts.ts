import type { WorkerCall } from "./worker_call.ts";

/**
 * Share of a call that counts when it was refused for lack of a slot. Its caller
 * tries up to three workers, and the call counts at each of them.
 */
const REFUSED_CALL_SHARE = 1 / 3;

/** Least share that is counted, which limits the effect of a single call. */
const MIN_ADMITTED_SHARE = 0.01;

/** Calls of one rank that reached a gate in an interval. */
export interface ChainCounts {
  /** Calls that arrived. */
  arrived: number;
  /**
   * Calls that would have arrived if all requests that begin chains had been
   * admitted.
   */
  offered: number;
  /** Calls whose slot became free. */
  ended: number;
  /** Time for which these calls had held their slots, in milliseconds. */
  heldMs: number;
}

/** Counts the calls at a gate by their ranks. */
export class ChainCounter {
  #byRank: ChainCounts[] = [];

  /** Records a call that arrived. */
  recordArrival(call: WorkerCall): void {
    const counts = this.#countsOf(call);
    counts.arrived++;
    counts.offered += offeredBy(call);
  }

  /** Records that a call which arrived was refused for lack of a slot. */
  recordRefusal(call: WorkerCall): void {
    this.#countsOf(call).offered -= (1 - REFUSED_CALL_SHARE) * offeredBy(call);
  }

  /**
   * Records that the slot of a call became free.
   *
   * @param heldMs Time for which the call held it, in milliseconds.
   */
  recordHold(call: WorkerCall, heldMs: number): void {
    const counts = this.#countsOf(call);
    counts.ended++;
    counts.heldMs += heldMs;
  }

  /** Returns the counts of each rank and resets them. */
  take(): readonly ChainCounts[] {
    const counts = this.#byRank;
    this.#byRank = [];
    return counts;
  }

  #countsOf({ rank }: WorkerCall): ChainCounts {
    while (this.#byRank.length <= rank) {
      this.#byRank.push({ arrived: 0, offered: 0, ended: 0, heldMs: 0 });
    }
    return this.#byRank[rank]!;
  }
}

function offeredBy({ admittedShare = 1 }: WorkerCall): number {
  return 1 / Math.max(MIN_ADMITTED_SHARE, admittedShare);
}
