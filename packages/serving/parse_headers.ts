/** Header fields that concern one connection only. */
const CONNECTION_FIELDS: ReadonlySet<string> = new Set([
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

/** Header of a message, read in one pass. */
export interface ParsedHeaders {
  /** Lines that are passed on, without those of one connection. */
  readonly lines: readonly string[];
  /** Values of the wanted fields, by their names in lower case. */
  readonly values: ReadonlyMap<string, string>;
}

/** Options of {@linkcode parseHeaders}. */
export interface ParseHeadersOptions {
  /** Fields whose values are wanted, in lower case. */
  readonly wanted: ReadonlySet<string>;
  /** Fields that are not passed on, in lower case. */
  readonly dropped?: ReadonlySet<string>;
}

/**
 * Reads the header of a message: the lines to pass on and the wanted values.
 *
 * @param raw Names and values in turn, as text or bytes.
 * @param options Fields that are wanted and fields that are left out.
 */
export function parseHeaders(
  raw: readonly (string | Buffer)[],
  { wanted, dropped }: ParseHeadersOptions,
): ParsedHeaders {
  const lines: string[] = [];
  const values = new Map<string, string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = textOf(raw[index]!);
    const key = name.toLowerCase();
    const value = textOf(raw[index + 1]!);
    if (wanted.has(key) && !values.has(key)) values.set(key, value);
    if (CONNECTION_FIELDS.has(key) || dropped?.has(key)) continue;
    lines.push(name, value);
  }
  return { lines, values };
}

function textOf(value: string | Buffer): string {
  return typeof value === "string" ? value : value.toString("latin1");
}
