import fc from "fast-check";
import { expect, test } from "vitest";
import { BaseRepeatShare, RepeatBudget } from "./mod.ts";

const BASE_REPEATS = 48;
const WINDOW_MS = 10_000;
const PROPAGATION_MS = 3_000;
const STEP_MS = 250;

/** One life of a process. */
interface Life {
  readonly host: number;
  readonly fromStep: number;
  readonly steps: number;
  /** Time until the others know that it has come or gone, in steps. */
  readonly propagationSteps: number;
}

const lives = fc.array(
  fc.record({
    host: fc.nat(3),
    fromStep: fc.nat(200),
    steps: fc.integer({ min: 1, max: 300 }),
    propagationSteps: fc.nat(PROPAGATION_MS / STEP_MS),
  }),
  { minLength: 1, maxLength: 12 },
);

// A host runs one process at a time.
function withoutOverlaps(drawn: readonly Life[]): readonly Life[] {
  const ends = new Map<number, number>();
  return drawn.toSorted((one, other) => one.fromStep - other.fromStep)
    .filter(({ host, fromStep, steps }) => {
      if (fromStep < (ends.get(host) ?? 0)) return false;
      ends.set(host, fromStep + steps);
      return true;
    });
}

// Each process takes all repeats that it may at each step.
function play(schedule: readonly Life[]): readonly number[] {
  const taken: number[] = [];
  let time = 0;
  const running = new Map<
    Life,
    { share: BaseRepeatShare; budget: RepeatBudget }
  >();
  const isAliveAt = (life: Life, step: number) =>
    step >= life.fromStep && step < life.fromStep + life.steps;
  for (let step = 0; step < 500; step++) {
    time = step * STEP_MS;
    schedule.filter((life) => life.fromStep === step).forEach((life) => {
      const now = () => time;
      const share = new BaseRepeatShare({
        baseRepeats: () => BASE_REPEATS,
        windowMs: WINDOW_MS,
        propagationMs: PROPAGATION_MS,
        now,
      });
      const budget = new RepeatBudget({
        ratio: () => 0,
        baseRepeats: () => share.value,
        windowMs: WINDOW_MS,
        now,
      });
      running.set(life, { share, budget });
    });
    running.forEach(({ share, budget }, life) => {
      if (!isAliveAt(life, step)) return void running.delete(life);
      const known = new Set(
        schedule.filter((other) =>
          other === life || isAliveAt(other, step - other.propagationSteps)
        ).map(({ host }) => host),
      );
      share.recordProcessCount(known.size);
      while (budget.take()) taken.push(time);
    });
  }
  return taken;
}

// Guards against parts of processes that start, leave or know different fleets
// and add up to more than the whole.
test("the parts of the base repeats add up to them at most in every span", () => {
  const property = fc.property(lives, (drawn) => {
    const taken = play(withoutOverlaps(drawn));
    new Set(taken).forEach((start) =>
      expect(
        taken.filter((at) => at >= start && at < start + WINDOW_MS).length,
      ).toBeLessThanOrEqual(BASE_REPEATS)
    );
  });
  fc.assert(property, { numRuns: 300, seed: 15 });
});

test("processes that last share all base repeats", () => {
  let time = 0;
  const share = new BaseRepeatShare({
    baseRepeats: () => BASE_REPEATS,
    windowMs: WINDOW_MS,
    propagationMs: PROPAGATION_MS,
    now: () => time,
  });
  share.recordProcessCount(3);
  expect(share.value).toBe(0);
  time = WINDOW_MS + PROPAGATION_MS;
  share.recordProcessCount(3);
  expect(share.value).toBe(BASE_REPEATS / 3);
  time += STEP_MS;
  share.recordProcessCount(2);
  expect(share.value).toBe(BASE_REPEATS / 3);
  time += WINDOW_MS + STEP_MS;
  share.recordProcessCount(2);
  expect(share.value).toBe(BASE_REPEATS / 2);
});
