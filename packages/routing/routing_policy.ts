import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Worker that has a free slot for a call. */
export interface Candidate {
  readonly nodeId: string;
  readonly dataCentre: string;
  /** Number of slots that this node can use now, at least 1. */
  readonly freeSlots: number;
  /**
   * Number of slots that this node may use in total, at least `free`. A worker
   * that is still warming up leases few slots, which limits its share of the
   * calls.
   */
  readonly slots: number;
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** Round-trip time of the link, in milliseconds; undefined until measured. */
  readonly roundTripMs: number | undefined;
}

/** Information about the call and the service for a policy. */
export interface RoutingContext {
  /** Data centre of the calling node. */
  readonly dataCentre: string;
  /**
   * Whether the service has workers in that data centre, with or without free
   * slots.
   */
  readonly hasLocalWorkers: boolean;
  /**
   * Expected time until a slot in that data centre is free, in milliseconds.
   */
  readonly expectedLocalWaitMs: number;
  /** Generator of the random choices. */
  readonly random: RandomGenerator;
}

/** Selects the worker of a call. */
export abstract class RoutingPolicy {
  /**
   * Selects one of the workers that have a free slot.
   *
   * @param candidates Workers with free slots.
   * @param context Information about the call and the service.
   * @returns The worker; undefined if the call should wait for a slot.
   */
  abstract select(
    candidates: readonly Candidate[],
    context: RoutingContext,
  ): Candidate | undefined;
}

/** Round-trip time assumed until it has been measured, in milliseconds. */
const ASSUMED_ROUND_TRIP_MS = 10;

/** Upper bound of the failure share, so that the load stays finite. */
const MAX_FAILURE_SHARE = 0.99;

/**
 * Returns the load of a candidate with one more call. A worker that fails fast
 * always has free slots; to keep it from attracting calls, its load is divided
 * by its share of successful calls. The share is squared because each failure
 * also costs a retry at another worker.
 */
function load(candidate: Candidate): number {
  const usedSlots = candidate.slots - candidate.freeSlots + 1;
  const successShare = 1 - Math.min(candidate.failureShare, MAX_FAILURE_SHARE);
  return usedSlots / (candidate.slots * successShare * successShare);
}

function randomIndex(length: number, random: RandomGenerator): number {
  return length < 2 ? 0 : uniformInt(random, 0, length - 1);
}

/** Returns the less loaded of two randomly chosen candidates. */
function leastLoadedOfTwo(
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
 * Selects the less loaded of two randomly chosen workers in the local data
 * centre. If none there has a free slot, selects among the workers in other data
 * centres whose round-trip time does not exceed the expected local wait, or
 * among all of them if the service has no local workers.
 */
export class LocalFirstRouting extends RoutingPolicy {
  override select(
    candidates: readonly Candidate[],
    context: RoutingContext,
  ): Candidate | undefined {
    const local = candidates.filter((candidate) =>
      candidate.dataCentre === context.dataCentre
    );
    if (local.length > 0) return leastLoadedOfTwo(local, context.random);
    const affordable = context.hasLocalWorkers
      ? candidates.filter((candidate) =>
        (candidate.roundTripMs ?? ASSUMED_ROUND_TRIP_MS) <=
          context.expectedLocalWaitMs
      )
      : candidates;
    return leastLoadedOfTwo(affordable, context.random);
  }
}

/** Baseline that selects any worker with a free slot at random. */
export class RandomRouting extends RoutingPolicy {
  override select(
    candidates: readonly Candidate[],
    context: RoutingContext,
  ): Candidate | undefined {
    return candidates[randomIndex(candidates.length, context.random)];
  }
}

/** Baseline that selects the least loaded worker of all data centres. */
export class LeastLoadedRouting extends RoutingPolicy {
  override select(candidates: readonly Candidate[]): Candidate | undefined {
    return candidates.reduce<Candidate | undefined>(
      (best, candidate) =>
        best === undefined || load(candidate) < load(best) ? candidate : best,
      undefined,
    );
  }
}
