import { isIP } from "node:net";
import { z } from "zod";

const MIN_KEY_LENGTH = 16;

/** Roles of operator tokens, from the least to the most powerful. */
export const OPERATOR_ROLES = ["viewer", "operator"] as const;

/** Role of an operator token. */
export type OperatorRole = (typeof OPERATOR_ROLES)[number];

/** IP address and port of a socket. */
export interface SocketAddress {
  /** IPv4 or IPv6 address without brackets. */
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address of the form `ip:port` or `[ip]:port`.
 *
 * @param text Address as in the settings.
 * @returns Undefined if the text has another form.
 */
export function parseAddress(text: string): SocketAddress | undefined {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):([0-9]{1,5})$/.exec(text);
  if (match === null) return undefined;
  const [, version6, version4, digits] = match;
  const host = version6 ?? version4!;
  const port = Number(digits);
  const isAddress = isIP(host) === (version6 === undefined ? 4 : 6);
  return isAddress && port >= 1 && port <= 65_535 ? { host, port } : undefined;
}

function isUnspecified(text: string): boolean {
  const host = parseAddress(text)?.host ?? "";
  return host !== "" && /^[0:.]+$/.test(host);
}

function address(description: string) {
  return z.string()
    .refine(
      (text) => parseAddress(text) !== undefined,
      "An address of the form ip:port or [ip]:port is expected",
    )
    .refine(
      (text) => !isUnspecified(text),
      "Other nodes cannot reach an unspecified address",
    )
    .describe(description);
}

function name(description: string) {
  return z.string()
    .regex(
      /^[A-Za-z0-9][A-Za-z0-9-]{0,62}$/,
      "1 to 63 letters, digits and hyphens are expected, no hyphen first",
    )
    .describe(description);
}

function milliseconds(range: readonly [number, number], description: string) {
  return z.int().min(range[0]).max(range[1])
    .describe(`${description}, in milliseconds`);
}

const operatorToken = z.strictObject({
  name: name("Name of the holder, written to the log with each change"),
  role: z.enum(OPERATOR_ROLES).describe(
    "`viewer` reads, `operator` also changes documents and drains workers",
  ),
  sha256: z.string()
    .regex(/^[0-9a-f]{64}$/, "64 lower-case hexadecimal digits are expected")
    .describe("SHA-256 of the token in hexadecimal digits"),
});

const metrics = z.strictObject({
  host: z.string()
    .refine((text) => isIP(text) !== 0, "An IP address is expected")
    .optional()
    .describe("IP address of the statsd server; no metrics are sent if absent"),
  port: z.int().min(1).max(65_535).default(8125)
    .describe("UDP port of the statsd server"),
});

const timeouts = z.strictObject({
  storeMs: milliseconds([100, 60_000], "Timeout of a call to the store")
    .default(2000),
  peerMs: milliseconds([50, 60_000], "Timeout of an RPC to another node")
    .default(1000),
  operatorMs: milliseconds([100, 60_000], "Timeout of an operator RPC")
    .default(10_000),
  connectMs: milliseconds(
    [10, 10_000],
    "Timeout for opening a connection to a backend server or node",
  ).default(500),
  keepAliveMs: milliseconds(
    [100, 600_000],
    "Time after which an unused connection is closed",
  ).default(10_000),
  stopMs: milliseconds(
    [0, 600_000],
    "Time that a graceful shutdown waits for calls in flight",
  ).default(30_000),
});

function duplicateIndexes(values: readonly string[]): readonly number[] {
  return values.flatMap((value, index) =>
    values.indexOf(value) < index ? [index] : []
  );
}

/** Schema of the fields of the settings file, with their defaults. */
export const nodeSettingsFields = z.strictObject({
  nodeId: name("Name of the node in the fleet").optional()
    .describe("Name of the node; derived from `callAddress` if absent"),
  callAddress: address("TCP address for calls and local control (HTTP/1.1)"),
  controlAddress: address("TCP address for operators and peers (HTTP/2)"),
  peerAddress: address("UDP address for membership and leases"),
  dataCentre: name("Data centre of the host"),
  region: name("Region of the data centre"),
  peerKeys: z.array(
    z.string().min(
      MIN_KEY_LENGTH,
      `At least ${MIN_KEY_LENGTH} characters are expected`,
    ),
  ).min(1, "At least one key is expected").describe(
    "Keys that sign messages between nodes; the first one signs, all are accepted",
  ),
  seeds: z.array(address("Peer address of another node")).default([])
    .describe(
      "Peer addresses of nodes to join through; the store's `seeds` if empty",
    ),
  storeUrl: z.url({
    protocol: /^https?$/,
    error: "An http or https URL is expected",
  }).describe("Base URL of the platform's store"),
  operatorTokens: z.array(operatorToken).default([])
    .describe("Tokens of operators"),
  metrics: metrics.prefault({}).describe("Metrics"),
  logLevel: z.enum(["debug", "info", "warn", "error"]).default("info")
    .describe("Events below this level are not logged"),
  timeouts: timeouts.prefault({}).describe("Timeouts"),
});

/**
 * Schema of the node's settings for {@linkcode readJsonc}. Fills in defaults
 * and the node id.
 */
export const nodeSettingsSchema = nodeSettingsFields
  .superRefine((fields, context) => {
    const report = (path: (string | number)[], message: string) =>
      context.addIssue({ code: "custom", path, message });
    if (fields.callAddress === fields.controlAddress) {
      report(["controlAddress"], "The address is the same as callAddress");
    }
    duplicateIndexes(fields.operatorTokens.map((token) => token.name))
      .forEach((index) =>
        report(
          ["operatorTokens", index, "name"],
          "The name is given more than once",
        )
      );
    duplicateIndexes(fields.operatorTokens.map((token) => token.sha256))
      .forEach((index) =>
        report(
          ["operatorTokens", index, "sha256"],
          "The token is given more than once",
        )
      );
    duplicateIndexes(fields.peerKeys).forEach((index) =>
      report(["peerKeys", index], "The key is given more than once")
    );
  })
  .transform((fields) => ({
    ...fields,
    nodeId: fields.nodeId ?? deriveNodeId(fields.callAddress),
  }));

/** Settings of a node with all defaults filled in. */
export type NodeSettings = Readonly<z.output<typeof nodeSettingsSchema>>;

/** One operator token of the settings. */
export type OperatorToken = Readonly<z.output<typeof operatorToken>>;

/**
 * Derives a node id from an address. The id has no dots, because a permit uses
 * them to separate its parts.
 *
 * @param callAddress Address of the form `ip:port`.
 *
 * @example
 * ```ts
 * deriveNodeId("10.1.2.3:7000"); // "10-1-2-3-7000"
 * ```
 */
export function deriveNodeId(callAddress: string): string {
  return callAddress
    .replaceAll(/[^A-Za-z0-9]+/g, "-")
    .replace(/^-/, "");
}
