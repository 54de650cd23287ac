import type { IncomingMessage, ServerResponse } from "node:http";
import { type DeckError, ERROR_DETAILS } from "@oleanderdeck/errors";
import {
  ERROR_FIELD,
  RETRY_AFTER_FIELD,
  RUN_FIELD,
} from "@oleanderdeck/protocol";

/**
 * Maximum size of the rest of a refused request body that is read before the
 * connection is destroyed, in bytes.
 */
const MAX_DISCARDED_BYTES = 1024 * 1024;

/**
 * Time within which the rest of a refused request body must arrive, in
 * milliseconds.
 */
const DISCARD_TIMEOUT_MS = 1000;

/** Returns the header fields of an error as alternating names and values. */
export function refusalHeaders(error: DeckError): string[] {
  const headers = [RUN_FIELD, error.run, ERROR_FIELD, error.kind];
  if (ERROR_DETAILS[error.kind].retryable && error.run === "no") {
    headers.push(RETRY_AFTER_FIELD, String(Math.ceil(error.retryAfterMs)));
  }
  return headers;
}

/** Returns the JSON body of an error. */
export function refusalBody(error: DeckError): string {
  return JSON.stringify({
    error: error.kind,
    message: error.message,
    run: error.run,
  });
}

/**
 * Responds to a call with an error.
 *
 * @param response Response whose header has not been sent.
 * @param error Error to send.
 * @param extraHeaders Additional header fields as alternating names and values.
 */
export function sendRefusal(
  response: ServerResponse,
  error: DeckError,
  extraHeaders: readonly string[] = [],
): void {
  const body = Buffer.from(refusalBody(error));
  response.writeHead(ERROR_DETAILS[error.kind].status, [
    "content-type",
    "application/json",
    "content-length",
    String(body.byteLength),
    ...refusalHeaders(error),
    ...extraHeaders,
  ]);
  response.end(body);
  discardRest(response.req);
}

/**
 * Reads the rest of a refused request body up to a limit. Closing a connection
 * with unread bytes resets it, and the refusal may not reach the caller.
 */
function discardRest(request: IncomingMessage): void {
  if (request.complete || request.destroyed) return;
  let bytes = 0;
  const timer = setTimeout(() => request.socket.destroy(), DISCARD_TIMEOUT_MS)
    .unref();
  request.on("data", (chunk: Buffer) => {
    bytes += chunk.byteLength;
    if (bytes > MAX_DISCARDED_BYTES) request.socket.destroy();
  });
  request.once("close", () => clearTimeout(timer));
  request.resume();
}
