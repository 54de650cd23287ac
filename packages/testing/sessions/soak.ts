import fc from "fast-check";
import { checkInvariants, type Violation } from "../invariants/mod.ts";
import { type FaultSchedule, faultSchedule } from "./fault_schedule.ts";
import { runSchedule } from "./run_schedule.ts";
import type { SessionNodeVariant } from "./session_node.ts";
import { formatSession } from "./format_session.ts";

/** Options of {@linkcode soak}. */
export interface SoakOptions {
  readonly schedules: number;
  readonly seed: number;
  readonly variant?: SessionNodeVariant;
  /** Time limit for shrinking a schedule, in ms; 20,000 by default. */
  readonly shrinkMs?: number;
}

/** An invariant that at least one schedule broke. */
export interface BrokenInvariant {
  readonly invariant: string;
  /** Number of schedules that broke the invariant. */
  readonly schedules: number;
  /** Seed and path with which fast-check replays the shrunk schedule. */
  readonly replay: string;
  /** Violations, JSON and formatted session of the shrunk schedule. */
  readonly story: string;
}

/** Result of a soak. */
export interface SoakReport {
  readonly schedules: number;
  readonly broken: readonly BrokenInvariant[];
}

/** Default time limit for shrinking a schedule, in milliseconds. */
const SHRINK_MS = 20_000;

/**
 * Runs seeded random schedules and checks all invariants against each session.
 * For each broken invariant, shrinks the first schedule that broke it.
 */
export async function soak(options: SoakOptions): Promise<SoakReport> {
  const { schedules, seed, variant } = options;
  const failing = new Map<string, number[]>();
  let index = 0;
  const property = fc.asyncProperty(faultSchedule, async (schedule) => {
    const names = new Set(
      (await check(schedule, variant)).map(({ invariant }) => invariant),
    );
    for (const name of names) {
      failing.set(name, [...failing.get(name) ?? [], index]);
    }
    index++;
  });
  await fc.assert(property, { numRuns: schedules, seed });
  const broken: BrokenInvariant[] = [];
  for (const [invariant, indices] of failing) {
    broken.push(await shrink(options, { invariant, indices }));
  }
  return { schedules: index, broken };
}

async function shrink(
  { seed, variant, shrinkMs }: SoakOptions,
  found: { readonly invariant: string; readonly indices: readonly number[] },
): Promise<BrokenInvariant> {
  const { invariant, indices } = found;
  const breaks = (violations: readonly Violation[]) =>
    violations.filter((violation) => violation.invariant === invariant);
  const property = fc.asyncProperty(
    faultSchedule,
    async (schedule) => breaks(await check(schedule, variant)).length === 0,
  );
  const result = await fc.check(property, {
    seed,
    path: String(indices[0]),
    numRuns: 1,
    interruptAfterTimeLimit: shrinkMs ?? SHRINK_MS,
  });
  const schedule = result.counterexample?.[0];
  const replay = `seed ${seed}, path ${result.counterexamplePath}`;
  if (schedule === undefined) {
    return { invariant, schedules: indices.length, replay, story: "" };
  }
  const session = await runSchedule(schedule, variant);
  const messages = breaks(checkInvariants(session)).map(({ at, message }) =>
    `${(at / 1_000).toFixed(3)} s: ${message}`
  );
  return {
    invariant,
    schedules: indices.length,
    replay,
    story: [...messages, JSON.stringify(schedule), formatSession(session)]
      .join("\n"),
  };
}

async function check(
  schedule: FaultSchedule,
  variant: SessionNodeVariant | undefined,
): Promise<readonly Violation[]> {
  return checkInvariants(await runSchedule(schedule, variant));
}
