import type { IncomingMessage, ServerResponse } from "node:http";
import { type DeckError, ERROR_DETAILS } from "@oleanderdeck/errors";
import {
  ERROR_FIELD,
  RETRY_AFTER_FIELD,
  RUN_FIELD,
} from "@oleanderdeck/protocol";

/** Rest of a refused body that is read before the connection is closed. */
const DISCARDED_BYTES = 1024 * 1024;

/** Time for the rest of a refused body to arrive, in milliseconds. */
const DISCARD_MS = 1000;

/** Header lines that state an error, names and values in turn. */
export function refusalLines(error: DeckError): string[] {
  const lines = [RUN_FIELD, error.run, ERROR_FIELD, error.kind];
  if (ERROR_DETAILS[error.kind].retryable && error.run === "no") {
    lines.push(RETRY_AFTER_FIELD, String(Math.ceil(error.retryAfterMs)));
  }
  return lines;
}

/** JSON text that states an error. */
export function refusalBody(error: DeckError): string {
  return JSON.stringify({
    error: error.kind,
    message: error.message,
    run: error.run,
  });
}

/**
 * Answers a call with an error.
 *
 * @param response Answer whose header has not been sent.
 * @param error Kind, run and retry time.
 * @param extra More header names and values in turn.
 */
export function sendRefusal(
  response: ServerResponse,
  error: DeckError,
  extra: readonly string[] = [],
): void {
  const body = Buffer.from(refusalBody(error));
  response.writeHead(ERROR_DETAILS[error.kind].status, [
    "content-type",
    "application/json",
    "content-length",
    String(body.byteLength),
    ...refusalLines(error),
    ...extra,
  ]);
  response.end(body);
  discardRest(response.req);
}

/**
 * Reads the rest of a refused body up to a bound, because closing a connection
 * with unread bytes resets it and may lose the refusal on its way.
 */
function discardRest(request: IncomingMessage): void {
  if (request.complete || request.destroyed) return;
  let bytes = 0;
  const timer = setTimeout(() => request.socket.destroy(), DISCARD_MS).unref();
  request.on("data", (chunk: Buffer) => {
    bytes += chunk.byteLength;
    if (bytes > DISCARDED_BYTES) request.socket.destroy();
  });
  request.once("close", () => clearTimeout(timer));
  request.resume();
}
