import { expect, test } from "vitest";
import { Attempt, type WorkerResult } from "./mod.ts";

const FULL: WorkerResult = {
  kind: "failure",
  error: "queue_full",
  mayHaveRun: false,
  wasSent: false,
  retryAfterMs: 0,
};

type Finish = (result: WorkerResult) => void;

// Guards against a call that is not cancelled, since the handle of another one,
// which was refused at once, took the place of its own (GONE).
test("an outcome within the run comes when the run has returned", () => {
  const events: string[] = [];
  new Attempt(() => events.push("outcome")).start((finish) => {
    finish(FULL);
    events.push("returned");
    return { cancel: () => undefined };
  });
  expect(events).toEqual(["returned", "outcome"]);
});

test("an attempt that is cancelled within its run is cancelled", () => {
  const cancelled: string[] = [];
  const attempt = new Attempt(() => undefined);
  attempt.start(() => {
    attempt.cancel();
    return { cancel: () => cancelled.push("r1") };
  });
  expect(cancelled).toEqual(["r1"]);
});

test("an attempt has one outcome, and is not cancelled after it", () => {
  const seen: string[] = [];
  const attempt = new Attempt(() => seen.push("outcome"));
  let finish: Finish = () => undefined;
  attempt.start((receiver) => {
    finish = receiver;
    return { cancel: () => seen.push("cancelled") };
  });
  finish(FULL);
  finish(FULL);
  attempt.cancel();
  expect(seen).toEqual(["outcome"]);
});

test("an attempt is started only once", () => {
  const attempt = new Attempt(() => undefined);
  const run = () => ({ cancel: () => undefined });
  attempt.start(run);
  expect(() => attempt.start(run)).toThrow("only once");
});
