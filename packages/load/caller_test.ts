import type { Dispatcher } from "undici";
import { afterEach, expect, test, vi } from "vitest";
import { seededRandom } from "./arrivals.ts";
import { Caller } from "./caller.ts";
import { loadDescriptionSchema } from "./load_description.ts";

afterEach(() => vi.useRealTimers());

// Guards against a caller that gives up before the rejection that a node sends
// at the deadline arrives, and counts it as a timeout with unknown execution.
test("a response at the deadline is received", async () => {
  vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout"] });
  const dispatch: Dispatcher["dispatch"] = ({ headers }, handler) => {
    const { "oleanderdeck-timeout-ms": timeoutMs } = headers as Record<
      string,
      string
    >;
    setTimeout(() => {
      const controller = {} as Dispatcher.DispatchController;
      handler.onRequestStart?.(controller, {});
      handler.onResponseStart?.(controller, 504, {
        "content-length": "0",
        "oleanderdeck-error": "deadline_exceeded",
        "oleanderdeck-run": "no",
      });
      handler.onResponseEnd?.(controller, {});
    }, Number(timeoutMs) + 50);
    return true;
  };
  const { calls } = loadDescriptionSchema.parse({
    nodes: ["127.0.0.1:1"],
    phases: [{ durationMs: 1, multiplier: 1 }],
    calls: [{ service: "s", callsPerSecond: 1, timeoutMs: 200 }],
  });
  const caller = new Caller(calls[0]!, {
    nextNode: () => ({ dispatch }) as Dispatcher,
    random: seededRandom(1),
    signal: new AbortController().signal,
    onAttempt: () => {},
    onPermit: () => {},
  });
  const result = caller.run();
  await vi.runAllTimersAsync();
  expect(await result).toMatchObject({
    outcome: "rejected",
    kind: "deadline_exceeded",
    run: "no",
  });
});
