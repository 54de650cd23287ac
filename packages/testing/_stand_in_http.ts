import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { RUN_FIELD } from "@oleanderdeck/protocol";

/** SHA-256 of a whole body in hexadecimal, sent and checked by both sides. */
export const BODY_HASH_FIELD = "x-body-sha256";

/** Content of generated bodies. */
export const BODY_BYTE = 0x6f;

/** Reads a body: undefined when cut, else whether the stated hash fits. */
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

/** Refuses a request as not run. */
export function refuse(
  request: IncomingMessage,
  response: ServerResponse,
  status: number,
): void {
  response.writeHead(status, ["content-length", "0", RUN_FIELD, "no"]);
  response.end();
  request.resume();
}

/** Answers with a JSON document. */
export function sendJson(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

/** SHA-256 in hexadecimal. */
export function sha256(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex");
}
