/**
 * What the workers of a service report, put in relation to each other and to the
 * calls of this node.
 *
 * It answers two loads. The callers of a worker do not know of each other, and
 * see its state some time late: without a correction, all of them send their
 * calls to the worker that looked best until the next report. And a worker that
 * has started is slow for some seconds, while its slots are all free.
 *
 * @module
 */

import type { LoadReport } from "@oleanderdeck/hop";
import type { WorkerChannel } from "./worker_channel.ts";

/**
 * Greatest weight of this node's own calls in the estimate of the calls at a
 * worker. The rest is the load report, which counts the calls of all nodes but
 * lags behind.
 */
const MAX_OWN_WEIGHT = 0.5;

/**
 * Pace from which a worker's hold time is a mean of enough answers to be compared
 * with that of others.
 */
const KNOWN_PACE = 0.5;

/**
 * Number of workers below which a service is small: calls that a full or slow worker
 * is spared would fill the others.
 */
const SMALL_SERVICE = 8;

/** Loads of the workers of one service, as one node sees them at one time. */
export class ServicePace {
  /** Whether the service has few workers. */
  readonly isSmall: boolean;
  /** Mean hold time of the workers that have shown it, in milliseconds. */
  readonly meanHoldMs: number | undefined;
  readonly #greatestPace: number;
  readonly #reportedWeight: number;
  /** Calls at a worker that each call of this node stands for, times its weight. */
  readonly #callsPerOwn: number;

  /** @param channels Channels to the workers of the service. */
  constructor(channels: readonly WorkerChannel[]) {
    let reported = 0;
    let own = 0;
    let greatestPace = 0;
    let holdMs = 0;
    let known = 0;
    for (const channel of channels) {
      const { load } = channel;
      if (load === undefined || load.slots === 0) continue;
      const pace = load.pace ?? 1;
      reported += load.running + load.waiting;
      own += channel.unfinishedCalls;
      if (pace > greatestPace) greatestPace = pace;
      if (pace < KNOWN_PACE) continue;
      holdMs += load.holdMs;
      known++;
    }
    this.isSmall = channels.length < SMALL_SERVICE;
    this.meanHoldMs = known === 0 ? undefined : holdMs / known;
    this.#greatestPace = greatestPace === 0 ? 1 : greatestPace;
    // With less than a call for each worker, own calls say little about the
    // calls of others.
    const ownWeight = MAX_OWN_WEIGHT * own / (own + channels.length);
    this.#reportedWeight = 1 - ownWeight;
    this.#callsPerOwn = own === 0 ? 0 : ownWeight * reported / own;
  }

  /**
   * Returns the number of calls expected at a worker, if the other nodes have
   * spread their calls since its report as this node has.
   */
  expectedCalls(
    { running, waiting }: LoadReport,
    unfinishedCalls: number,
  ): number {
    return this.#reportedWeight * (running + waiting) +
      this.#callsPerOwn * unfinishedCalls;
  }

  /**
   * Returns the pace of a worker in relation to the greatest of the service, 0 to
   * 1. Where all workers have just started, none is held back.
   */
  relativePace({ pace = 1 }: LoadReport): number {
    return pace / this.#greatestPace;
  }

  /**
   * Returns the hold time of a worker, in milliseconds; that of one with few
   * answers counts as no shorter than the mean.
   */
  holdMs({ holdMs, pace = 1 }: LoadReport): number {
    return pace >= KNOWN_PACE || this.meanHoldMs === undefined
      ? holdMs
      : Math.max(holdMs, this.meanHoldMs);
  }
}
