import type { CallTarget } from "@oleanderdeck/admission";
import {
  DeckError,
  type ExecutionStatus,
  isErrorKind,
} from "@oleanderdeck/errors";
import {
  ERROR_FIELD,
  PRESSURE_FIELD,
  RETRY_AFTER_FIELD,
  RUN_FIELD,
  UNUSED_RETRIES_FIELD,
} from "@oleanderdeck/protocol";
import { sortResponseLines } from "./_header_lines.ts";

/** Header of an answer, read by the calling node. */
export interface Answer {
  /** Names and values in turn that the caller gets. */
  readonly passed: string[];
  readonly run: ExecutionStatus;
  /** Error of an answer that is a refusal before or instead of a run. */
  readonly refusal: DeckError | undefined;
  readonly threshold: number | undefined;
  readonly unusedRetries: number | undefined;
}

/**
 * Reads the header of an answer.
 *
 * @param raw Names and values in turn, as received.
 * @param from Whether a backend server or another node has answered.
 */
export function readAnswer(
  raw: readonly Buffer[],
  from: CallTarget["kind"],
): Answer {
  const { passed, own } = sortResponseLines(raw);
  if (own === undefined) {
    return {
      passed,
      run: "yes",
      refusal: undefined,
      threshold: undefined,
      unusedRetries: undefined,
    };
  }
  const run = runOf(own.get(RUN_FIELD));
  if (from === "direct") {
    return {
      passed,
      run,
      refusal: run === "no" ? new DeckError("worker_refused") : undefined,
      threshold: undefined,
      unusedRetries: undefined,
    };
  }
  const kind = own.get(ERROR_FIELD);
  return {
    passed,
    run,
    refusal: kind !== undefined && isErrorKind(kind)
      ? new DeckError(kind, {
        run,
        retryAfterMs: countOf(own.get(RETRY_AFTER_FIELD)),
      })
      : undefined,
    threshold: countOf(own.get(PRESSURE_FIELD)),
    unusedRetries: countOf(own.get(UNUSED_RETRIES_FIELD)),
  };
}

function runOf(text: string | undefined): ExecutionStatus {
  return text === "no" || text === "unknown" ? text : "yes";
}

function countOf(text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,9}$/.test(text)
    ? Number(text)
    : undefined;
}
