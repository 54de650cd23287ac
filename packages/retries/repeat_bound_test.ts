import fc from "fast-check";
import { expect, test } from "vitest";
import { BaseRepeatShare, RepeatBudget } from "./mod.ts";

const RATIO = 0.2;
const BASE_REPEATS = 24;
const WINDOW_MS = 10_000;
const PROPAGATION_MS = 3_000;
const STEP_MS = 100;
const STEPS = 450;
const WINDOW_STEPS = WINDOW_MS / STEP_MS;
const GATES_PER_SERVICE = 3;

/** Calls that an execution at each service makes to the next service. */
const CALLS_TO_NEXT_SERVICE = [1, 2, 4, 0] as const;

/** Period of a simulation, as its first step and its number of steps. */
interface Episode {
  readonly from: number;
  readonly steps: number;
}

/** Period in which a share of a service's answers is lost. */
interface AnswerLoss extends Episode {
  readonly service: number;
  readonly share: number;
}

/** Kill and restart of the node beside one worker. */
interface NodeRestart {
  readonly service: number;
  readonly gate: number;
  readonly at: number;
}

interface Schedule {
  readonly seed: number;
  readonly requestsPerStep: number;
  readonly burst: Episode & { readonly factor: number };
  readonly losses: readonly AnswerLoss[];
  readonly restarts: readonly NodeRestart[];
}

const service = fc.nat(CALLS_TO_NEXT_SERVICE.length - 1);
const from = fc.nat(STEPS);
const steps = fc.integer({ min: 1, max: 150 });

const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.nat(),
  requestsPerStep: fc.integer({ min: 1, max: 6 }),
  burst: fc.record({ from, steps, factor: fc.integer({ min: 1, max: 5 }) }),
  losses: fc.array(
    fc.record({
      service,
      from,
      steps,
      share: fc.double({ min: 0.1, max: 1, noNaN: true }),
    }),
    { minLength: 2, maxLength: 10 },
  ),
  restarts: fc.array(
    fc.record({ service, gate: fc.nat(GATES_PER_SERVICE - 1), at: from }),
    { maxLength: 20 },
  ),
});

/**
 * Simulates a call graph in virtual time. Each worker is reached through a gate,
 * which limits the repeats.
 */
class Fleet {
  /** Requests that each service executed in each step, without repeats. */
  readonly requests = CALLS_TO_NEXT_SERVICE.map(() =>
    new Array<number>(STEPS).fill(0)
  );
  readonly repeats = CALLS_TO_NEXT_SERVICE.map(() =>
    new Array<number>(STEPS).fill(0)
  );
  readonly #schedule: Schedule;
  readonly #gates = CALLS_TO_NEXT_SERVICE.map(() =>
    new Array<Gate>(GATES_PER_SERVICE)
  );
  #step = 0;
  #random: number;

  constructor(schedule: Schedule) {
    this.#schedule = schedule;
    this.#random = schedule.seed;
    CALLS_TO_NEXT_SERVICE.forEach((_, service) =>
      Array.from(
        { length: GATES_PER_SERVICE },
        (_, gate) => this.#start(service, gate),
      )
    );
  }

  simulate(): void {
    const { burst, restarts, requestsPerStep } = this.#schedule;
    for (this.#step = 0; this.#step < STEPS; this.#step++) {
      restarts.filter(({ at }) => at === this.#step)
        .forEach(({ service, gate }) => this.#start(service, gate));
      this.#gates.flat().forEach(({ share }) =>
        share.recordProcessCount(GATES_PER_SERVICE)
      );
      const factor = isWithin(burst, this.#step) ? burst.factor : 1;
      for (let count = 0; count < requestsPerStep * factor; count++) {
        this.#call(0, false);
      }
    }
  }

  #start(service: number, gate: number): void {
    const now = () => this.#step * STEP_MS;
    const share = new BaseRepeatShare({
      baseRepeats: () => BASE_REPEATS,
      windowMs: WINDOW_MS,
      propagationMs: PROPAGATION_MS,
      now,
    });
    const budget = new RepeatBudget({
      ratio: () => RATIO,
      baseRepeats: () => share.value,
      windowMs: WINDOW_MS,
      now,
    });
    this.#gates[service]![gate] = { budget, share };
  }

  // A lost answer leads to one repeat through another gate.
  #call(service: number, isRepeat: boolean): void {
    const gate = this.#draw(GATES_PER_SERVICE);
    if (!this.#run(service, gate, isRepeat)) return;
    if (this.#isLost(service)) {
      this.#run(service, (gate + 1) % GATES_PER_SERVICE, true);
    }
  }

  #run(service: number, gate: number, isRepeat: boolean): boolean {
    const { budget } = this.#gates[service]![gate]!;
    if (!isRepeat) budget.countRequest();
    else if (!budget.take()) return false;
    const counts = isRepeat ? this.repeats : this.requests;
    counts[service]![this.#step]!++;
    for (let count = 0; count < CALLS_TO_NEXT_SERVICE[service]!; count++) {
      this.#call(service + 1, isRepeat);
    }
    return true;
  }

  #isLost(service: number): boolean {
    return this.#schedule.losses.some((loss) =>
      loss.service === service && isWithin(loss, this.#step) &&
      this.#draw(1_000) < 1_000 * loss.share
    );
  }

  // A linear congruential generator, so that a schedule always has the same
  // course.
  #draw(below: number): number {
    this.#random = (this.#random * 1_103_515_245 + 12_345) % 2_147_483_648;
    return Math.floor(this.#random / 65_536) % below;
  }
}

interface Gate {
  readonly budget: RepeatBudget;
  readonly share: BaseRepeatShare;
}

function isWithin({ from, steps }: Episode, step: number): boolean {
  return step >= from && step < from + steps;
}

function sumFrom(counts: readonly number[], from: number): number {
  return counts.slice(Math.max(0, from), Math.max(0, from + WINDOW_STEPS))
    .reduce((sum, count) => sum + count, 0);
}

// Guards against repeats that multiply with the levels of the call graph, or that
// exceed the bound after restarts of nodes, which discard the count of repeats.
test("repeats of a call graph stay within the bound of each service", () => {
  const property = fc.property(schedules, (schedule) => {
    const fleet = new Fleet(schedule);
    fleet.simulate();
    CALLS_TO_NEXT_SERVICE.forEach((_, service) => {
      for (let start = 0; start < STEPS; start++) {
        const requests = [0, WINDOW_STEPS / 2, WINDOW_STEPS].map((
          offsetSteps,
        ) => sumFrom(fleet.requests[service]!, start - offsetSteps));
        expect(sumFrom(fleet.repeats[service]!, start))
          .toBeLessThanOrEqual(RATIO * Math.max(...requests) + BASE_REPEATS);
      }
    });
  });
  fc.assert(property, { numRuns: 60, seed: 15 });
});
