import { formatReport } from "@oleanderdeck/load";
import {
  type DemonstrationResult,
  PHASES,
  phaseSpan,
} from "./demonstration.ts";
import { recoveryMs } from "./recovery.ts";

/** Verdict about a demonstration. */
export interface Judgement {
  /** Table and findings. */
  readonly lines: readonly string[];
  /** Invariants that were broken; empty when all held. */
  readonly broken: readonly string[];
}

function invariants(result: DemonstrationResult): Record<string, number> {
  const { load, standIns, stoppedCleanly } = result;
  const sum = (read: (state: typeof standIns[number]) => number) =>
    standIns.reduce((total, state) => total + read(state), 0);
  return {
    "duplicated non-idempotent requests": sum((state) =>
      Object.keys(state.duplicatePosts).length
    ),
    "answers with a wrong body": load.totals.attempts.outcomes.wrong_body ?? 0,
    "corrupt request bodies": sum((state) => state.counts.corruptBodies),
    "requests beyond the slots": sum((state) => state.counts.refusedFull),
    "unclean stops": stoppedCleanly ? 0 : 1,
  };
}

function recoveryLines(result: DemonstrationResult): readonly string[] {
  const { description, load } = result;
  const before = phaseSpan(description, PHASES.steady);
  const causes = {
    surge: PHASES.afterSurge,
    "slow service": PHASES.afterSlow,
    "lost host": PHASES.stopped,
  };
  return Object.entries(causes).map(([cause, index]) => {
    const after = phaseSpan(description, index);
    const time = recoveryMs(load, { before, after });
    return `recovery after ${cause}: ${
      time === undefined ? "not within the phase" : `${time} ms`
    }`;
  });
}

/** Makes the table of a demonstration and checks its invariants. */
export function judge(result: DemonstrationResult): Judgement {
  const counts = Object.entries(invariants(result));
  const broken = counts.filter(([, count]) => count > 0).map(([name]) => name);
  const lines = [
    `== ${result.deployment.name} ==`,
    ...formatReport(result.load),
    ...recoveryLines(result),
    ...counts.map(([name, count]) => `${name}: ${count}`),
    broken.length === 0
      ? "all invariants held"
      : `broken invariants: ${broken.join(", ")}`,
  ];
  return { lines, broken };
}
