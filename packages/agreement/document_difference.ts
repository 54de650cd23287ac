import { formatPath, type IssuePath } from "@oleanderdeck/settings";

/** Value that differs between two documents. */
export interface DocumentDifference {
  /** Path of the value, for example `requests[bookings POST /bookings].priority`. */
  readonly path: string;
  /** JSON text of the value in the first document; empty when absent. */
  readonly stored: string;
  /** JSON text of the value in the second document; empty when absent. */
  readonly proposed: string;
}

type Fields = Readonly<Record<string, unknown>>;

function isFields(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function entryKey(value: unknown): string | undefined {
  if (!isFields(value)) return undefined;
  if (typeof value.id === "string") return value.id;
  return typeof value.service === "string"
    ? `${value.service} ${value.method ?? "*"} ${value.path ?? "/"}`
    : undefined;
}

/**
 * Returns the elements of a list by key; undefined if a key is absent or occurs
 * more than once.
 */
function keyedEntries(
  list: readonly unknown[],
): ReadonlyMap<string, unknown> | undefined {
  const entries = new Map(
    list.map((entry) => [entryKey(entry), entry] as const),
  );
  const isKeyed = entries.size === list.length && !entries.has(undefined);
  return isKeyed ? entries as ReadonlyMap<string, unknown> : undefined;
}

function toJsonText(value: unknown): string {
  return value === undefined ? "" : JSON.stringify(value);
}

function compareEntries(
  path: string,
  a: ReadonlyMap<string | number, unknown>,
  b: ReadonlyMap<string | number, unknown>,
): readonly DocumentDifference[] {
  return [...new Set([...a.keys(), ...b.keys()])].flatMap((key) =>
    compare(`${path}[${key}]`, a.get(key), b.get(key))
  );
}

function compareFields(
  path: string,
  a: Fields,
  b: Fields,
): readonly DocumentDifference[] {
  return [...new Set([...Object.keys(a), ...Object.keys(b)])].flatMap((key) => {
    const segment: IssuePath = [key];
    const name = formatPath(segment);
    const needsDot = path !== "" && !name.startsWith("[");
    return compare(
      `${path}${needsDot ? "." : ""}${name}`,
      Object.hasOwn(a, key) ? a[key] : undefined,
      Object.hasOwn(b, key) ? b[key] : undefined,
    );
  });
}

function compare(
  path: string,
  a: unknown,
  b: unknown,
): readonly DocumentDifference[] {
  if (isFields(a) && isFields(b)) return compareFields(path, a, b);
  if (Array.isArray(a) && Array.isArray(b)) {
    const keyedA = keyedEntries(a);
    const keyedB = keyedEntries(b);
    return keyedA !== undefined && keyedB !== undefined
      ? compareEntries(path, keyedA, keyedB)
      : compareEntries(path, new Map(a.entries()), new Map(b.entries()));
  }
  const stored = toJsonText(a);
  const proposed = toJsonText(b);
  return stored === proposed ? [] : [{ path, stored, proposed }];
}

/**
 * Compares two documents value by value. Credentials are matched by their id
 * and rules by service, method and path, so that their order does not matter.
 *
 * @param stored Parsed JSON of the first document; undefined if absent.
 * @param proposed Parsed JSON of the second document; undefined if absent.
 */
export function diffDocuments(
  stored: unknown,
  proposed: unknown,
): readonly DocumentDifference[] {
  return compare("", stored, proposed);
}
