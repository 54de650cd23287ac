import type { Route } from "@oleanderdeck/directory";
import {
  type HeaderNames,
  parseHeaders,
  type ParseHeadersOptions,
} from "@oleanderdeck/serving";

/** Time for which a caller waits that does not state it, in milliseconds. */
const DEFAULT_TIME_LEFT_MS = 30_000;

/** Longest time for which a caller is taken to wait, in milliseconds. */
const MAX_TIME_LEFT_MS = 3_600_000;

/** Time before the caller's deadline at which it gets an answer. */
const ANSWER_MARGIN_MS = 15;

/** Header of a caller's request. */
export interface RequestHeader {
  /** Lines for the worker, without those that nodes set themselves. */
  readonly lines: readonly string[];
  readonly host: string;
  /** Identity of the request; absent if the caller states none. */
  readonly requestId: string | undefined;
  /** Time for which the caller waits, as it stated it. */
  readonly timeLeft: string | undefined;
  /** Stated length of the body in bytes. */
  readonly bodyBytes: number;
  /** Whether a body follows. */
  readonly hasBody: boolean;
}

/** Reads the headers of callers' requests. */
export class RequestHeaderReader {
  readonly #requestIdField: string;
  readonly #timeLeftField: string;
  readonly #options: ParseHeadersOptions;

  /** @param names Names of the fields. */
  constructor(names: HeaderNames) {
    this.#requestIdField = names.requestId.toLowerCase();
    this.#timeLeftField = names.timeLeftMs.toLowerCase();
    this.#options = {
      wanted: new Set([
        "host",
        "content-length",
        "transfer-encoding",
        this.#requestIdField,
        this.#timeLeftField,
      ]),
      // This node and the one beside the worker set these fields themselves.
      dropped: new Set([
        this.#timeLeftField,
        names.callerService.toLowerCase(),
        names.expectedWorker.toLowerCase(),
      ]),
    };
  }

  /** Reads a header from its names and values in turn. */
  read(raw: readonly string[]): RequestHeader {
    const { lines, values } = parseHeaders(raw, this.#options);
    const bodyBytes = Number(values.get("content-length") ?? 0);
    return {
      lines,
      host: values.get("host") ?? "",
      requestId: values.get(this.#requestIdField),
      timeLeft: values.get(this.#timeLeftField),
      bodyBytes,
      hasBody: bodyBytes !== 0 || values.has("transfer-encoding"),
    };
  }
}

/**
 * Time within which a request needs an answer, in milliseconds.
 *
 * @param route Route of the request.
 * @param stated Time for which the caller waits, as it stated it.
 */
export function timeLimitMs(route: Route, stated: string | undefined): number {
  const callers = Number(stated);
  const patience = Number.isFinite(callers) && callers > 0
    ? Math.min(callers, MAX_TIME_LEFT_MS)
    : DEFAULT_TIME_LEFT_MS;
  return Math.max(
    1,
    Math.min(patience - ANSWER_MARGIN_MS, route.timeoutMs ?? Infinity),
  );
}
