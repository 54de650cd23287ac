import { formatReport } from "@oleanderdeck/load";
import {
  type DemonstrationResult,
  PHASES,
  phaseTimeRange,
} from "./demonstration.ts";
import { recoveryMs } from "./recovery.ts";

/** Evaluation of the result of a demonstration. */
export interface DemonstrationEvaluation {
  /** Lines to print: the load report, recovery times and violation counts. */
  readonly lines: readonly string[];
  /** Names of the invariants that were violated; empty if all held. */
  readonly violatedInvariants: readonly string[];
}

function countViolations(result: DemonstrationResult): Record<string, number> {
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
  const before = phaseTimeRange(description, PHASES.steady);
  const causes = {
    surge: PHASES.afterSurge,
    "slow service": PHASES.afterSlow,
    "lost host": PHASES.stopped,
  };
  return Object.entries(causes).map(([cause, index]) => {
    const after = phaseTimeRange(description, index);
    const time = recoveryMs(load, { before, after });
    return `recovery after ${cause}: ${
      time === undefined ? "not within the phase" : `${time} ms`
    }`;
  });
}

/** Formats the result of a demonstration and checks its invariants. */
export function evaluateResult(
  result: DemonstrationResult,
): DemonstrationEvaluation {
  const counts = Object.entries(countViolations(result));
  const violatedInvariants = counts
    .filter(([, count]) => count > 0)
    .map(([name]) => name);
  const lines = [
    `== ${result.deployment.name} ==`,
    ...formatReport(result.load),
    ...recoveryLines(result),
    ...counts.map(([name, count]) => `${name}: ${count}`),
    violatedInvariants.length === 0
      ? "all invariants held"
      : `broken invariants: ${violatedInvariants.join(", ")}`,
  ];
  return { lines, violatedInvariants };
}
