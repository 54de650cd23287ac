import { Invariant, type Violation } from "./invariant.ts";
import type { SessionEvent } from "./session_event.ts";

/** Time after the start of a planned stop in which new requests may start. */
export const DRAIN_LIMIT_MS = 3_000;

/** Checks that a leaving backend server starts no new requests after 3 s. */
export class NoWorkAfterDrain extends Invariant {
  readonly name = "a leaving server gets no new work after 3 s";

  check(session: readonly SessionEvent[]): readonly Violation[] {
    const leftAt = new Map<string, number>();
    return session.flatMap((event) => {
      if (event.kind === "server_changed") {
        if (event.state === "leaving") leftAt.set(event.server, event.at);
        else leftAt.delete(event.server);
      }
      if (event.kind !== "execution_started") return [];
      const since = event.at - (leftAt.get(event.server) ?? Infinity);
      return since <= DRAIN_LIMIT_MS ? [] : [
        this.violation(
          event.at,
          `${event.server} began ${event.identity} ${since} ms after it began to leave`,
        ),
      ];
    });
  }
}
