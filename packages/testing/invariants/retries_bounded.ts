import { eventsOf, groupBy, Invariant, type Violation } from "./invariant.ts";
import type { SessionEvent } from "./session_event.ts";

/**
 * Checks that retries for one request are bounded over the complete call chain:
 * there are no more retries than the allowance of the root request, and no
 * service runs more requests than its first attempts plus that allowance. A
 * request that a caller sends again is a new root request.
 */
export class RetriesBounded extends Invariant {
  readonly name = "retries are bounded over the call chain";

  check(session: readonly SessionEvent[]): readonly Violation[] {
    const attempts = groupBy(
      eventsOf(session, "attempt_sent"),
      ({ sending }) => sending,
    );
    const executions = groupBy(
      eventsOf(session, "execution_started"),
      ({ sending }) => sending,
    );
    return eventsOf(session, "request_sent").flatMap((request) => {
      const { sending, allowance, at } = request;
      const sent = attempts.get(sending) ?? [];
      const retries = sent.filter(({ attempt }) => attempt > 1);
      const violations = retries.length <= allowance ? [] : [
        this.violation(
          retries[allowance]!.at,
          `sending ${sending} caused ${retries.length} retries, its allowance is ${allowance}`,
        ),
      ];
      const byService = groupBy(
        executions.get(sending) ?? [],
        ({ service }) => service,
      );
      for (const [service, runs] of byService) {
        const first = sent.filter((each) =>
          each.service === service && each.attempt === 1
        ).length;
        if (runs.length <= first + allowance) continue;
        violations.push(
          this.violation(
            at,
            `sending ${sending} ran ${runs.length} times at ${service}, which had ${first} first attempts`,
          ),
        );
      }
      return violations;
    });
  }
}
