import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Worker that has a free slot for a call. */
export interface Candidate {
  readonly nodeId: string;
  readonly dataCentre: string;
  /** Slots that may be taken now, at least 1. */
  readonly free: number;
  /**
   * Slots that this node may use in total, at least `free`. A cold worker
   * leases few slots, so its ramp limits its share of the calls.
   */
  readonly slots: number;
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** Round trip time of the link in milliseconds, where measured. */
  readonly roundTripMs: number | undefined;
}

/** What a policy knows about the call and the service. */
export interface RoutingContext {
  /** Data centre of the calling node. */
  readonly dataCentre: string;
  /** Whether the service has a worker in that data centre, free or not. */
  readonly localWorkers: boolean;
  /** Expected wait for a slot in that data centre, in milliseconds. */
  readonly expectedLocalWaitMs: number;
  readonly random: RandomGenerator;
}

/** Selects the worker of a call. */
export abstract class RoutingPolicy {
  /**
   * Selects one of the workers that have a free slot.
   *
   * @param candidates Workers with free slots.
   * @param context Facts about the call and the service.
   * @returns The worker; undefined when waiting is better.
   */
  abstract select(
    candidates: readonly Candidate[],
    context: RoutingContext,
  ): Candidate | undefined;
}

/** Link cost that is assumed before the round trip has been measured. */
const UNKNOWN_ROUND_TRIP_MS = 10;

/** Keeps the load of a worker that always fails finite. */
const GREATEST_FAILURE_SHARE = 0.99;

/**
 * Load of a candidate with one more call. A worker that fails fast always has
 * free slots, so its load is divided by its share of successful calls, squared
 * because each failure also costs a retry elsewhere.
 */
function load(candidate: Candidate): number {
  const used = candidate.slots - candidate.free + 1;
  const success = 1 - Math.min(candidate.failureShare, GREATEST_FAILURE_SHARE);
  return used / (candidate.slots * success * success);
}

function randomIndex(length: number, random: RandomGenerator): number {
  return length < 2 ? 0 : uniformInt(random, 0, length - 1);
}

/** Least loaded of two random choices. */
function leastOfTwo(
  candidates: readonly Candidate[],
  random: RandomGenerator,
): Candidate | undefined {
  if (candidates.length < 2) return candidates[0];
  const firstIndex = randomIndex(candidates.length, random);
  let secondIndex = randomIndex(candidates.length - 1, random);
  if (secondIndex >= firstIndex) secondIndex += 1;
  const first = candidates[firstIndex]!;
  const second = candidates[secondIndex]!;
  return load(second) < load(first) ? second : first;
}

/**
 * Least loaded of two random choices in the local data centre; spills over to
 * another data centre when the expected local wait exceeds the round trip.
 */
export class LocalFirstRouting extends RoutingPolicy {
  override select(
    candidates: readonly Candidate[],
    context: RoutingContext,
  ): Candidate | undefined {
    const local = candidates.filter((candidate) =>
      candidate.dataCentre === context.dataCentre
    );
    if (local.length > 0) return leastOfTwo(local, context.random);
    const affordable = context.localWorkers
      ? candidates.filter((candidate) =>
        (candidate.roundTripMs ?? UNKNOWN_ROUND_TRIP_MS) <=
          context.expectedLocalWaitMs
      )
      : candidates;
    return leastOfTwo(affordable, context.random);
  }
}

/** Baseline: any worker with a free slot. */
export class RandomRouting extends RoutingPolicy {
  override select(
    candidates: readonly Candidate[],
    context: RoutingContext,
  ): Candidate | undefined {
    return candidates[randomIndex(candidates.length, context.random)];
  }
}

/** Baseline: least loaded of all workers, wherever they are. */
export class LeastLoadedRouting extends RoutingPolicy {
  override select(candidates: readonly Candidate[]): Candidate | undefined {
    return candidates.reduce<Candidate | undefined>(
      (best, candidate) =>
        best === undefined || load(candidate) < load(best) ? candidate : best,
      undefined,
    );
  }
}
