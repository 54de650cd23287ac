import fc from "fast-check";
import { expect, test } from "vitest";
import { allocate, divideMaxMin } from "./allocation.ts";

const claims = fc.array(
  fc.record({
    weight: fc.integer({ min: 1, max: 10 }),
    amount: fc.integer({ min: 0, max: 1_000 }),
  }),
  { minLength: 1, maxLength: 12 },
);

test("max-min leaves nothing unused and favours nobody", () => {
  fc.assert(fc.property(claims, fc.nat(2_000), (demands, capacity) => {
    const shares = divideMaxMin(capacity, demands);
    const wanted = demands.reduce((sum, claim) => sum + claim.amount, 0);
    const total = shares.reduce((sum, share) => sum + share, 0);
    expect(total).toBeCloseTo(Math.min(capacity, wanted), 6);
    const short = demands.flatMap((claim, index) =>
      shares[index]! < claim.amount - 1e-6
        ? [shares[index]! / claim.weight]
        : []
    );
    const least = Math.min(...short, Infinity);
    demands.forEach((claim, index) =>
      expect(shares[index]! / claim.weight).toBeLessThanOrEqual(least + 1e-6)
    );
  }));
});

test("allocation serves the more important priority first", () => {
  const demands = [
    { holder: "a", priority: 2, organisation: "x", amount: 50 },
    { holder: "b", priority: 0, organisation: "x", amount: 7 },
  ];
  const shares = allocate(10, demands, { weight: () => 1, rotation: 0 });
  expect(Object.fromEntries(shares)).toEqual({ a: 3, b: 7 });
});

test("allocation bounds a noisy organisation across holders", () => {
  const demands = ["a", "b", "c"].flatMap((holder) => [
    { holder, priority: 1, organisation: "noisy", amount: 100 },
    { holder, priority: 1, organisation: holder, amount: 10 },
  ]);
  const shares = allocate(40, demands, { weight: () => 1, rotation: 0 });
  expect([...shares.values()].reduce((sum, share) => sum + share, 0)).toBe(40);
  for (const share of shares.values()) expect(share).toBeGreaterThan(12);
});

test("holders with less than one slot each take turns", () => {
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
