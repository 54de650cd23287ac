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
const GATES = 3;

/** Calls that a run of each service makes to the next one. */
const CALLS = [1, 2, 4, 0] as const;

/** Something that holds from one step on for some steps. */
interface Episode {
  readonly from: number;
  readonly steps: number;
}

/** Share of the answers of a service that are lost. */
interface Loss extends Episode {
  readonly service: number;
  readonly share: number;
}

/** The node beside one worker is killed and starts anew. */
interface Kill {
  readonly service: number;
  readonly gate: number;
  readonly at: number;
}

interface Schedule {
  readonly seed: number;
  readonly requestsInStep: number;
  readonly burst: Episode & { readonly factor: number };
  readonly losses: readonly Loss[];
  readonly kills: readonly Kill[];
}

const service = fc.nat(CALLS.length - 1);
const from = fc.nat(STEPS);
const steps = fc.integer({ min: 1, max: 150 });

const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.nat(),
  requestsInStep: fc.integer({ min: 1, max: 6 }),
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
  kills: fc.array(
    fc.record({ service, gate: fc.nat(GATES - 1), at: from }),
    { maxLength: 20 },
  ),
});

/** A call graph whose workers are reached through gates, in virtual time. */
class Fleet {
  /** Arrivals of each service in each step. */
  readonly first = CALLS.map(() => new Array<number>(STEPS).fill(0));
  readonly repeats = CALLS.map(() => new Array<number>(STEPS).fill(0));
  readonly #schedule: Schedule;
  readonly #gates = CALLS.map(() => new Array<Gate>(GATES));
  #step = 0;
  #random: number;

  constructor(schedule: Schedule) {
    this.#schedule = schedule;
    this.#random = schedule.seed;
    CALLS.forEach((_, service) =>
      Array.from({ length: GATES }, (_, gate) => this.#start(service, gate))
    );
  }

  play(): void {
    const { burst, kills, requestsInStep } = this.#schedule;
    for (this.#step = 0; this.#step < STEPS; this.#step++) {
      kills.filter(({ at }) => at === this.#step)
        .forEach(({ service, gate }) => this.#start(service, gate));
      this.#gates.flat().forEach(({ share }) =>
        share.recordProcessCount(GATES)
      );
      const factor = isWithin(burst, this.#step) ? burst.factor : 1;
      for (let count = 0; count < requestsInStep * factor; count++) {
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

  // A lost answer leads to one repeat at another gate.
  #call(service: number, isRepeat: boolean): void {
    const gate = this.#draw(GATES);
    if (!this.#run(service, gate, isRepeat)) return;
    if (this.#isLost(service)) this.#run(service, (gate + 1) % GATES, true);
  }

  #run(service: number, gate: number, isRepeat: boolean): boolean {
    const { budget } = this.#gates[service]![gate]!;
    if (!isRepeat) budget.countRequest();
    else if (!budget.take()) return false;
    const counts = isRepeat ? this.repeats : this.first;
    counts[service]![this.#step]!++;
    for (let count = 0; count < CALLS[service]!; count++) {
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

  // A linear congruential generator, so that a schedule plays the same again.
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

// Guards against repeats that multiply over levels of calls, and against nodes
// that forget what they have let through.
test("repeats of a call graph stay within the bound of each service", () => {
  const property = fc.property(schedules, (schedule) => {
    const fleet = new Fleet(schedule);
    fleet.play();
    CALLS.forEach((_, service) => {
      for (let start = 0; start < STEPS; start++) {
        const requests = [0, WINDOW_STEPS / 2, WINDOW_STEPS].map((back) =>
          sumFrom(fleet.first[service]!, start - back)
        );
        expect(sumFrom(fleet.repeats[service]!, start))
          .toBeLessThanOrEqual(RATIO * Math.max(...requests) + BASE_REPEATS);
      }
    });
  });
  fc.assert(property, { numRuns: 60, seed: 15 });
});
