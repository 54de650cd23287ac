import { expect, test } from "vitest";
import { Clock } from "@oleanderdeck/settings";
import {
  ALL_UNUSED,
  AllowanceLedger,
  type AttemptFailure,
  BUDGET_BASE_RETRIES,
  BUDGET_WINDOW_MS,
  ChainRetryPolicy,
  RetryBudget,
} from "./mod.ts";

class ManualClock extends Clock {
  time = 0;
  now(): number {
    return this.time;
  }
  sleep(): Promise<void> {
    return Promise.resolve();
  }
}

const failure: AttemptFailure = {
  kind: "connection_lost",
  run: "unknown",
  idempotent: true,
  bodyResendable: true,
  attempt: 1,
  timeLeftMs: 1000,
  expectedDurationMs: 10,
};

function policyWith(random: number): ChainRetryPolicy {
  const ledger = new AllowanceLedger(new ManualClock());
  return new ChainRetryPolicy(ledger, () => random);
}

// Guards against retries that cannot help or that may run a request twice.
test.each<[Partial<AttemptFailure>, boolean]>([
  [{}, true],
  [{ idempotent: false }, false],
  [{ idempotent: false, kind: "connection_refused", run: "no" }, true],
  [{ bodyResendable: false }, false],
  [{ timeLeftMs: 12 }, false],
  [{ kind: "shed_low_priority", run: "no" }, false],
  [{ kind: "deadline_exceeded" }, false],
  [{ kind: "draining", run: "no" }, true],
])("%o is retried: %s", (change, retried) => {
  const delay = policyWith(0.5).delayMs({ ...failure, ...change });
  expect(delay !== undefined).toBe(retried);
});

// Guards against many callers that retry at the same moment.
test("the delay has full jitter and an upper bound", () => {
  expect(policyWith(0).delayMs(failure)).toBe(0);
  expect(policyWith(0.5).delayMs({ ...failure, attempt: 3 })).toBe(10);
  expect(policyWith(1).delayMs({ ...failure, attempt: 30 })).toBe(100);
});

// Guards against one organisation that uses the capacity of all for retries.
test("the budget allows retries for a tenth of first attempts in the window", () => {
  const clock = new ManualClock();
  const budget = new RetryBudget(clock);
  for (let call = 0; call < 1000; call++) {
    budget.countFirstAttempt("lunchtable");
  }
  const taken = (organisation: string) => {
    let count = 0;
    while (budget.take(organisation)) count++;
    return count;
  };
  expect(taken("lunchtable")).toBe(BUDGET_BASE_RETRIES + 100);
  expect(taken("bandcraft")).toBe(BUDGET_BASE_RETRIES);
  clock.time += BUDGET_WINDOW_MS + 1000;
  expect(taken("lunchtable")).toBe(BUDGET_BASE_RETRIES);
});

// Guards against retries that are lent again after their entry has been closed
// or evicted.
test("a loan is returned once and never opened again", () => {
  const clock = new ManualClock();
  const ledger = new AllowanceLedger(clock, 2);
  const id = (number: number) => {
    const bytes = Buffer.alloc(16);
    bytes.writeUInt32BE(number, 12);
    return bytes;
  };
  ledger.open(id(1), 4).take();
  expect(ledger.close(id(1))).toBe(3);
  expect(ledger.close(id(1))).toBe(0);
  expect(ledger.open(id(1), 4).remaining).toBe(0);
  expect(ledger.close(id(2))).toBe(ALL_UNUSED);
  ledger.open(id(3), 4);
  ledger.open(id(4), 4);
  expect(ledger.size).toBe(2);
  expect(ledger.open(id(1), 4).remaining).toBe(0);
  expect(ledger.close(id(2))).toBe(0);
});
