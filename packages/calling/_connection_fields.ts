import type { IncomingMessage } from "node:http";

const UPGRADE_FIELD = "upgrade";
const HOST_FIELD = "host";

/**
 * Returns whether nothing that follows a request on its connection can be answered:
 * behind one that asks for an upgrade, Node.js drops what has arrived, and one
 * without a host is refused. It runs for each request, and makes the parsed headers
 * only where they are needed.
 */
export function isLastOfConnection(request: IncomingMessage): boolean {
  const { httpVersion, rawHeaders } = request;
  let hasHost = httpVersion !== "1.1";
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    hasHost ||= isField(name, HOST_FIELD);
    if (isField(name, UPGRADE_FIELD) && asksForUpgrade(request)) return true;
  }
  return !hasHost;
}

function isField(name: string, field: string): boolean {
  return name.length === field.length && name.toLowerCase() === field;
}

function asksForUpgrade({ headers }: IncomingMessage): boolean {
  return /\bupgrade\b/i.test(headers.connection ?? "");
}

/**
 * Returns whether a request lacks the host that HTTP/1.1 asks for, also where its
 * target names one.
 */
export function lacksHost(
  { httpVersion, rawHeaders }: IncomingMessage,
): boolean {
  return httpVersion === "1.1" &&
    !rawHeaders.some((text, index) =>
      index % 2 === 0 && isField(text, HOST_FIELD)
    );
}
