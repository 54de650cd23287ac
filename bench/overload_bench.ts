import { afterAll, expect, test, vi } from "vitest";
import {
  type Completion,
  OverloadSimulation,
  type ServiceSpec,
  type Traffic,
  type Variant,
} from "./_overload_simulation.ts";

/**
 * Compares the product with its baselines in virtual time and checks the
 * targets of section 17 of the design page. Targets apply only to the product;
 * the other rows show the effect of each mechanism.
 */

const SEED = 20_261_204;

/** Admission control with all mechanisms. */
const PRODUCT: Variant = { name: "product", mechanisms: {} };

/** Baseline without admission control and without retries by nodes. */
const NO_CONTROL: Variant = { name: "no control", attemptsPerHop: 1 };

/** Baseline without admission control, with a fixed number of retries per hop. */
const FIXED_RETRIES: Variant = {
  name: "fixed retries per hop, FIFO",
  attemptsPerHop: 3,
};

/** Returns the product with one mechanism disabled. */
function without(
  mechanism: keyof NonNullable<Variant["mechanisms"]>,
): Variant {
  return { name: `without ${mechanism}`, mechanisms: { [mechanism]: false } };
}

/** Measured value of a scenario. */
interface Measurement {
  readonly name: string;
  readonly value: number;
  readonly unit: "%" | "ms" | "calls/s";
  /** Lower bound of the target. Without bounds the value is printed only. */
  readonly atLeast?: number;
  /** Upper bound of the target. */
  readonly atMost?: number;
}

let targetsMet = 0;
let targetsMissed = 0;

const realSetImmediate = setImmediate;

/** Advances virtual time to a time, one millisecond per step. */
async function advanceTo(
  simulation: OverloadSimulation,
  untilMs: number,
): Promise<void> {
  while (simulation.now() < untilMs) {
    vi.advanceTimersByTime(1);
    simulation.tick();
    await new Promise((resolve) => realSetImmediate(resolve));
  }
}

/** Scenario that runs once for each variant. */
interface Scenario {
  readonly name: string;
  readonly variants: readonly Variant[];
  readonly services: readonly ServiceSpec[];
  readonly run: (
    simulation: OverloadSimulation,
  ) => Promise<readonly Measurement[]>;
}

function isMet({ value, atLeast, atMost }: Measurement): boolean {
  return value >= (atLeast ?? -Infinity) && value <= (atMost ?? Infinity);
}

/** Defines a test that runs a scenario, prints its rows and checks its targets. */
function defineScenario(scenario: Scenario): void {
  test(scenario.name, async () => {
    const missedTargets: string[] = [];
    for (const variant of scenario.variants) {
      vi.useFakeTimers({
        toFake: ["setTimeout", "clearTimeout", "performance"],
      });
      const simulation = new OverloadSimulation(
        variant,
        scenario.services,
        SEED,
      );
      const measurements = await scenario.run(simulation);
      await simulation.close();
      vi.clearAllTimers();
      vi.useRealTimers();
      for (const measurement of measurements) {
        const isTarget = measurement.atLeast !== undefined ||
          measurement.atMost !== undefined;
        const verdict = !isTarget || variant !== PRODUCT
          ? ""
          : isMet(measurement)
          ? "met"
          : "MISSED";
        if (verdict === "met") targetsMet += 1;
        if (verdict === "MISSED") {
          targetsMissed += 1;
          missedTargets.push(`${measurement.name}: ${measurement.value}`);
        }
        const row = formatRow(
          scenario.name,
          variant.name,
          measurement,
          verdict,
        );
        process.stdout.write(`${row}\n`);
      }
    }
    expect(missedTargets).toEqual([]);
  });
}

function formatRow(
  scenario: string,
  variant: string,
  measurement: Measurement,
  verdict: string,
): string {
  const bound =
    measurement.atLeast !== undefined && measurement.atMost !== undefined
      ? `${measurement.atLeast} to ${measurement.atMost}`
      : measurement.atLeast !== undefined
      ? `>= ${measurement.atLeast}`
      : measurement.atMost !== undefined
      ? `<= ${measurement.atMost}`
      : "";
  return [
    scenario.padEnd(26),
    variant.padEnd(28),
    measurement.name.padEnd(34),
    `${measurement.value.toFixed(1)} ${measurement.unit}`.padStart(14),
    bound.padStart(14),
    verdict,
  ].join(" ").trimEnd();
}

afterAll(() => {
  process.stdout.write(`${targetsMet} targets met, ${targetsMissed} missed\n`);
});

/** Returns the requests completed per second in a period. */
function completionRate(
  simulation: OverloadSimulation,
  from: number,
  until: number,
  filter: (completion: Completion) => boolean = () => true,
): number {
  const count =
    simulation.completions.filter((completion) =>
      completion.completedAt >= from && completion.completedAt < until &&
      filter(completion)
    ).length;
  return count * 1_000 / (until - from);
}

/**
 * Returns the percentage of the requests of a priority, sent in a period, that
 * were completed by the end of the run.
 */
function completedShare(
  simulation: OverloadSimulation,
  from: number,
  until: number,
  priority: number,
): number {
  const isCounted = (request: Traffic & { readonly sentAt: number }) =>
    request.priority === priority && request.sentAt >= from &&
    request.sentAt < until;
  return 100 * simulation.completions.filter(isCounted).length /
    simulation.sentRequests.filter(isCounted).length;
}

/**
 * Returns the time until the completion rate over half a second reaches a level,
 * in milliseconds, or the length of the period if it does not.
 */
function recoveryMs(
  simulation: OverloadSimulation,
  from: number,
  until: number,
  level: number,
  filter?: (completion: Completion) => boolean,
): number {
  // Without completions beforehand the level is 0, which any rate would reach.
  if (!(level > 0)) return until - from;
  for (let start = from; start + 500 <= until; start += 50) {
    if (completionRate(simulation, start, start + 500, filter) >= level) {
      return start - from;
    }
  }
  return until - from;
}

const MENUS: ServiceSpec = {
  name: "menus",
  workers: 3,
  slots: 10,
  serviceMs: 100,
  calls: [],
};

/** Capacity of the service in requests per second. */
const MENUS_CAPACITY = 300;

/** Service whose nodes only send calls in these scenarios. */
const EDGE: ServiceSpec = {
  name: "edge",
  workers: 3,
  slots: 10,
  serviceMs: 50,
  calls: [],
};

/** Share of the requests by priority; priority 0 is critical. */
const PRIORITY_SHARES = [0.15, 0.15, 0.35, 0.35] as const;

function mixedTraffic(service: string, perSecond: number): Traffic[] {
  return PRIORITY_SHARES.map((share, priority) => ({
    service,
    organisation: "co-op",
    priority: priority as Traffic["priority"],
    perSecond: perSecond * share,
  }));
}

function sendAll(
  simulation: OverloadSimulation,
  traffic: readonly Traffic[],
  untilMs: number,
): void {
  for (const part of traffic) void simulation.sendTraffic(part, untilMs);
}

for (const factor of [1, 2, 5]) {
  defineScenario({
    name: `demand ${factor}x`,
    services: [MENUS, EDGE],
    variants: factor === 5
      ? [
        PRODUCT,
        NO_CONTROL,
        FIXED_RETRIES,
        without("priorities"),
        without("shedding"),
        without("deadlines"),
        without("leases"),
        without("adaptiveLimit"),
      ]
      : [PRODUCT, NO_CONTROL, FIXED_RETRIES],
    run: async (simulation) => {
      const from = 5_000;
      const until = 20_000;
      sendAll(simulation, mixedTraffic("menus", MENUS_CAPACITY * 0.5), 3_000);
      await advanceTo(simulation, 3_000);
      sendAll(
        simulation,
        mixedTraffic("menus", MENUS_CAPACITY * factor),
        until,
      );
      await advanceTo(simulation, until);
      return [{
        name: "goodput of capacity",
        value: 100 * completionRate(simulation, from, until) / MENUS_CAPACITY,
        unit: "%",
        atLeast: 95,
      }, {
        name: "critical requests completed",
        value: completedShare(simulation, from, until - 1_000, 0),
        unit: "%",
        atLeast: 99,
      }];
    },
  });
}

const SURGE_VARIANTS = [
  PRODUCT,
  NO_CONTROL,
  FIXED_RETRIES,
  without("shedding"),
];

defineScenario({
  name: "surge of 5x, twice",
  services: [MENUS, EDGE],
  variants: SURGE_VARIANTS,
  run: async (simulation) => {
    const usual = mixedTraffic("menus", MENUS_CAPACITY * 0.7);
    const surge = mixedTraffic("menus", MENUS_CAPACITY * 4.3);
    sendAll(simulation, usual, 24_000);
    await advanceTo(simulation, 6_000);
    const usualRate = completionRate(simulation, 3_000, 6_000);
    const measurements: Measurement[] = [];
    for (const [index, end] of [10_000, 18_000].entries()) {
      await advanceTo(simulation, end - 4_000);
      sendAll(simulation, surge, end);
      await advanceTo(simulation, end + 4_000);
      measurements.push({
        name: `recovery after surge ${index + 1}`,
        value: recoveryMs(simulation, end, end + 4_000, 0.95 * usualRate),
        unit: "ms",
        atMost: 2_000,
      });
    }
    return measurements;
  },
});

/** Chain of four services, and two services that do not call it. */
const CHAIN: readonly ServiceSpec[] = [
  { name: "s1", workers: 2, slots: 32, serviceMs: 5, calls: ["s2"] },
  { name: "s2", workers: 2, slots: 32, serviceMs: 5, calls: ["s3"] },
  { name: "s3", workers: 2, slots: 32, serviceMs: 5, calls: ["s4"] },
  { name: "s4", workers: 2, slots: 8, serviceMs: 50, calls: [] },
  { name: "u1", workers: 2, slots: 16, serviceMs: 20, calls: ["u2"] },
  { name: "u2", workers: 2, slots: 16, serviceMs: 20, calls: [] },
];

defineScenario({
  name: "fourth service slow, twice",
  services: CHAIN,
  variants: [
    PRODUCT,
    NO_CONTROL,
    FIXED_RETRIES,
    without("pressure"),
    without("shedding"),
    without("adaptiveLimit"),
  ],
  run: async (simulation) => {
    const end = 86_000;
    sendAll(simulation, mixedTraffic("s1", 120), end);
    sendAll(simulation, mixedTraffic("u1", 150), end);
    await advanceTo(simulation, 10_000);
    const isChain = ({ service }: Completion) => service === "s1";
    const isOther = ({ service }: Completion) => service === "u1";
    const chainRate = completionRate(simulation, 5_000, 10_000, isChain);
    const otherRate = completionRate(simulation, 5_000, 10_000, isOther);
    const measurements: Measurement[] = [];
    for (const [index, start] of [10_000, 48_000].entries()) {
      await advanceTo(simulation, start);
      const executionsBefore = simulation.executions;
      const wastedBefore = simulation.wastedExecutions;
      simulation.serviceTimeFactors.set("s4", 10);
      await advanceTo(simulation, start + 30_000);
      simulation.serviceTimeFactors.clear();
      const otherRateInFault = completionRate(
        simulation,
        start,
        start + 30_000,
        isOther,
      );
      measurements.push({
        name: `other services in fault ${index + 1}`,
        value: 100 * otherRateInFault / otherRate,
        unit: "%",
        atLeast: 90,
      }, {
        name: `wasted executions in fault ${index + 1}`,
        value: 100 * (simulation.wastedExecutions - wastedBefore) /
          (simulation.executions - executionsBefore),
        unit: "%",
        atMost: 5,
      });
      await advanceTo(simulation, start + 38_000);
      measurements.push({
        name: `recovery after fault ${index + 1}`,
        value: recoveryMs(
          simulation,
          start + 30_000,
          start + 38_000,
          0.95 * chainRate,
          isChain,
        ),
        unit: "ms",
        atMost: 2_000,
      });
    }
    return measurements;
  },
});

const ORGANISATIONS = ["noisy", "a", "b", "c"];

defineScenario({
  name: "noisy neighbour",
  services: [MENUS, EDGE],
  variants: [
    PRODUCT,
    NO_CONTROL,
    FIXED_RETRIES,
    without("fairShares"),
    without("shedding"),
  ],
  run: async (simulation) => {
    const until = 34_000;
    for (const organisation of ORGANISATIONS) {
      const factor = organisation === "noisy" ? 10 : 1;
      sendAll(simulation, [{
        service: "menus",
        organisation,
        priority: 2,
        perSecond: factor * MENUS_CAPACITY * 0.4,
      }], until);
    }
    await advanceTo(simulation, until);
    const total = completionRate(simulation, 4_000, until);
    return ORGANISATIONS.map((organisation) => ({
      name: `share of ${organisation} relative to fair`,
      value: 100 * ORGANISATIONS.length / total *
        completionRate(
          simulation,
          4_000,
          until,
          (completion) => completion.organisation === organisation,
        ),
      unit: "%",
      atLeast: 95,
      atMost: 105,
    }));
  },
});

defineScenario({
  name: "organisation limit",
  services: [MENUS, EDGE],
  variants: [PRODUCT, NO_CONTROL, without("rateLimits")],
  run: async (simulation) => {
    const limit = 100;
    const until = 32_000;
    simulation.policies.limits.set("co-op", limit);
    simulation.nodes.forEach((_, index) =>
      void simulation.sendTraffic({
        service: "menus",
        organisation: "co-op",
        priority: 2,
        perSecond: 20 + 20 * index,
        nodes: [index],
      }, until)
    );
    await advanceTo(simulation, until);
    const rates = [12, 17, 22, 27].map((second) =>
      completionRate(simulation, second * 1_000, (second + 5) * 1_000)
    );
    return [{
      name: "least of four windows of 5 s",
      value: 100 * Math.min(...rates) / limit,
      unit: "%",
      atLeast: 90,
    }, {
      name: "greatest of four windows of 5 s",
      value: 100 * Math.max(...rates) / limit,
      unit: "%",
      atMost: 110,
    }];
  },
});
