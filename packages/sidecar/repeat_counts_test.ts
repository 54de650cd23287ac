import { Writable } from "node:stream";
import { expect, test } from "vitest";
import { EventLog, MetricsRegistry } from "@oleanderdeck/observability";
import { RepeatCounts } from "./repeat_counts.ts";

function createCounts() {
  const lines: string[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      lines.push(String(chunk));
      done();
    },
  });
  const metrics = new MetricsRegistry();
  const log = new EventLog({ level: "info", output });
  return { counts: new RepeatCounts({ log, metrics }), lines, metrics };
}

// Guards against logs that do not show how far repeats are from their limit.
test("a log line has the counts of first calls, repeats and refused repeats", () => {
  const { counts, lines, metrics } = createCounts();
  counts.increment("first");
  counts.increment("first");
  counts.increment("repeat");
  counts.increment("refused");
  counts.logAndReset();
  expect(lines).toHaveLength(1);
  expect(lines[0]).toContain("first=2 repeat=1 refused=1");
  expect(metrics.render()).toContain('gate_calls{kind="first"} 2');
});

test("counts are reset after each log line", () => {
  const { counts, lines } = createCounts();
  counts.increment("repeat");
  counts.logAndReset();
  counts.increment("first");
  counts.logAndReset();
  expect(lines).toHaveLength(1);
});
