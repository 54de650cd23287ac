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
import { partitionResponseHeaders } from "./_partitioned_headers.ts";

/** Header of a response, as read by the node that sent the request. */
export interface ResponseHeader {
  /** Fields forwarded to the caller, as alternating names and values. */
  readonly forwarded: string[];
  /** Whether the request has been executed. */
  readonly run: ExecutionStatus;
  /** Error that the response states; undefined if it is the result of a run. */
  readonly refusal: DeckError | undefined;
  /** Shedding threshold of the service on the serving node. */
  readonly threshold: number | undefined;
  /** Lent retries that the serving node did not use. */
  readonly unusedRetries: number | undefined;
}

/**
 * Reads the header of a response.
 *
 * @param raw Alternating names and values, as received.
 * @param targetKind Whether a backend server or another node has responded.
 */
export function readResponseHeader(
  raw: readonly Buffer[],
  targetKind: CallTarget["kind"],
): ResponseHeader {
  const { forwarded, protocolFields } = partitionResponseHeaders(raw);
  if (protocolFields === undefined) {
    return {
      forwarded,
      run: "yes",
      refusal: undefined,
      threshold: undefined,
      unusedRetries: undefined,
    };
  }
  const run = parseExecutionStatus(protocolFields.get(RUN_FIELD));
  if (targetKind === "direct") {
    return {
      forwarded,
      run,
      refusal: run === "no" ? new DeckError("worker_refused") : undefined,
      threshold: undefined,
      unusedRetries: undefined,
    };
  }
  const kind = protocolFields.get(ERROR_FIELD);
  return {
    forwarded,
    run,
    refusal: kind !== undefined && isErrorKind(kind)
      ? new DeckError(kind, {
        run,
        retryAfterMs: parseCount(protocolFields.get(RETRY_AFTER_FIELD)),
      })
      : undefined,
    threshold: parseCount(protocolFields.get(PRESSURE_FIELD)),
    unusedRetries: parseCount(protocolFields.get(UNUSED_RETRIES_FIELD)),
  };
}

function parseExecutionStatus(text: string | undefined): ExecutionStatus {
  return text === "no" || text === "unknown" ? text : "yes";
}

function parseCount(text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,9}$/.test(text)
    ? Number(text)
    : undefined;
}
