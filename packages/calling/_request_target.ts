/** Start of a target that names a host, with the host and its port. */
const ABSOLUTE_FORM = /^https?:\/\/([^/?]*)/i;

/** Host and path that a request is for. */
export interface RequestTarget {
  /** Host, with or without a port. */
  readonly host: string;
  /** Path and query. */
  readonly path: string;
}

/**
 * Reads the target of a request. One that names a host, as clients send it to a
 * proxy, takes the place of the `Host` field.
 *
 * @param target Target as in the request line.
 * @param host Value of the `Host` field.
 */
export function readTarget(target: string, host: string): RequestTarget {
  const found = target.startsWith("/") ? null : ABSOLUTE_FORM.exec(target);
  if (found === null) return { host, path: target };
  const path = target.slice(found[0].length);
  return { host: found[1]!, path: path.startsWith("/") ? path : `/${path}` };
}
