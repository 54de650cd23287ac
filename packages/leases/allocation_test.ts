import fc from "fast-check";
import { expect, test } from "vitest";
import { allocate, divideMaxMin } from "./allocation.ts";

const weightedDemands = fc.array(
  fc.record({
    weight: fc.integer({ min: 1, max: 10 }),
    amount: fc.integer({ min: 0, max: 1_000 }),
  }),
  { minLength: 1, maxLength: 12 },
);

// Guards against capacity that stays unused while a demand is unmet, and
// against a participant that receives more per weight than one with an unmet
// demand.
test("max-min shares use the capacity and are fair by weight", () => {
  fc.assert(fc.property(weightedDemands, fc.nat(2_000), (demands, capacity) => {
    const shares = divideMaxMin(capacity, demands);
    const totalDemand = demands.reduce((sum, demand) => sum + demand.amount, 0);
    const total = shares.reduce((sum, share) => sum + share, 0);
    expect(total).toBeCloseTo(Math.min(capacity, totalDemand), 6);
    const underservedShares = demands.flatMap((demand, index) =>
      shares[index]! < demand.amount - 1e-6
        ? [shares[index]! / demand.weight]
        : []
    );
    const minUnderservedShare = Math.min(...underservedShares, Infinity);
    demands.forEach((demand, index) =>
      expect(shares[index]! / demand.weight).toBeLessThanOrEqual(
        minUnderservedShare + 1e-6,
      )
    );
  }));
});

test("lower priority ranks are served first", () => {
  const demands = [
    { holder: "a", priority: 2, organisation: "x", amount: 50 },
    { holder: "b", priority: 0, organisation: "x", amount: 7 },
  ];
  const shares = allocate(10, demands, { weight: () => 1, rotation: 0 });
  expect(Object.fromEntries(shares)).toEqual({ a: 3, b: 7 });
});

// Guards against an organisation that gains a larger share by sending its calls
// through several holders.
test("an organisation with high demand is bounded across holders", () => {
  const demands = ["a", "b", "c"].flatMap((holder) => [
    { holder, priority: 1, organisation: "noisy", amount: 100 },
    { holder, priority: 1, organisation: holder, amount: 10 },
  ]);
  const shares = allocate(40, demands, { weight: () => 1, rotation: 0 });
  expect([...shares.values()].reduce((sum, share) => sum + share, 0)).toBe(40);
  for (const share of shares.values()) expect(share).toBeGreaterThan(12);
});

// Guards against one holder that keeps the only slot because its name sorts
// first.
test("holders with shares below one slot take turns", () => {
  const demands = ["a", "b", "c"].map((holder) => ({
    holder,
    priority: 1,
    organisation: "x",
    amount: 1,
  }));
  const winners = [0, 1, 2].map((rotation) => {
    const shares = allocate(1, demands, { weight: () => 1, rotation });
    return [...shares].find(([, share]) => share === 1)?.[0];
  });
  expect(new Set(winners).size).toBe(3);
});
