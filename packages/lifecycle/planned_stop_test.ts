import { expect, test } from "vitest";
import type { EventFields } from "@oleanderdeck/observability";
import { PlannedStop } from "./mod.ts";

/** Stop that ends when it is told to, with what it logged and its exit codes. */
function makeStop(underWay = 3) {
  const lines: { event: string; fields: EventFields | undefined }[] = [];
  const exits: number[] = [];
  const settle = { resolve: () => {}, reject: (_error: Error) => {} };
  let begun = 0;
  const planned = new PlannedStop({
    log: {
      write: (_level, event, fields) => void lines.push({ event, fields }),
    },
    workUnderWay: () => ({ requests: underWay }),
    stop: () => {
      begun++;
      return new Promise((resolve, reject) =>
        Object.assign(settle, { resolve, reject })
      );
    },
    timeLimitMs: () => 60,
    exit: (code) => void exits.push(code),
  });
  return { planned, lines, exits, settle, begun: () => begun };
}

// Guards against a second signal that ends the process while requests are in
// progress (incident LOST).
test("signals that come again wait for the stop under way", async () => {
  const { planned, exits, settle, begun } = makeStop();
  const ended = (["SIGTERM", "SIGTERM", "SIGINT", "SIGTERM"] as const).map((
    signal,
  ) => planned.request(signal));
  let isEnded = false;
  void Promise.race(ended).then(() => isEnded = true);
  await new Promise((resolve) => setTimeout(resolve, 20));
  expect({ isEnded, exits, begun: begun() }).toEqual({
    isEnded: false,
    exits: [],
    begun: 1,
  });
  settle.resolve();
  await Promise.all(ended);
  expect({ exits, begun: begun() }).toEqual({ exits: [0], begun: 1 });
});

test("each signal is logged with its count and the work under way", async () => {
  const { planned, lines, settle } = makeStop();
  void planned.request("SIGTERM");
  void planned.request("SIGTERM");
  const ended = planned.request("SIGINT");
  settle.resolve();
  await ended;
  expect(
    lines.map(({ event, fields }) => [
      event,
      fields?.["signal"] ?? fields?.["reason"],
      fields?.["count"],
      fields?.["requests"],
    ]),
  ).toEqual([
    ["stop_signal", "SIGTERM", 1, 3],
    ["stop_signal", "SIGTERM", 2, 3],
    ["stop_signal", "SIGINT", 1, 3],
    ["process_ending", "SIGTERM", undefined, 3],
  ]);
  expect(lines.at(-1)?.fields).toMatchObject({
    sigterm_count: 2,
    sigint_count: 1,
  });
});

test("a stop that fails ends the process with another code", async () => {
  const { planned, exits, lines, settle } = makeStop();
  const ended = planned.request("SIGTERM");
  settle.reject(new Error("A listener cannot be closed"));
  await ended;
  expect(exits).toEqual([1]);
  expect(lines.at(-1)?.fields?.["fault"]).toContain("cannot be closed");
});

const pause = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

// Guards against errors that end the process while requests are in progress.
test.each([{ signals: [] }, { signals: ["SIGTERM"] }] as const)(
  "an unsound process ends its work first, after $signals",
  async ({ signals }) => {
    const { planned, lines, exits, settle, begun } = makeStop();
    signals.forEach((signal) => void planned.request(signal));
    const ended = ["errors", "errors"].map((reason) => planned.fail(reason));
    await pause(20);
    expect({ exits, begun: begun() }).toEqual({ exits: [], begun: 1 });
    settle.resolve();
    await Promise.all(ended);
    await pause(60);
    expect({ exits, begun: begun() }).toEqual({ exits: [1], begun: 1 });
    expect(lines.slice(signals.length).map(({ event }) => event)).toEqual([
      "stop_unsound",
      "process_ending",
    ]);
  },
);

test("an unsound process ends in time though its work doesn't", async () => {
  const { planned, lines, exits } = makeStop();
  void planned.fail("errors");
  await pause(40);
  expect(exits).toEqual([]);
  await expect.poll(() => exits).toEqual([1]);
  expect(lines.at(-1)?.fields).toMatchObject({ reason: "errors", code: 1 });
});
