import { groupBy, Invariant, type Violation } from "./invariant.ts";
import type { SessionEvent, SessionEventOf } from "./session_event.ts";

/**
 * Checks that responses report correctly whether a request was run.
 *
 * A rejection with the status "not run" is correct if the rejected sending has
 * no execution before or after it and, for a non-idempotent request, if no
 * other sending of the request had been run when the rejection was issued. A
 * response with the status "run" requires an execution.
 */
export class AccurateRejections extends Invariant {
  readonly name = "rejections state accurately what was run";

  check(session: readonly SessionEvent[]): readonly Violation[] {
    const requests = new Map<number, SessionEventOf<"request_sent">>();
    const runs: {
      readonly index: number;
      readonly event: SessionEventOf<"execution_started">;
    }[] = [];
    session.forEach((event, index) => {
      if (event.kind === "request_sent") requests.set(event.sending, event);
      if (event.kind === "execution_started" && event.root) {
        runs.push({ index, event });
      }
    });
    const bySending = groupBy(runs, ({ event }) => event.sending);
    const byIdentity = groupBy(runs, ({ event }) => event.identity);
    return session.flatMap((event, index) => {
      if (event.kind !== "response_received") return [];
      const request = requests.get(event.sending);
      if (request === undefined) return [];
      const ownRuns = bySending.get(event.sending) ?? [];
      const rejectedAt = event.rejectedAt ?? event.at;
      const earlierRuns = (byIdentity.get(request.identity) ?? [])
        .filter((run) => run.index < index && run.event.at <= rejectedAt);
      if (event.run === "no") {
        const run = ownRuns[0] ??
          (request.idempotent ? undefined : earlierRuns[0]);
        return run === undefined ? [] : [
          this.violation(
            event.at,
            `${event.caller} was told that ${request.identity} was not run, but ${run.event.server} ran it`,
          ),
        ];
      }
      return event.run === "yes" && ownRuns.length + earlierRuns.length === 0
        ? [
          this.violation(
            event.at,
            `${event.caller} was told that ${request.identity} was run, but nobody ran it`,
          ),
        ]
        : [];
    });
  }
}
