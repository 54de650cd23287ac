import { expect, test } from "vitest";
import { PermitLedger } from "@oleanderdeck/idempotency";
import { soak } from "./sessions/mod.ts";

/** Ledger that treats each request as the first one. */
class ForgetfulLedger extends PermitLedger {
  override begin(...request: Parameters<PermitLedger["begin"]>) {
    return { ...super.begin(...request), action: "run" } as const;
  }
}

// Guards against promises that break only under combined faults. The whole
// number of schedules is run by bench/soak_main.ts.
test("no schedule of faults breaks an invariant", async () => {
  const report = await soak({ schedules: 300, seed: 20_261_204 });
  expect(report.broken, `${report.replay}\n${report.story}`).toEqual([]);
  expect(report.schedules).toBe(300);
}, 120_000);

// Guards against a soak that finds nothing, or nothing that can be read.
test("a ledger that forgets is found with a short story", async () => {
  const report = await soak({
    schedules: 300,
    seed: 1,
    variant: { ledger: (node) => new ForgetfulLedger(node) },
  });
  expect(report.broken.join()).toContain("run at most once");
  expect(report.story.split("\n").length).toBeLessThan(60);
}, 120_000);
