import { FIELD_PREFIX } from "@oleanderdeck/protocol";

/**
 * Fields that belong to one connection. `content-length` is handled apart,
 * because it stays valid while a body is passed on unchanged.
 */
const CONNECTION_FIELDS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "host",
  "content-length",
]);

/** Header lines of a call, sorted by their use. */
export interface RequestLines {
  /** Names and values in turn that the backend server gets. */
  readonly passed: string[];
  /** Fields of this project by name. */
  readonly own: Map<string, string> | undefined;
  readonly contentLength: string | undefined;
  readonly chunked: boolean;
  /** Whether a field of this project occurs twice. */
  readonly repeated: boolean;
}

/**
 * Sorts the raw header lines of a request in one pass.
 *
 * @param raw Names and values in turn, as received.
 */
export function sortRequestLines(raw: readonly string[]): RequestLines {
  const passed: string[] = [];
  let own: Map<string, string> | undefined;
  let contentLength: string | undefined;
  let chunked = false;
  let repeated = false;
  let listed: string | undefined;
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    const value = raw[index + 1]!;
    if (name.startsWith(FIELD_PREFIX)) {
      own ??= new Map();
      repeated ||= own.has(name);
      own.set(name, value);
    } else if (!CONNECTION_FIELDS.has(name)) {
      passed.push(name, value);
    } else if (name === "content-length") contentLength = value;
    else if (name === "transfer-encoding") chunked = true;
    else if (name === "connection") listed = joined(listed, value);
  }
  return {
    passed: listed === undefined ? passed : withoutListed(passed, listed),
    own,
    contentLength,
    chunked,
    repeated,
  };
}

/** Header lines of an answer, sorted by their use. */
export interface ResponseLines {
  /** Names and values in turn that the caller gets. */
  readonly passed: string[];
  /** Fields of this project by name. */
  readonly own: Map<string, string> | undefined;
}

/**
 * Sorts the raw header lines of an answer in one pass.
 *
 * @param raw Names and values in turn, as received.
 */
export function sortResponseLines(
  raw: readonly (Buffer | string)[],
): ResponseLines {
  const passed: string[] = [];
  let own: Map<string, string> | undefined;
  let listed: string | undefined;
  for (let index = 0; index < raw.length; index += 2) {
    const name = textOf(raw[index]!).toLowerCase();
    const value = textOf(raw[index + 1]!);
    if (name.startsWith(FIELD_PREFIX)) {
      own ??= new Map();
      own.set(name, value);
    } else if (name === "content-length" || !CONNECTION_FIELDS.has(name)) {
      passed.push(name, value);
    } else if (name === "connection") listed = joined(listed, value);
  }
  return {
    passed: listed === undefined ? passed : withoutListed(passed, listed),
    own,
  };
}

function textOf(text: Buffer | string): string {
  return typeof text === "string" ? text : text.toString("latin1");
}

function withoutListed(lines: string[], connection: string): string[] {
  const text = connection.toLowerCase();
  if (text === "keep-alive" || text === "close") return lines;
  const listed = new Set(text.split(",").map((token) => token.trim()));
  listed.delete("content-length");
  return lines.filter((_, index) => !listed.has(lines[index & ~1]!));
}

function joined(listed: string | undefined, value: string): string {
  return listed === undefined ? value : `${listed},${value}`;
}
