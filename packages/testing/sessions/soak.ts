import fc from "fast-check";
import { checkInvariants } from "../invariants/mod.ts";
import { type FaultSchedule, faultSchedule } from "./fault_schedule.ts";
import { runSchedule } from "./run_schedule.ts";
import type { SessionNodeVariant } from "./session_node.ts";
import { tellSession } from "./session_story.ts";

/** Options of {@linkcode soak}. */
export interface SoakOptions {
  readonly schedules: number;
  readonly seed: number;
  readonly variant?: SessionNodeVariant;
}

/** Result of a soak; it ends at the first schedule that breaks an invariant. */
export interface SoakReport {
  readonly schedules: number;
  /** Messages of the broken invariants of the shortest schedule. */
  readonly broken: readonly string[];
  /** Seed and path with which fast-check repeats the failure. */
  readonly replay: string;
  /** Story of the shortest failing schedule; empty if there is none. */
  readonly story: string;
}

/** Runs seeded schedules and checks all invariants against each session. */
export async function soak(options: SoakOptions): Promise<SoakReport> {
  const { schedules, seed, variant } = options;
  const property = fc.asyncProperty(
    faultSchedule,
    async (schedule) => (await findBroken(schedule, variant)).length === 0,
  );
  const result = await fc.check(property, { numRuns: schedules, seed });
  const failing = result.counterexample?.[0];
  const replay = `seed ${seed}, path ${result.counterexamplePath ?? "none"}`;
  if (failing === undefined) {
    return { schedules: result.numRuns, broken: [], replay, story: "" };
  }
  return {
    schedules: result.numRuns,
    broken: await findBroken(failing, variant),
    replay,
    story: `${JSON.stringify(failing)}\n` +
      tellSession(await runSchedule(failing, variant)),
  };
}

async function findBroken(
  schedule: FaultSchedule,
  variant: SessionNodeVariant | undefined,
): Promise<readonly string[]> {
  return checkInvariants(await runSchedule(schedule, variant)).map(
    ({ at, invariant, message }) =>
      `${invariant}: ${message}, at ${(at / 1_000).toFixed(3)} s`,
  );
}
