import { z } from "zod";
import { parseAddress } from "@oleanderdeck/settings";

/** Maximum number of calls in one run. */
export const MAX_CALLS = 20_000_000;

/** Maximum length of a run in milliseconds. */
export const MAX_DURATION_MS = 3_600_000;

const MAX_BODY_BYTES = 100_000_000;

const METHODS = [
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
  "POST",
  "PATCH",
] as const;

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;

const nameSchema = z.string().regex(
  NAME_PATTERN,
  "1 to 63 lower-case letters, digits and hyphens are expected, no hyphen first",
);

/**
 * How a caller retries a call that received no complete, successful response.
 */
const retrySchema = z.strictObject({
  attempts: z.int().min(1).max(100).default(1)
    .describe("Maximum number of attempts of one call, including the first"),
  when: z.enum(["useful", "always"]).default("useful").describe(
    "`useful` retries after an error response only if it states a retry " +
      "delay, and retries a non-idempotent call only if it was not run or " +
      "has a permit; `always` retries after every failure, as an aggressive " +
      "caller does",
  ),
  pauseMs: z.int().min(0).max(600_000).default(100)
    .describe(
      "Delay before a retry if the response states none, in milliseconds",
    ),
  sameIdentity: z.boolean().default(true)
    .describe("Whether a retry carries the identity of the first attempt"),
});

const callSchema = z.strictObject({
  name: nameSchema.optional()
    .describe("Name in the report; `<service>-<method>` if absent"),
  service: nameSchema.describe("Service that is called"),
  method: z.enum(METHODS).default("GET").describe("HTTP method"),
  path: z.string().regex(
    /^\/\S*$/,
    "A path that begins with a slash is expected",
  )
    .default("/").describe("Path of the call, without the service"),
  credential: z.string().regex(
    /^[^:\s]+:\S+$/,
    "A credential of the form <organisation>:<secret> is expected",
  ).optional().describe(
    "`<organisation>:<secret>`; the caller is anonymous if absent",
  ),
  callsPerSecond: z.number().gt(0).max(100_000)
    .describe("Rate of calls, not counting retries"),
  bodyBytes: z.int().min(0).max(MAX_BODY_BYTES).default(0)
    .describe("Size of the request body"),
  timeoutMs: z.int().min(1).max(600_000).default(5000)
    .describe("Timeout of one attempt, in milliseconds"),
  retry: retrySchema.prefault({}),
  permit: z.enum(["none", "first", "on_demand"]).default("none").describe(
    "`first` requests a permit before the call; `on_demand` sends the call " +
      "without one and retries it with the permit that a `permit_required` " +
      "rejection contains",
  ),
  failureCost: z.number().gt(0).max(1_000_000).default(1)
    .describe("Weight of this call in `weightedService` of the report"),
});

const phaseSchema = z.strictObject({
  durationMs: z.int().min(1).max(MAX_DURATION_MS)
    .describe("Length of the phase, in milliseconds"),
  multiplier: z.number().min(0).max(1000)
    .describe("Factor by which the rates of the calls are multiplied"),
  calls: z.array(nameSchema).optional()
    .describe(
      "Names of the calls whose rate is multiplied; all calls if absent",
    ),
});

function isLoopback(address: string): boolean {
  const host = parseAddress(address)?.host ?? "";
  return host.startsWith("127.") || host === "::1";
}

/** Returns the name of a call in the report. */
export function callName(
  call: {
    readonly name?: string | undefined;
    readonly service: string;
    readonly method: string;
  },
): string {
  return call.name ?? `${call.service}-${call.method.toLowerCase()}`;
}

/** Schema of a load description, to be passed to `readJsonc`. */
export const loadDescriptionSchema = z.strictObject({
  nodes: z.array(
    z.string().refine(
      (text) => parseAddress(text) !== undefined,
      "An address of the form ip:port or [ip]:port is expected",
    ),
  ).min(1).max(10_000).describe("Call addresses of the nodes, used in turn"),
  allowNonLoopback: z.boolean().default(false)
    .describe(
      "Whether nodes may have addresses that are not loopback addresses",
    ),
  seed: z.int().min(0).max(0x7fff_ffff).default(1)
    .describe("Seed of the random arrival times"),
  arrivals: z.enum(["poisson", "even"]).default("poisson")
    .describe(
      "`poisson` for random arrival times, as of independent callers; `even` " +
        "for equal intervals",
    ),
  connectionsPerNode: z.int().min(1).max(2000).default(100)
    .describe("Maximum number of connections to one node"),
  maximumInFlight: z.int().min(1).max(50_000).default(10_000)
    .describe(
      "Maximum number of calls in flight; calls beyond it are counted as not " +
        "sent",
    ),
  phases: z.array(phaseSchema).min(1).max(1000)
    .describe("Phases of the run, one after the other"),
  warmUpMs: z.int().min(0).max(MAX_DURATION_MS).default(0).describe(
    "Calls that are due before this time are excluded from the latencies, in " +
      "milliseconds from the start of the run",
  ),
  calls: z.array(callSchema).min(1).max(1000)
    .describe("Kinds of calls, each with its own rate"),
}).superRefine((description, context) => {
  const { calls, nodes, phases } = description;
  const addIssue = (path: (string | number)[], message: string) =>
    context.addIssue({ code: "custom", path, message });
  const names = calls.map(callName);
  names.forEach((name, index) => {
    if (names.indexOf(name) < index) {
      addIssue(["calls", index], `An earlier call is also named ${name}`);
    }
  });
  phases.forEach((phase, index) =>
    phase.calls?.forEach((name, at) => {
      if (!names.includes(name)) {
        addIssue(
          ["phases", index, "calls", at],
          "No call has this name",
        );
      }
    })
  );
  nodes.forEach((node, index) => {
    if (!description.allowNonLoopback && !isLoopback(node)) {
      addIssue(
        ["nodes", index],
        "The address is not a loopback address and allowNonLoopback is not set",
      );
    }
  });
  if (durationOf(phases) > MAX_DURATION_MS) {
    addIssue(["phases"], `The run is longer than ${MAX_DURATION_MS} ms`);
  }
  if (expectedCalls({ calls, phases }) > MAX_CALLS) {
    addIssue(["calls"], `The run has more than ${MAX_CALLS} calls`);
  }
});

/** Load description with all defaults filled in. */
export type LoadDescription = Readonly<z.output<typeof loadDescriptionSchema>>;

/** One kind of call of a description. */
export type LoadCall = LoadDescription["calls"][number];

/** One phase of a description. */
export type LoadPhase = LoadDescription["phases"][number];

/** Returns the total length of phases in milliseconds. */
export function durationOf(phases: readonly LoadPhase[]): number {
  return phases.reduce((sum, { durationMs }) => sum + durationMs, 0);
}

/**
 * Returns the factor by which a phase multiplies the rate of a call.
 *
 * @param phase Phase of the run.
 * @param name Name of the call in the report.
 */
export function phaseMultiplier(phase: LoadPhase, name: string): number {
  const applies = phase.calls === undefined || phase.calls.includes(name);
  return applies ? phase.multiplier : 1;
}

function expectedCalls(
  description: Pick<LoadDescription, "calls" | "phases">,
): number {
  return description.calls.reduce(
    (sum, call) =>
      sum + description.phases.reduce(
        (calls, phase) =>
          calls +
          call.callsPerSecond * phaseMultiplier(phase, callName(call)) *
            phase.durationMs / 1000,
        0,
      ),
    0,
  );
}
