import fc from "fast-check";
import { expect, test } from "vitest";
import { BaseRepeatShare, RepeatBudget } from "./mod.ts";

const BASE_REPEATS = 48;
const WINDOW_MS = 10_000;
const PROPAGATION_MS = 3_000;
const STEP_MS = 250;

/** Period from the start to the end of a process. */
interface ProcessLifetime {
  readonly host: number;
  readonly fromStep: number;
  readonly steps: number;
  /** Steps after which the other processes notice its start or its end. */
  readonly propagationSteps: number;
}

const lifetimes = fc.array(
  fc.record({
    host: fc.nat(3),
    fromStep: fc.nat(200),
    steps: fc.integer({ min: 1, max: 300 }),
    propagationSteps: fc.nat(PROPAGATION_MS / STEP_MS),
  }),
  { minLength: 1, maxLength: 12 },
);

// A host runs one process at a time.
function withoutOverlaps(
  drawn: readonly ProcessLifetime[],
): readonly ProcessLifetime[] {
  const ends = new Map<number, number>();
  return drawn.toSorted((one, other) => one.fromStep - other.fromStep)
    .filter(({ host, fromStep, steps }) => {
      if (fromStep < (ends.get(host) ?? 0)) return false;
      ends.set(host, fromStep + steps);
      return true;
    });
}

// Each process uses all its available repeats at each step. Returns the time of
// each repeat.
function simulate(schedule: readonly ProcessLifetime[]): readonly number[] {
  const taken: number[] = [];
  let time = 0;
  const running = new Map<
    ProcessLifetime,
    { share: BaseRepeatShare; budget: RepeatBudget }
  >();
  const isAliveAt = (lifetime: ProcessLifetime, step: number) =>
    step >= lifetime.fromStep && step < lifetime.fromStep + lifetime.steps;
  for (let step = 0; step < 500; step++) {
    time = step * STEP_MS;
    schedule.filter((lifetime) => lifetime.fromStep === step).forEach(
      (lifetime) => {
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
        running.set(lifetime, { share, budget });
      },
    );
    running.forEach(({ share, budget }, lifetime) => {
      if (!isAliveAt(lifetime, step)) return void running.delete(lifetime);
      const counted = new Set(
        schedule.filter((other) =>
          other === lifetime || isAliveAt(other, step - other.propagationSteps)
        ).map(({ host }) => host),
      );
      share.recordProcessCount(counted.size);
      while (budget.take()) taken.push(time);
    });
  }
  return taken;
}

// Guards against shares that add up to more than the base repeats while
// processes start, stop or count different numbers of processes.
test("the shares add up to at most the base repeats in every window", () => {
  const property = fc.property(lifetimes, (drawn) => {
    const taken = simulate(withoutOverlaps(drawn));
    new Set(taken).forEach((start) =>
      expect(
        taken.filter((at) => at >= start && at < start + WINDOW_MS).length,
      ).toBeLessThanOrEqual(BASE_REPEATS)
    );
  });
  fc.assert(property, { numRuns: 300, seed: 15 });
});

test("processes that keep running share all base repeats", () => {
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
