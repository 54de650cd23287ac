import { Invariant, type Violation } from "./invariant.ts";
import type { SessionEvent, SessionEventOf } from "./session_event.ts";

/**
 * Checks that a planned stop interrupts no request in flight: a leaving server
 * completes every request that it has started, unless the server is killed or
 * the upload is truncated.
 */
export class GracefulStops extends Invariant {
  readonly name = "a planned stop interrupts no request";

  check(session: readonly SessionEvent[]): readonly Violation[] {
    const leaving = new Set<string>();
    const running = new Map<number, SessionEventOf<"execution_started">>();
    const violations: Violation[] = [];
    for (const event of session) {
      if (event.kind === "server_changed") {
        if (event.state === "leaving") leaving.add(event.server);
        else leaving.delete(event.server);
        if (event.state !== "killed") continue;
        for (const [execution, { server }] of running) {
          if (server === event.server) running.delete(execution);
        }
      } else if (event.kind === "execution_started") {
        running.set(event.execution, event);
      } else if (event.kind === "execution_ended") {
        const begun = running.get(event.execution);
        running.delete(event.execution);
        if (event.result !== "interrupted" || begun === undefined) continue;
        if (!leaving.has(event.server)) continue;
        violations.push(
          this.violation(
            event.at,
            `${event.server} interrupted ${begun.identity} while it left`,
          ),
        );
      } else if (event.kind === "session_ended") {
        for (const { server, identity } of running.values()) {
          if (!leaving.has(server)) continue;
          violations.push(
            this.violation(event.at, `${server} never finished ${identity}`),
          );
        }
      }
    }
    return violations;
  }
}
