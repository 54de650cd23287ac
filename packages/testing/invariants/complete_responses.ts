import { eventsOf, Invariant, type Violation } from "./invariant.ts";
import type { SessionEvent } from "./session_event.ts";

/**
 * Checks that every caller receives the complete response to its own request: a
 * body that ends without an error is complete and belongs to this request, each
 * sending has exactly one outcome, and no server stores a truncated upload as a
 * complete one.
 */
export class CompleteResponses extends Invariant {
  readonly name = "responses are complete and go to their callers";

  check(session: readonly SessionEvent[]): readonly Violation[] {
    const requests = new Map(
      eventsOf(session, "request_sent").map((event) => [event.sending, event]),
    );
    const outcomes = new Map<number, number>();
    const violations: Violation[] = [];
    for (const event of eventsOf(session, "response_received")) {
      const { at, sending, caller } = event;
      const request = requests.get(sending);
      const count = (outcomes.get(sending) ?? 0) + 1;
      outcomes.set(sending, count);
      if (request === undefined || request.caller !== caller || count > 1) {
        violations.push(
          this.violation(
            at,
            `${caller} got an answer that it did not wait for`,
          ),
        );
        continue;
      }
      if (event.result !== "complete") continue;
      if (event.requestIdentity !== request.identity) {
        violations.push(
          this.violation(
            at,
            `${caller} got the answer to ${event.requestIdentity} for ${request.identity}`,
          ),
        );
      }
      if (event.bytes !== event.totalBytes) {
        violations.push(
          this.violation(
            at,
            `${caller} got ${event.bytes} of ${event.totalBytes} bytes as a whole answer`,
          ),
        );
      }
    }
    for (const event of eventsOf(session, "execution_ended")) {
      if (event.storedBytes === event.sentBytes) continue;
      if (event.storedBytes === undefined) continue;
      violations.push(
        this.violation(
          event.at,
          `${event.server} took ${event.storedBytes} of ${event.sentBytes} bytes as a whole upload`,
        ),
      );
    }
    const end = eventsOf(session, "session_ended")[0];
    if (end === undefined) return violations;
    for (const { sending, caller } of requests.values()) {
      if (outcomes.has(sending)) continue;
      violations.push(
        this.violation(
          end.at,
          `${caller} got no outcome of sending ${sending}`,
        ),
      );
    }
    return violations;
  }
}
