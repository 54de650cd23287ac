import { expect, test } from "vitest";
import { OverloadMeter } from "./mod.ts";

const lowLoadInterval = {
  arrived: 20,
  refused: 0,
  running: 4,
  waitMs: 0,
  latencyTargetMs: 300,
  slots: 10,
};

function meterAfter(
  count: number,
  interval: Partial<typeof lowLoadInterval>,
  meter = new OverloadMeter(),
): OverloadMeter {
  for (let turn = 0; turn < count; turn++) {
    meter.update({ ...lowLoadInterval, ...interval });
  }
  return meter;
}

test("there is no pressure without refusals", () => {
  expect(meterAfter(100, { running: 10, waitMs: 60 }).pressure).toBe(0);
});

test("refusals raise the pressure up to 1", () => {
  expect(meterAfter(2, { refused: 20 }).pressure).toBeCloseTo(0.3);
  expect(meterAfter(50, { refused: 20 }).pressure).toBe(1);
});

// Guards against a queue that grows until calls exceed their deadlines.
test("a long queue raises the pressure before calls are refused", () => {
  expect(meterAfter(10, { running: 10, waitMs: 120 }).pressure).toBeGreaterThan(
    0.1,
  );
});

// Guards against requests that are still refused long after an overload.
test("the pressure falls to 0 in 20 intervals once slots are free", () => {
  const meter = meterAfter(50, { refused: 20 });
  expect(meterAfter(20, {}, meter).pressure).toBe(0);
});
