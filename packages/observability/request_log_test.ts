import { Writable } from "node:stream";
import { expect, test } from "vitest";
import { EventLog, MetricsRegistry, RequestLog } from "./mod.ts";

async function start() {
  const lines: string[] = [];
  const log = new EventLog({
    level: "info",
    output: new Writable({
      write: (chunk, _encoding, done) => {
        lines.push(String(chunk));
        done();
      },
    }),
  });
  const metrics = new MetricsRegistry();
  return { lines, metrics, requests: await RequestLog.open({ log, metrics }) };
}

test("a failure is written with its inputs", async () => {
  const { lines, requests } = await start();
  requests.write("request_refused", "a1", () => ({ reason: "no_worker" }));
  expect(lines[0]).toContain("request=a1 reason=no_worker");
  expect(lines[0]).toContain("event=request_refused");
});

// Guards against a chain of requests that is logged by one node and not by
// another.
test("all requests of a chain are in the sample", async () => {
  const { lines, requests } = await start();
  const roots = Array.from({ length: 640 }, (_, index) => `root${index}`);
  const inSample = (id: string) => {
    lines.length = 0;
    requests.write("request_answered", id, () => ({}));
    return lines.length === 1;
  };
  const chosen = roots.filter((root) => inSample(root));
  expect(chosen.length).toBeGreaterThan(2);
  expect(chosen.length).toBeLessThan(30);
  expect(chosen.every((root) => inSample(`${root}.2.7`))).toBe(true);
});

// Guards against a log that grows with the number of refusals.
test("lines beyond the bound are counted", async () => {
  const { lines, metrics, requests } = await start();
  for (let count = 0; count < 500; count++) {
    requests.write("request_refused", `r${count}`, () => ({}));
  }
  expect(lines.length).toBeLessThan(150);
  expect(metrics.render()).toContain(
    'log_lines_left_out{event="request_refused"}',
  );
});
