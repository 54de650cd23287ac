import { z } from "zod";
import { parseAddress } from "@oleanderdeck/settings";

/** Greatest number of calls in one run. */
export const MAX_CALLS = 20_000_000;

/** Longest run in milliseconds. */
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

/** How a caller repeats a call that did not get a whole answer. */
const retrySchema = z.strictObject({
  attempts: z.int().min(1).max(100).default(1)
    .describe("Greatest number of attempts of one call, the first included"),
  when: z.enum(["useful", "always"]).default("useful").describe(
    "`useful` follows the answer's retry-after and repeats a non-idempotent " +
      "call only if it was not run or has a permit; `always` repeats after " +
      "every failure, as an aggressive caller does",
  ),
  pauseMs: z.int().min(0).max(600_000).default(100)
    .describe(
      "Pause before a repetition when the answer names none, in milliseconds",
    ),
  sameIdentity: z.boolean().default(true)
    .describe("Whether a repetition carries the identity of the first attempt"),
});

const callSchema = z.strictObject({
  name: nameSchema.optional()
    .describe("Name in the report; service and method if absent"),
  service: nameSchema.describe("Service that is called"),
  method: z.enum(METHODS).default("GET").describe("HTTP method"),
  path: z.string().regex(
    /^\/\S*$/,
    "A path that begins with a slash is expected",
  )
    .default("/").describe("Path after the service"),
  credential: z.string().regex(
    /^[^:\s]+:\S+$/,
    "A credential of the form <organisation>:<secret> is expected",
  ).optional().describe(
    "`<organisation>:<secret>`; the caller is anonymous if absent",
  ),
  callsPerSecond: z.number().gt(0).max(100_000)
    .describe("Rate of calls, without repetitions"),
  bodyBytes: z.int().min(0).max(MAX_BODY_BYTES).default(0)
    .describe("Size of the request body"),
  timeoutMs: z.int().min(1).max(600_000).default(5000)
    .describe("Time for one attempt, in milliseconds"),
  retry: retrySchema.prefault({}),
  permit: z.enum(["none", "first", "on_demand"]).default("none").describe(
    "`first` fetches a permit before the call, `on_demand` uses the one that " +
      "comes with a `permit_required` rejection",
  ),
  failureCost: z.number().gt(0).max(1_000_000).default(1)
    .describe("Weight of this call in the weighted service"),
});

const phaseSchema = z.strictObject({
  durationMs: z.int().min(1).max(MAX_DURATION_MS)
    .describe("Length of the phase, in milliseconds"),
  multiplier: z.number().min(0).max(1000)
    .describe("Factor for the rates of the calls"),
  calls: z.array(nameSchema).optional()
    .describe("Names of the calls with this factor; all if absent"),
});

function isLoopback(address: string): boolean {
  const host = parseAddress(address)?.host ?? "";
  return host.startsWith("127.") || host === "::1";
}

/** Name of a call in the report. */
export function callName(
  call: {
    readonly name?: string | undefined;
    readonly service: string;
    readonly method: string;
  },
): string {
  return call.name ?? `${call.service}-${call.method.toLowerCase()}`;
}

/** Schema of a load description for `readJsonc`. */
export const loadDescriptionSchema = z.strictObject({
  nodes: z.array(
    z.string().refine(
      (text) => parseAddress(text) !== undefined,
      "An address of the form ip:port or [ip]:port is expected",
    ),
  ).min(1).max(10_000).describe("Call addresses, used in turn"),
  allowNonLoopback: z.boolean().default(false)
    .describe("Whether nodes may have other than loopback addresses"),
  seed: z.int().min(0).max(0x7fff_ffff).default(1)
    .describe("Seed of the times of arrival"),
  arrivals: z.enum(["poisson", "even"]).default("poisson")
    .describe("Random times as of independent callers, or equal gaps"),
  connectionsPerNode: z.int().min(1).max(2000).default(100)
    .describe("Greatest number of connections to one node"),
  maximumInFlight: z.int().min(1).max(50_000).default(10_000)
    .describe("Calls that exceed it are counted as not sent"),
  phases: z.array(phaseSchema).min(1).max(1000)
    .describe("Phases of the run, one after the other"),
  warmUpMs: z.int().min(0).max(MAX_DURATION_MS).default(0).describe(
    "Calls that are due before this time are not part of the latencies, in " +
      "milliseconds",
  ),
  calls: z.array(callSchema).min(1).max(1000)
    .describe("Kinds of calls, each with its own rate"),
}).superRefine((description, context) => {
  const { calls, nodes, phases } = description;
  const report = (path: (string | number)[], message: string) =>
    context.addIssue({ code: "custom", path, message });
  const names = calls.map(callName);
  names.forEach((name, index) => {
    if (names.indexOf(name) < index) {
      report(["calls", index], `An earlier call is also named ${name}`);
    }
  });
  phases.forEach((phase, index) =>
    phase.calls?.forEach((name, at) => {
      if (!names.includes(name)) {
        report(["phases", index, "calls", at], "There is no call of this name");
      }
    })
  );
  nodes.forEach((node, index) => {
    if (!description.allowNonLoopback && !isLoopback(node)) {
      report(
        ["nodes", index],
        "The address is not a loopback address and allowNonLoopback is not set",
      );
    }
  });
  if (durationOf(phases) > MAX_DURATION_MS) {
    report(["phases"], `The run is longer than ${MAX_DURATION_MS} ms`);
  }
  if (expectedCalls({ calls, phases }) > MAX_CALLS) {
    report(["calls"], `The run has more than ${MAX_CALLS} calls`);
  }
});

/** Load description with all defaults filled in. */
export type LoadDescription = Readonly<z.output<typeof loadDescriptionSchema>>;

/** One kind of call of a description. */
export type LoadCall = LoadDescription["calls"][number];

/** One phase of a description. */
export type LoadPhase = LoadDescription["phases"][number];

/** Length of all phases in milliseconds. */
export function durationOf(phases: readonly LoadPhase[]): number {
  return phases.reduce((sum, { durationMs }) => sum + durationMs, 0);
}

/** Factor of a call's rate in a phase. */
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
