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
  /**
   * Names and values in turn of the fields with credential and organisation. They
   * are forwarded only in a deployment without organisations.
   */
  readonly identityFields: readonly string[];
  /**
   * Credential of the caller; undefined if absent. Different ones are joined by a
   * comma, as HTTP has it for fields that occur more than once.
   */
  readonly credential: string | undefined;
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
  readonly #credentialField: string;
  readonly #organisationField: string;
  readonly #options: ParseHeadersOptions;

  /** @param names Names of the platform's header fields. */
  constructor(names: HeaderNames) {
    this.#requestIdField = names.requestId.toLowerCase();
    this.#timeLeftField = names.timeLeftMs.toLowerCase();
    this.#credentialField = names.credential.toLowerCase();
    this.#organisationField = names.organisation.toLowerCase();
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
        this.#credentialField,
        this.#organisationField,
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
    const identityFields = this.#identityFields(raw);
    return {
      forwarded,
      identityFields,
      credential: this.#credentialOf(identityFields),
      host: values.get("host") ?? "",
      requestId: values.get(this.#requestIdField),
      timeLeft: values.get(this.#timeLeftField),
      bodyBytes,
      hasBody: (bodyBytes ?? 0) !== 0 || values.has("transfer-encoding"),
    };
  }

  #identityFields(raw: readonly string[]): string[] {
    const fields: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
      const name = raw[index]!;
      if (
        isField(name, this.#credentialField) ||
        isField(name, this.#organisationField)
      ) fields.push(name, raw[index + 1]!);
    }
    return fields;
  }

  #credentialOf(fields: readonly string[]): string | undefined {
    const values = fields.filter((_, index) =>
      index % 2 === 1 && isField(fields[index - 1]!, this.#credentialField)
    );
    return values.length === 0 ? undefined : [...new Set(values)].join(", ");
  }
}

// Most fields have another length, and are not converted.
function isField(name: string, field: string): boolean {
  return name.length === field.length && name.toLowerCase() === field;
}

/**
 * Returns the time for which a caller waits, in milliseconds; undefined if its
 * header does not state one.
 *
 * @param stated Time as stated in the header.
 */
export function statedTimeMs(stated: string | undefined): number | undefined {
  const statedMs = Number(stated);
  return Number.isFinite(statedMs) && statedMs > 0
    ? Math.min(statedMs, MAX_TIME_LEFT_MS)
    : undefined;
}

/**
 * Returns the time within which a request needs an answer, in milliseconds.
 *
 * @param route Route of the request.
 * @param stated Time for which the caller waits, in milliseconds, as stated in
 * the header.
 */
export function timeLimitMs(route: Route, stated: string | undefined): number {
  const waitMs = statedTimeMs(stated) ?? DEFAULT_TIME_LEFT_MS;
  return Math.max(
    1,
    Math.min(waitMs - ANSWER_MARGIN_MS, route.timeoutMs ?? Infinity),
  );
}
