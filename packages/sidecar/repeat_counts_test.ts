import { Writable } from "node:stream";
import { expect, test } from "vitest";
import { EventLog, MetricsPage } from "@oleanderdeck/observability";
import { RepeatCounts } from "./repeat_counts.ts";

function started() {
  const lines: string[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      lines.push(String(chunk));
      done();
    },
  });
  const metrics = new MetricsPage();
  const log = new EventLog({ level: "info", output });
  return { counts: new RepeatCounts({ log, metrics }), lines, metrics };
}

// Guards against logs that do not tell repeats from the calls of repeated runs.
test("a report tells the kinds of sends to each service", () => {
  const { counts, lines, metrics } = started();
  counts.note("members", "first");
  counts.note("members", "nested");
  counts.note("members", "repeated");
  counts.note("members", "repeated");
  counts.note("menus", "first");
  counts.report();
  expect(lines).toHaveLength(1);
  expect(lines[0]).toContain("service=members first=1 nested=1 repeated=2");
  expect(metrics.render()).toContain('sends{kind="first",service="menus"} 1');
});

test("a report begins anew after each line", () => {
  const { counts, lines } = started();
  counts.note("members", "repeated");
  counts.report();
  counts.note("members", "first");
  counts.report();
  expect(lines).toHaveLength(1);
});
