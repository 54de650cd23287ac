import { expect, test } from "vitest";
import { endTimes, stopTimes } from "./_stop_times.ts";

/** Time in which the log leaves, and the process ends, in milliseconds. */
const LOG_MS = 100;
const PROCESS_END_MS = 80;

// Guards against a process that gives work up at the end of its grace and is killed
// before it has ended (soak, 17 hosts, seed 202).
test.each([2_000, 3_000, 6_000])(
  "a stop of %i ms that gives work up ends within its grace",
  (graceMs) => {
    const startedAt = performance.now();
    const times = stopTimes(graceMs);
    expect(endTimes(times).latestAt + LOG_MS + PROCESS_END_MS)
      .toBeLessThanOrEqual(startedAt + graceMs + 1);
    expect(times.closesAt).toBeGreaterThanOrEqual(startedAt + graceMs * 5 / 6);
  },
);
