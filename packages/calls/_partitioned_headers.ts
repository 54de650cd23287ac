import { FIELD_PREFIX } from "@oleanderdeck/protocol";

/**
 * Hop-by-hop fields, which are valid for a single connection only, and fields
 * that are set anew for each hop. `content-length` is handled separately,
 * because it stays valid while a body is forwarded unchanged.
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

/** Header fields of a request, partitioned by their use. */
export interface PartitionedRequestHeaders {
  /** Fields forwarded to the target, as alternating names and values. */
  readonly forwarded: string[];
  /** Fields of the Oleanderdeck protocol by lower-case name. */
  readonly protocolFields: Map<string, string> | undefined;
  /** Value of `content-length` as received. */
  readonly contentLength: string | undefined;
  /** Whether the request has a `transfer-encoding` field. */
  readonly chunked: boolean;
  /** Whether a protocol field occurs more than once. */
  readonly hasDuplicateField: boolean;
}

/**
 * Partitions the raw header fields of a request in one pass.
 *
 * @param raw Alternating names and values, as received.
 */
export function partitionRequestHeaders(
  raw: readonly string[],
): PartitionedRequestHeaders {
  const forwarded: string[] = [];
  let protocolFields: Map<string, string> | undefined;
  let contentLength: string | undefined;
  let chunked = false;
  let hasDuplicateField = false;
  let connection: string | undefined;
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    const value = raw[index + 1]!;
    if (name.startsWith(FIELD_PREFIX)) {
      protocolFields ??= new Map();
      hasDuplicateField ||= protocolFields.has(name);
      protocolFields.set(name, value);
    } else if (!CONNECTION_FIELDS.has(name)) {
      forwarded.push(name, value);
    } else if (name === "content-length") contentLength = value;
    else if (name === "transfer-encoding") chunked = true;
    else if (name === "connection") connection = append(connection, value);
  }
  return {
    forwarded: connection === undefined
      ? forwarded
      : withoutConnectionFields(forwarded, connection),
    protocolFields,
    contentLength,
    chunked,
    hasDuplicateField,
  };
}

/** Header fields of a response, partitioned by their use. */
export interface PartitionedResponseHeaders {
  /** Fields forwarded to the caller, as alternating names and values. */
  readonly forwarded: string[];
  /** Fields of the Oleanderdeck protocol by lower-case name. */
  readonly protocolFields: Map<string, string> | undefined;
}

/**
 * Partitions the raw header fields of a response in one pass.
 *
 * @param raw Alternating names and values, as received.
 */
export function partitionResponseHeaders(
  raw: readonly (Buffer | string)[],
): PartitionedResponseHeaders {
  const forwarded: string[] = [];
  let protocolFields: Map<string, string> | undefined;
  let connection: string | undefined;
  for (let index = 0; index < raw.length; index += 2) {
    const name = textOf(raw[index]!).toLowerCase();
    const value = textOf(raw[index + 1]!);
    if (name.startsWith(FIELD_PREFIX)) {
      protocolFields ??= new Map();
      protocolFields.set(name, value);
    } else if (name === "content-length" || !CONNECTION_FIELDS.has(name)) {
      forwarded.push(name, value);
    } else if (name === "connection") connection = append(connection, value);
  }
  return {
    forwarded: connection === undefined
      ? forwarded
      : withoutConnectionFields(forwarded, connection),
    protocolFields,
  };
}

function textOf(text: Buffer | string): string {
  return typeof text === "string" ? text : text.toString("latin1");
}

/** Removes the fields that the `connection` header field lists. */
function withoutConnectionFields(
  headers: string[],
  connection: string,
): string[] {
  const text = connection.toLowerCase();
  if (text === "keep-alive" || text === "close") return headers;
  const connectionNames = new Set(text.split(",").map((token) => token.trim()));
  connectionNames.delete("content-length");
  return headers.filter((_, index) =>
    !connectionNames.has(headers[index & ~1]!)
  );
}

/** Joins the values of repeated `connection` fields. */
function append(previous: string | undefined, value: string): string {
  return previous === undefined ? value : `${previous},${value}`;
}
