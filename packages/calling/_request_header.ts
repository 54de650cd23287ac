import type { Route } from "@oleanderdeck/directory";
import {
  type HeaderNames,
  parseHeaders,
  type ParseHeadersOptions,
} from "@oleanderdeck/serving";

/**
 * Time that a caller waits if its request does not state one, in milliseconds.
 */
const DEFAULT_TIME_LEFT_MS = 30_000;

/** Maximum time that a caller is assumed to wait, in milliseconds. */
const MAX_TIME_LEFT_MS = 3_600_000;

/**
 * Time before the caller's deadline by which it gets an answer, in
 * milliseconds.
 */
const ANSWER_MARGIN_MS = 15;

/** Header of a caller's request. */
export interface RequestHeader {
  /**
   * Names and values in turn for the worker, without the fields that nodes set.
   */
  readonly forwarded: readonly string[];
  readonly host: string;
  /** Identity of the request; undefined if the caller states none. */
  readonly requestId: string | undefined;
  /**
   * Time for which the caller waits, in milliseconds, as stated in the header.
   */
  readonly timeLeft: string | undefined;
  /**
   * Length of the body by the `Content-Length` field, in bytes; undefined if
   * absent.
   */
  readonly bodyBytes: number | undefined;
  /** Whether a body follows. */
  readonly hasBody: boolean;
}

/** Reads the headers of callers' requests. */
export class RequestHeaderReader {
  readonly #requestIdField: string;
  readonly #timeLeftField: string;
  readonly #options: ParseHeadersOptions;

  /** @param names Names of the platform's header fields. */
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
      // This node and the node on the worker's host set these fields.
      dropped: new Set([
        this.#timeLeftField,
        names.callerService.toLowerCase(),
        names.expectedWorker.toLowerCase(),
      ]),
    };
  }

  /**
   * Reads the header of a request.
   *
   * @param raw Names and values of the header fields in turn.
   */
  read(raw: readonly string[]): RequestHeader {
    const { forwarded, values } = parseHeaders(raw, this.#options);
    const length = values.get("content-length");
    const bodyBytes = length === undefined ? undefined : Number(length);
    return {
      forwarded,
      host: values.get("host") ?? "",
      requestId: values.get(this.#requestIdField),
      timeLeft: values.get(this.#timeLeftField),
      bodyBytes,
      hasBody: (bodyBytes ?? 0) !== 0 || values.has("transfer-encoding"),
    };
  }
}

/**
 * Returns the time within which a request needs an answer, in milliseconds.
 *
 * @param route Route of the request.
 * @param stated Time for which the caller waits, in milliseconds, as stated in
 * the header.
 */
export function timeLimitMs(route: Route, stated: string | undefined): number {
  const statedMs = Number(stated);
  const waitMs = Number.isFinite(statedMs) && statedMs > 0
    ? Math.min(statedMs, MAX_TIME_LEFT_MS)
    : DEFAULT_TIME_LEFT_MS;
  return Math.max(
    1,
    Math.min(waitMs - ANSWER_MARGIN_MS, route.timeoutMs ?? Infinity),
  );
}
