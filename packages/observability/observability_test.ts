import { createSocket, type Socket } from "node:dgram";
import { readFileSync } from "node:fs";
import { Writable } from "node:stream";
import { afterEach, beforeEach, expect, test } from "vitest";
import { ERROR_KINDS } from "@oleanderdeck/errors";
import {
  EventLog,
  type EventLogOptions,
  MAX_VALUE_LENGTH,
  RETRY_REASONS,
  StatsdMetrics,
} from "./mod.ts";

function newCapturedLog(level: EventLogOptions["level"]) {
  const lines: string[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      lines.push(String(chunk));
      done();
    },
  });
  const log = new EventLog({ level, output, now: () => 1_700_000_000_000 });
  return { lines, log };
}

// Guards against a change of the format that programs which read logs rely on.
test("events match the golden lines", () => {
  const { lines, log } = newCapturedLog("info");
  log.write("info", "store_reached");
  log.write("warn", "call_refused", {
    kind: "shed_low_priority",
    service: "menus",
    waited_ms: 12.5,
    incarnation: 2n ** 63n,
    retried: false,
    absent: undefined,
  });
  log.write("error", "document_not_compiled", {
    error: 'Expected "=" %s\n at line 1',
    empty: "",
    path: "/menus/\u0007",
  });
  log.write("debug", "not_written");
  const golden = new URL("./golden/events.txt", import.meta.url);
  expect(lines.join("")).toBe(readFileSync(golden, "utf8"));
});

// Guards against callers that fill the log with long texts.
test("long texts are truncated", () => {
  const { lines, log } = newCapturedLog("debug");
  log.write("debug", "long", { text: "x".repeat(100_000) });
  expect(lines[0]!.length).toBeLessThan(MAX_VALUE_LENGTH + 100);
});

let socket: Socket;
let received: string[];

beforeEach(async () => {
  received = [];
  socket = createSocket("udp4");
  socket.on("message", (message) => {
    received.push(...String(message).split("\n").filter(Boolean));
  });
  await new Promise<void>((resolve) => socket.bind(0, "127.0.0.1", resolve));
});

afterEach(() => void socket.close());

function newMetrics(intervalMs = 60_000): StatsdMetrics {
  return new StatsdMetrics({
    host: "127.0.0.1",
    port: socket.address().port,
    tags: { node: "a" },
    intervalMs,
  });
}

// Guards against a refusal or retry without a counter.
test("every refusal and retry reason has a counter", async () => {
  const metrics = newMetrics();
  for (const kind of ERROR_KINDS) metrics.countRefusal(kind, "menus");
  for (const reason of RETRY_REASONS) metrics.countRetry(reason, "menus");
  metrics.countRetry("no_progress", "menus");
  await metrics.close();
  const names = [
    ...ERROR_KINDS.map((kind) => `refusal.${kind}:1`),
    ...RETRY_REASONS.map((reason) =>
      `retry.${reason}:${reason === "no_progress" ? 2 : 1}`
    ),
  ];
  await expect.poll(() => [...received].sort()).toEqual(
    names.map((name) => `oleanderdeck.${name}|c|#node:a,service:menus`).sort(),
  );
});

// Guards against traffic that grows with the number of calls.
test("many calls are sent as a few lines", async () => {
  const metrics = newMetrics();
  for (let call = 1; call <= 1_000; call++) {
    metrics.timing("call", call / 10, "menus");
    metrics.gauge("in_flight", call);
    metrics.count("calls");
  }
  await metrics.close();
  await expect.poll(() => received.length).toBe(6);
  const value = (name: string) =>
    Number(
      received.find((line) => line.startsWith(`oleanderdeck.${name}:`))
        ?.split(/[:|]/)[1],
    );
  expect(value("calls")).toBe(1_000);
  expect(value("in_flight")).toBe(1_000);
  expect(value("call.count")).toBe(1_000);
  // Two significant digits.
  expect(Math.abs(value("call.p50") - 50)).toBeLessThan(1);
  expect(Math.abs(value("call.p99") - 99)).toBeLessThan(2);
  expect(Math.abs(value("call.max") - 100)).toBeLessThan(2);
});

// Guards against counts that are sent twice, late or never.
test("an interval sends what was counted in it", async () => {
  const metrics = newMetrics(20);
  metrics.count("calls", 3);
  await expect.poll(() => received, { timeout: 5_000 })
    .toEqual(["oleanderdeck.calls:3|c|#node:a"]);
  metrics.count("calls", 4);
  await metrics.close();
  await expect.poll(() => received.length).toBe(2);
  expect(received[1]).toContain("calls:4|c");
});

// Guards against memory exhaustion by names that callers send.
test("the number of series is bounded", async () => {
  const metrics = newMetrics();
  for (let index = 0; index < 10_000; index++) {
    metrics.countRefusal("no_such_service", `service-${index}`);
    metrics.timing("call", 1, `service-${index}`);
  }
  await metrics.close();
  await expect.poll(() =>
    received.some((line) => line.startsWith("oleanderdeck.series_dropped:"))
  ).toBe(true);
});
