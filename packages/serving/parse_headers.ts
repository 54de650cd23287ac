/** Headers that apply to a single connection and are never forwarded. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "content-length",
]);

/** Headers of a message. */
export interface ParsedHeaders {
  /** Headers to forward, as name, value, name, value. */
  readonly forwarded: readonly string[];
  /** Values of the wanted headers, by their names in lower case. */
  readonly values: ReadonlyMap<string, string>;
}

/** Options of {@linkcode parseHeaders}. */
export interface ParseHeadersOptions {
  /** Names of the headers whose values are returned, in lower case. */
  readonly wanted: ReadonlySet<string>;
  /** Names of further headers that are not forwarded, in lower case. */
  readonly dropped?: ReadonlySet<string>;
}

/**
 * Parses the headers of a message in one pass. If a wanted header occurs more
 * than once, its first value is returned.
 *
 * @param raw Names and values in turn, as text or bytes.
 * @param options Headers that are wanted and headers that are not forwarded.
 * @returns Headers to forward and the values of the wanted headers.
 */
export function parseHeaders(
  raw: readonly (string | Buffer)[],
  { wanted, dropped }: ParseHeadersOptions,
): ParsedHeaders {
  const forwarded: string[] = [];
  const values = new Map<string, string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = textOf(raw[index]!);
    const key = name.toLowerCase();
    const value = textOf(raw[index + 1]!);
    if (wanted.has(key) && !values.has(key)) values.set(key, value);
    if (CONNECTION_HEADERS.has(key) || dropped?.has(key)) continue;
    forwarded.push(name, value);
  }
  return { forwarded, values };
}

function textOf(value: string | Buffer): string {
  return typeof value === "string" ? value : value.toString("latin1");
}
