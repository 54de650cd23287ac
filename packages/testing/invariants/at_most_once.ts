import { eventsOf, groupBy, Invariant, type Violation } from "./invariant.ts";
import type { SessionEvent } from "./session_event.ts";

/** Checks that a non-idempotent request is run at most once. */
export class AtMostOnce extends Invariant {
  readonly name = "non-idempotent requests run at most once";

  check(session: readonly SessionEvent[]): readonly Violation[] {
    const nonIdempotent = new Set(
      eventsOf(session, "request_sent")
        .filter(({ idempotent }) => !idempotent)
        .map(({ identity }) => identity),
    );
    const runs = eventsOf(session, "execution_started").filter((run) =>
      run.root && nonIdempotent.has(run.identity)
    );
    return [...groupBy(runs, ({ identity }) => identity)]
      .filter(([, same]) => same.length > 1)
      .map(([identity, same]) =>
        this.violation(
          same[1]!.at,
          `${identity} ran ${same.length} times, at ${
            same.map(({ server }) => server).join(" and ")
          }`,
        )
      );
  }
}
