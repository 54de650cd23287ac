import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import {
  callName,
  type LoadCall,
  type LoadPhase,
  phaseMultiplier,
} from "./load_description.ts";

/**
 * Number of draws that are discarded after seeding. The first draw of the
 * generator is almost 1 for every small seed, which would make the first gap
 * many times longer than the mean.
 */
const SKIPPED_DRAWS = 16;

/**
 * Creates a random generator and discards its first draws, which are biased for
 * small seeds.
 *
 * @param seed Seed of the generator.
 */
export function seededRandom(seed: number): RandomGenerator {
  const random = xoroshiro128plus(seed);
  for (let draw = 0; draw < SKIPPED_DRAWS; draw += 1) random.next();
  return random;
}

/** Options of {@linkcode arrivalTimes}. */
export interface ArrivalOptions {
  /** Phases of the run, one after the other. */
  readonly phases: readonly LoadPhase[];
  /**
   * `poisson` for random times as of independent callers, `even` for equal
   * gaps.
   */
  readonly arrivals: "poisson" | "even";
  /** Source of the random gaps. */
  readonly random: RandomGenerator;
}

/**
 * Generates the due times of the calls of one kind, in milliseconds from the
 * start of the run and in ascending order. They do not depend on responses: the
 * load is an open loop.
 *
 * @param call Kind of call.
 * @param options Phases, distribution of the gaps and random generator.
 */
export function* arrivalTimes(
  call: LoadCall,
  options: ArrivalOptions,
): Generator<number, void, void> {
  const { phases, arrivals, random } = options;
  // A gap is drawn as a multiple of the mean gap and decreases at the rate of
  // each phase, so that a change of rate within a gap is exact.
  const drawGap = () =>
    arrivals === "even" ? 1 : -Math.log(1 - uniformFloat64(random));
  let gap = drawGap();
  let phaseStart = 0;
  for (const phase of phases) {
    const callsPerMillisecond = call.callsPerSecond *
      phaseMultiplier(phase, callName(call)) / 1000;
    const phaseEnd = phaseStart + phase.durationMs;
    let time = phaseStart;
    while (
      callsPerMillisecond > 0 && time + gap / callsPerMillisecond < phaseEnd
    ) {
      time += gap / callsPerMillisecond;
      yield time;
      gap = drawGap();
    }
    gap -= (phaseEnd - time) * callsPerMillisecond;
    phaseStart = phaseEnd;
  }
}
