import type { ErrorKind } from "@oleanderdeck/errors";
import { Invariant, type Violation } from "./invariant.ts";
import type { SessionEvent, SessionEventOf } from "./session_event.ts";

/** Error kinds of attempts that are refused for lack of capacity. */
const SHED_ERRORS: ReadonlySet<ErrorKind | undefined> = new Set<ErrorKind>([
  "shed_low_priority",
  "queue_full",
  "downstream_pressure",
]);

interface AdmissionRecord {
  readonly asked: SessionEventOf<"admission_asked">;
  readonly askedIndex: number;
  answered: SessionEventOf<"admission_answered"> | undefined;
  answeredIndex: number;
}

/**
 * Checks that critical requests are shed after requests of lower priority when
 * capacity is short. A queue must not shed a critical attempt if an attempt of
 * lower priority in the same queue is admitted later, or is admitted while the
 * critical one waits. An attempt counts as admitted only if a server ran it,
 * because a node may forward an attempt that the serving node then refuses.
 */
export class PriorityRespected extends Invariant {
  readonly name = "important work is shed last";

  check(session: readonly SessionEvent[]): readonly Violation[] {
    const admissions = new Map<number, AdmissionRecord>();
    session.forEach((event, index) => {
      if (event.kind === "admission_asked") {
        admissions.set(event.admissionId, {
          asked: event,
          askedIndex: index,
          answered: undefined,
          answeredIndex: Infinity,
        });
      } else if (event.kind === "admission_answered") {
        const admission = admissions.get(event.admissionId);
        if (admission === undefined) return;
        admission.answered = event;
        admission.answeredIndex = index;
      }
    });
    const all = [...admissions.values()];
    const admitted = all.filter(({ answered, asked }) =>
      answered !== undefined && answered.refusal === undefined &&
      asked.priority > 0
    );
    return all
      .filter(({ asked, answered }) =>
        asked.priority === 0 && SHED_ERRORS.has(answered?.refusal)
      )
      .flatMap((shed) => {
        const past = admitted.find((other) =>
          other.asked.node === shed.asked.node &&
          other.asked.queue === shed.asked.queue &&
          other.askedIndex < shed.answeredIndex &&
          other.answeredIndex > shed.askedIndex &&
          hasRun(session, other)
        );
        return past === undefined ? [] : [
          this.violation(
            shed.answered!.at,
            `a ${shed.asked.work} was shed at ${shed.asked.node} while a ${past.asked.work} was admitted`,
          ),
        ];
      });
  }
}

/**
 * Reports whether a server ran an admitted attempt before the same call joined
 * the queue again.
 */
function hasRun(
  session: readonly SessionEvent[],
  admission: AdmissionRecord,
): boolean {
  const { sending, node, queue } = admission.asked;
  const next = session.slice(admission.answeredIndex + 1).find((event) =>
    event.kind === "execution_started" && event.sending === sending ||
    event.kind === "admission_asked" && event.sending === sending &&
      event.node === node && event.queue === queue
  );
  return next?.kind === "execution_started";
}
