import { z } from "zod";
import { PRIORITIES } from "./policy_view.ts";

/** Greatest number of rules in one agreement. */
export const MAX_RULES = 2000;

/** Greatest length of a path prefix in characters. */
export const MAX_PATH_LENGTH = 256;

const METHODS = [
  "*",
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
  "POST",
  "PATCH",
] as const;

/** Name of an organisation or service, also a segment of a call's URL. */
export const documentNameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "1 to 63 lower-case letters, digits and hyphens are expected, no hyphen first",
);

const credentialSchema = z.strictObject({
  id: documentNameSchema.describe(
    "Name of the credential; several are valid at once, for rotation",
  ),
  sha256: z.string()
    .regex(/^[0-9a-f]{64}$/, "64 lower-case hexadecimal digits are expected")
    .describe(
      "SHA-256 of the secret in hexadecimal digits; the secret must be random",
    ),
});

const pathSchema = z.string()
  .max(MAX_PATH_LENGTH)
  .regex(/^\/[^?#\s]*$/, "A path that begins with a slash is expected")
  .refine(
    (path) =>
      normalisePath(path) === path || normalisePath(path) + "/" === path,
    "The path has dot segments, double slashes or unneeded escapes",
  );

const permitSchema = z.enum(["optional", "required"]);
const failureCostSchema = z.number().gt(0).max(1_000_000);

/** What an agreement says about one kind of request. */
export const requestSchema = z.strictObject({
  service: documentNameSchema.describe("Service of the request"),
  method: z.enum(METHODS).default("*")
    .describe("HTTP method; `*` is every method"),
  path: pathSchema.default("/")
    .describe(
      "Prefix of whole path segments after the service; the longest applies",
    ),
  priority: z.enum(PRIORITIES).optional()
    .describe("Priority; of `defaults` if absent"),
  idempotent: z.boolean().optional()
    .describe("Whether a request may run more than once; by method if absent"),
  permit: permitSchema.optional().describe(
    "Whether a non-idempotent request must bring a permit; of `defaults` if " +
      "absent",
  ),
  failureCost: failureCostSchema.optional()
    .describe("Cost of a failure; of `defaults` if absent"),
});

const defaultsSchema = z.strictObject({
  priority: z.enum(PRIORITIES).default("normal")
    .describe("Priority of requests without a rule"),
  permit: permitSchema.default("optional")
    .describe("Whether non-idempotent requests must bring a permit"),
  failureCost: failureCostSchema.default(1)
    .describe("Cost of a failure relative to an ordinary request"),
});

/** Rule as read from a document. */
export type RequestEntry = Readonly<z.output<typeof requestSchema>>;

/** Key by which two rules of an agreement are the same. */
export function requestKey(entry: RequestEntry): string {
  return `${entry.service} ${entry.method} ${normalisePath(entry.path)}`;
}

/** Schema of `agreement/<organisation>`. */
export const agreementSchema = z.strictObject({
  organisation: documentNameSchema
    .describe("Organisation; the document's name says the same"),
  weight: z.number().min(0.01).max(1000).default(1)
    .describe("Share under shortage relative to other organisations"),
  callsPerSecond: z.number().gt(0).max(10_000_000).optional()
    .describe("Root requests per second over all nodes; no limit if absent"),
  credentials: z.array(credentialSchema).max(20).default([])
    .describe("Credentials of the organisation's callers"),
  requests: z.array(requestSchema).max(MAX_RULES).default([])
    .describe("Rules, at most one for a service, method and path"),
  defaults: defaultsSchema.prefault({}),
});

/** Agreement with all defaults filled in. */
export type Agreement = Readonly<z.output<typeof agreementSchema>>;

/** Schema of `policy/<service>`. */
export const servicePolicySchema = z.strictObject({
  service: documentNameSchema
    .describe("Service; the document's name says the same"),
  defaultTimeoutMs: z.int().min(1).max(3_600_000).default(5000)
    .describe("Time for a request that brings no timeout, in milliseconds"),
  maximumTimeoutMs: z.int().min(1).max(3_600_000).default(60_000)
    .describe("Longest time that a request may ask for, in milliseconds"),
  retries: z.int().min(0).max(20).default(3)
    .describe("Retry allowance of a root request over the whole call chain"),
  maximumBodyBytes: z.int().min(0).max(1_000_000_000).default(16_777_216)
    .describe("Greatest size of a request body in bytes"),
  queueLength: z.int().min(0).max(100_000).default(100)
    .describe("Greatest number of waiting requests per node"),
  progressTimeoutMs: z.int().min(10).max(600_000).default(10_000)
    .describe("Time without progress that ends a call, in milliseconds"),
});

/**
 * Brings a path to the form in which rules are compared: without query, dot
 * segments, double slashes, escapes of unreserved characters and a slash at the
 * end. Otherwise a caller could avoid the rule of a path by writing it in a
 * different way that the backend server treats as the same.
 *
 * @param path Path that begins with a slash.
 */
export function normalisePath(path: string): string {
  const end = path.search(/[?#]/);
  const plain = end === -1 ? path : path.slice(0, end);
  const needsWork = /%|\/\/|\/\.|\\/.test(plain);
  const resolved = needsWork ? resolvePath(plain) : plain;
  return resolved.length > 1 && resolved.endsWith("/")
    ? resolved.slice(0, -1)
    : resolved;
}

/**
 * Decoded text of each escape of an unreserved character, and every other
 * escape in upper case. A table, because a hostile path may have thousands of
 * escapes.
 */
const ESCAPES: ReadonlyMap<string, string> = new Map(
  Array.from({ length: 256 }, (_, code) => {
    const digits = code.toString(16).padStart(2, "0");
    const character = String.fromCharCode(code);
    const decoded = /[A-Za-z0-9._~-]/.test(character)
      ? character
      : `%${digits.toUpperCase()}`;
    const [high, low] = [digits[0]!, digits[1]!];
    return [high, high.toUpperCase()].flatMap((first) =>
      [low, low.toUpperCase()].map((second) =>
        [`%${first}${second}`, decoded] as const
      )
    );
  }).flat(),
);

function resolvePath(path: string): string {
  const decoded = path
    .replaceAll(/%[0-9a-fA-F]{2}/g, (escape) => ESCAPES.get(escape)!)
    .replaceAll("\\", "/");
  const segments: string[] = [];
  decoded.split("/").forEach((segment) => {
    if (segment === "" || segment === ".") return;
    if (segment === "..") segments.pop();
    else segments.push(segment);
  });
  return `/${segments.join("/")}`;
}
