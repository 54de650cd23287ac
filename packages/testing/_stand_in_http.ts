import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { RUN_FIELD } from "@oleanderdeck/protocol";

/** Header with the SHA-256 of the complete body, in hexadecimal. */
export const BODY_HASH_FIELD = "x-body-sha256";

/** Byte that fills generated bodies. */
export const BODY_BYTE = 0x6f;

/**
 * Reads a request body and checks its hash.
 *
 * @returns Whether the body matches the hash in the request, or true if the
 * request has none; undefined if the body ended early.
 */
export async function readBody(
  request: IncomingMessage,
): Promise<boolean | undefined> {
  const expected = request.headers[BODY_HASH_FIELD];
  const hash = expected === undefined ? undefined : createHash("sha256");
  try {
    for await (const chunk of request) hash?.update(chunk as Buffer);
  } catch {
    return undefined;
  }
  return hash === undefined || hash.digest("hex") === expected;
}

/** Reads a body as text. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

/** Refuses a request and reports that it was not executed. */
export function refuse(
  request: IncomingMessage,
  response: ServerResponse,
  status: number,
): void {
  response.writeHead(status, ["content-length", "0", RUN_FIELD, "no"]);
  response.end();
  request.resume();
}

/** Sends a JSON response with status 200. */
export function sendJson(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

/** Returns the SHA-256 in hexadecimal. */
export function sha256(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex");
}
