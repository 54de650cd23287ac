import { z } from "zod";
import { PRIORITIES } from "./policy_view.ts";

/** Maximum number of rules in one agreement. */
export const MAX_RULES = 2000;

/** Maximum length of a path prefix, in UTF-16 code units. */
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

/**
 * Schema of the name of an organisation, service or credential. The name of a
 * service is also a path segment in the URL of a call.
 */
export const subjectNameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "1 to 63 lower-case letters, digits and hyphens are expected, no hyphen first",
);

const credentialSchema = z.strictObject({
  id: subjectNameSchema.describe(
    "Name of the credential; several can be valid at once, for rotation",
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

/** Schema of one rule in the field `requests` of an agreement. */
export const requestRuleSchema = z.strictObject({
  service: subjectNameSchema.describe("Service to which the rule applies"),
  method: z.enum(METHODS).default("*")
    .describe("HTTP method; `*` matches every method"),
  path: pathSchema.default("/")
    .describe(
      "Path prefix after the service name, in complete segments; the longest applies",
    ),
  priority: z.enum(PRIORITIES).optional()
    .describe("Priority of the request; taken from `defaults` if absent"),
  idempotent: z.boolean().optional()
    .describe(
      "Whether the request may run more than once; depends on the method if absent",
    ),
  permit: permitSchema.optional().describe(
    "Whether a non-idempotent request must carry a permit; taken from " +
      "`defaults` if absent",
  ),
  failureCost: failureCostSchema.optional()
    .describe("Cost of a failed request; taken from `defaults` if absent"),
});

const defaultsSchema = z.strictObject({
  priority: z.enum(PRIORITIES).default("normal")
    .describe(
      "Priority of requests whose rule sets none or that match no rule",
    ),
  permit: permitSchema.default("optional")
    .describe("Whether non-idempotent requests must carry a permit"),
  failureCost: failureCostSchema.default(1)
    .describe("Cost of a failed request relative to an ordinary one"),
});

/**
 * Rule as written in an agreement, where priority, permit and failure cost may
 * be absent. {@linkcode RuleTable} resolves it to a {@linkcode RequestRule}.
 */
export type RuleDefinition = Readonly<z.output<typeof requestRuleSchema>>;

/**
 * Returns the key that identifies a rule within an agreement: its service,
 * method and normalised path.
 *
 * @param rule Rule as written in an agreement.
 */
export function requestRuleKey(rule: RuleDefinition): string {
  return `${rule.service} ${rule.method} ${normalisePath(rule.path)}`;
}

/** Schema of `agreement/<organisation>`. */
export const agreementSchema = z.strictObject({
  organisation: subjectNameSchema
    .describe("Name of the organisation; must match the document's name"),
  weight: z.number().min(0.01).max(1000).default(1)
    .describe(
      "Share of the capacity under overload, relative to other organisations",
    ),
  callsPerSecond: z.number().gt(0).max(10_000_000).optional()
    .describe(
      "Maximum root requests per second over all nodes; unlimited if absent",
    ),
  credentials: z.array(credentialSchema).max(20).default([])
    .describe("Credentials of the organisation's callers"),
  requests: z.array(requestRuleSchema).max(MAX_RULES).default([])
    .describe(
      "Rules; at most one for each combination of service, method and path",
    ),
  defaults: defaultsSchema.prefault({}),
});

/**
 * Parsed agreement with default values for its absent fields. Fields that are
 * absent from a rule are resolved later, by {@linkcode RuleTable}.
 */
export type Agreement = Readonly<z.output<typeof agreementSchema>>;

/** Schema of `policy/<service>`. */
export const servicePolicySchema = z.strictObject({
  service: subjectNameSchema
    .describe("Name of the service; must match the document's name"),
  defaultTimeoutMs: z.int().min(1).max(3_600_000).default(5000)
    .describe("Timeout of a request that specifies none, in milliseconds"),
  maximumTimeoutMs: z.int().min(1).max(3_600_000).default(60_000)
    .describe("Maximum timeout that a request may specify, in milliseconds"),
  retries: z.int().min(0).max(20).default(3)
    .describe(
      "Maximum retries of a root request, shared by all calls of its call chain",
    ),
  maximumBodyBytes: z.int().min(0).max(1_000_000_000).default(16_777_216)
    .describe("Maximum size of a request body, in bytes"),
  queueLength: z.int().min(0).max(100_000).default(100)
    .describe("Maximum number of queued requests per node"),
  progressTimeoutMs: z.int().min(10).max(600_000).default(10_000)
    .describe(
      "Time without progress after which a call is aborted, in milliseconds",
    ),
});

/**
 * Normalises a path for comparison with the paths of rules: removes the query
 * and fragment, dot segments, double slashes and a trailing slash, turns
 * backslashes into slashes, decodes percent-encoded unreserved characters and
 * writes other escapes in upper case.
 * Otherwise a caller could bypass the rule of a path with a different spelling
 * that the backend server treats as the same path.
 *
 * @param path Path that begins with a slash.
 */
export function normalisePath(path: string): string {
  const end = path.search(/[?#]/);
  const pathname = end === -1 ? path : path.slice(0, end);
  const needsResolving = /%|\/\/|\/\.|\\/.test(pathname);
  const resolved = needsResolving ? resolvePath(pathname) : pathname;
  return resolved.length > 1 && resolved.endsWith("/")
    ? resolved.slice(0, -1)
    : resolved;
}

/**
 * Normal form of each percent-encoded byte: the character if it is unreserved,
 * otherwise the escape in upper case. Precomputed, because a malicious path may
 * have thousands of escapes.
 */
const NORMALISED_ESCAPES: ReadonlyMap<string, string> = new Map(
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
    .replaceAll(/%[0-9a-fA-F]{2}/g, (escape) => NORMALISED_ESCAPES.get(escape)!)
    .replaceAll("\\", "/");
  const segments: string[] = [];
  decoded.split("/").forEach((segment) => {
    if (segment === "" || segment === ".") return;
    if (segment === "..") segments.pop();
    else segments.push(segment);
  });
  return `/${segments.join("/")}`;
}
