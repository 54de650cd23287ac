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
 * Draws that are left out after seeding. The first draw of the generator is
 * almost 1 for every small seed, which would make the first gap many times
 * longer than the mean.
 */
const SKIPPED_DRAWS = 16;

/** Makes a generator whose draws are usable from the first one on. */
export function seededRandom(seed: number): RandomGenerator {
  const random = xoroshiro128plus(seed);
  for (let draw = 0; draw < SKIPPED_DRAWS; draw += 1) random.next();
  return random;
}

/** What determines the times at which calls are sent. */
export interface ArrivalOptions {
  readonly phases: readonly LoadPhase[];
  /** `poisson` for independent callers, `even` for equal gaps. */
  readonly arrivals: "poisson" | "even";
  readonly random: RandomGenerator;
}

/**
 * Times of the calls of one kind in milliseconds from the start of the run, in
 * ascending order. They do not depend on answers: the load is an open loop.
 *
 * @param call Kind of call.
 * @param options Phases and randomness.
 */
export function* arrivalTimes(
  call: LoadCall,
  options: ArrivalOptions,
): Generator<number, void, void> {
  const { phases, arrivals, random } = options;
  // The gap is drawn in units of mean gaps and used up at the rate of each
  // phase, so that a change of rate within a gap is exact.
  const drawGap = () =>
    arrivals === "even" ? 1 : -Math.log(1 - uniformFloat64(random));
  let gap = drawGap();
  let phaseStart = 0;
  for (const phase of phases) {
    const perMillisecond = call.callsPerSecond *
      phaseMultiplier(phase, callName(call)) / 1000;
    const phaseEnd = phaseStart + phase.durationMs;
    let time = phaseStart;
    while (perMillisecond > 0 && time + gap / perMillisecond < phaseEnd) {
      time += gap / perMillisecond;
      yield time;
      gap = drawGap();
    }
    gap -= (phaseEnd - time) * perMillisecond;
    phaseStart = phaseEnd;
  }
}
