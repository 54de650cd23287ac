import fc from "fast-check";
import { expect, test } from "vitest";
import { RepeatBudget } from "./mod.ts";

const RATIO = 0.2;
const BASE_REPEATS = 4;
const WINDOW_MS = 10_000;
const NODES = 3;

interface Burst {
  readonly node: number;
  /** Time since the previous burst, in milliseconds. */
  readonly afterMs: number;
  readonly requests: number;
  readonly wantedRepeats: number;
}

interface SentRequest {
  readonly at: number;
  readonly isRepeat: boolean;
}

const bursts = fc.array(
  fc.record({
    node: fc.nat(NODES - 1),
    afterMs: fc.oneof(fc.nat(400), fc.nat(4_000)),
    requests: fc.oneof(fc.nat(20), fc.nat(400)),
    wantedRepeats: fc.oneof(fc.nat(10), fc.nat(200)),
  }),
  { minLength: 1, maxLength: 60 },
);

// Each node has an equal share of the base repeats. Returns the requests that all
// nodes sent.
function simulate(schedule: readonly Burst[]): readonly SentRequest[] {
  let time = 0;
  const budgets = Array.from({ length: NODES }, () =>
    new RepeatBudget({
      ratio: () => RATIO,
      baseRepeats: () => BASE_REPEATS / NODES,
      windowMs: WINDOW_MS,
      now: () => time,
    }));
  return schedule.flatMap(({ node, afterMs, requests, wantedRepeats }) => {
    time += afterMs;
    const budget = budgets[node]!;
    const sentRequests = Array.from({ length: requests }, () => {
      budget.countRequest();
      return { at: time, isRepeat: false };
    });
    const wanted = Array.from({ length: wantedRepeats }, () => budget.take());
    return [
      ...sentRequests,
      ...wanted.filter(Boolean).map(() => ({ at: time, isRepeat: true })),
    ];
  });
}

function count(sent: readonly SentRequest[], isRepeat: boolean, from: number) {
  return sent.filter((request) =>
    request.isRepeat === isRepeat && request.at >= from &&
    request.at < from + WINDOW_MS
  ).length;
}

// Guards against repeats beyond the bound in a window that begins within a
// bucket, or when nodes receive their requests in different windows.
test("the repeats of all nodes stay within the bound in every window", () => {
  const property = fc.property(bursts, (schedule) => {
    const sent = simulate(schedule);
    const starts = new Set(
      sent.filter(({ isRepeat }) => isRepeat).map(({ at }) => at),
    );
    starts.forEach((start) => {
      const requests = [0, WINDOW_MS / 2, WINDOW_MS].map((offsetMs) =>
        count(sent, false, start - offsetMs)
      );
      expect(count(sent, true, start))
        .toBeLessThanOrEqual(RATIO * Math.max(...requests) + BASE_REPEATS);
    });
  });
  fc.assert(property, { numRuns: 300, seed: 15 });
});

// Guards against a budget that stays within the bound by refusing most repeats.
test("steady demand may use nine tenths of the bound", () => {
  let time = 0;
  const budget = new RepeatBudget({
    ratio: () => RATIO,
    baseRepeats: () => 0,
    windowMs: WINDOW_MS,
    now: () => time,
  });
  const taken: number[] = [];
  for (; time < 40_000; time += 10) {
    budget.countRequest();
    if (budget.take()) taken.push(time);
  }
  const late = taken.filter((at) => at >= 40_000 - WINDOW_MS);
  expect(late.length).toBeGreaterThan(0.9 * RATIO * WINDOW_MS / 10);
});

test("repeats without requests are bounded by the base repeats", () => {
  let time = 123_456;
  const budget = new RepeatBudget({
    ratio: () => RATIO,
    baseRepeats: () => 2,
    windowMs: WINDOW_MS,
    now: () => time,
  });
  expect([budget.take(), budget.take(), budget.take()])
    .toEqual([true, true, false]);
  time += WINDOW_MS + 500;
  expect(budget.take()).toBe(true);
});

// Guards against an unused share of 0 right after a burst of repeats, which
// would stop repeats for a full window.
test("the unused share covers a complete window", () => {
  let time = 0;
  const budget = new RepeatBudget({
    ratio: () => RATIO,
    baseRepeats: () => 0,
    windowMs: WINDOW_MS,
    now: () => time,
  });
  for (; time < 30_000; time += 10) budget.countRequest();
  expect(budget.unusedShare).toBe(1);
  while (budget.take());
  expect(budget.remaining).toBeLessThan(1);
  expect(budget.unusedShare).toBeGreaterThan(0.5);
  const until = time + 2 * WINDOW_MS;
  for (; time < until; time += 10) {
    budget.countRequest();
    while (budget.take());
  }
  expect(budget.unusedShare).toBeLessThan(0.1);
});
