import { request } from "undici";
import type { RequestExplanation } from "@oleanderdeck/sidecar";
import { EXPLANATION_PATH } from "@oleanderdeck/calling";
import { type CommandContext, optionText } from "./command_context.ts";
import { CommandError, usageError } from "./command_error.ts";
import { formatTable, writeResult } from "./command_output.ts";
import { EXIT_CODES, type ExitCode } from "./exit_code.ts";

/**
 * Shows where a request would go now, and why, without sending it. The node on
 * the host of the command is asked.
 *
 * @param context Options, output streams and format.
 * @param target Host and path of the request as a URL.
 * @returns The exit code.
 * @throws {CommandError} If the target is no URL, or the node gives no answer.
 */
export async function explainRouting(
  context: CommandContext,
  target: string,
): Promise<ExitCode> {
  const explanation = await ask(context, parseTarget(target));
  writeResult(context, {
    json: explanation,
    lines: formatExplanation(explanation),
  });
  return EXIT_CODES.ok;
}

function parseTarget(target: string): URL {
  try {
    return new URL(target);
  } catch {
    throw usageError(
      `The target must be a URL such as http://menus.example/today, not ${target}`,
    );
  }
}

async function ask(
  { argv, node, timeoutMs }: CommandContext,
  { hostname, pathname, search }: URL,
): Promise<RequestExplanation> {
  const organisation = optionText(argv, "--organisation");
  const query = new URLSearchParams({
    host: hostname,
    path: pathname + search,
    ...(organisation !== undefined && { organisation }),
  });
  try {
    const { body, statusCode } = await request(
      `http://${node}${EXPLANATION_PATH}?${query}`,
      { headersTimeout: timeoutMs, bodyTimeout: timeoutMs },
    );
    const text = await body.text();
    if (statusCode === 200) return JSON.parse(text) as RequestExplanation;
    throw unreachable(node, `it answered ${statusCode}: ${text.slice(0, 200)}`);
  } catch (error) {
    if (error instanceof CommandError) throw error;
    throw unreachable(node, (error as Error).message);
  }
}

function unreachable(node: string, reason: string): CommandError {
  return new CommandError(`The node ${node} gives no explanation: ${reason}`, {
    exitCode: EXIT_CODES.unreachable,
    kind: "unreachable",
    details: [
      "Run the command on the host of the node, with --node and the address of its metrics",
    ],
  });
}

/** Formats an explanation as text, one decision a line. */
export function formatExplanation(
  explanation: RequestExplanation,
): readonly string[] {
  const { configurationVersion, node, route, services } = explanation;
  return [
    `Node ${node}, configuration ${configurationVersion}`,
    formatCaller(explanation),
    route === undefined
      ? "No route matches: 404, or 503 while the configuration may be outdated"
      : `Route ${route}, priority ${explanation.priority}`,
    ...services.flatMap(({ admittedShare, service, share, workers }) => [
      "",
      `Service ${service}: ${percent(share)} of the route, ` +
      `${percent(admittedShare)} of such requests are admitted`,
      ...formatTable(
        ["worker", "data centre", "chosen", "cost ms", "running", "slots"],
        workers.map(({ costMs, dataCentre, exclusion, load, node }, index) => [
          node,
          dataCentre,
          exclusion ?? (index === 0 ? "next" : "costs more"),
          typeof costMs === "number" ? Math.round(costMs) : costMs,
          load === undefined ? "-" : load.running + load.waiting,
          load === undefined ? "-" : load.slots,
        ]),
      ),
    ]),
  ];
}

function formatCaller(
  { isKeyMissing, mayUseCredentials, organisation, proofAgeMs, quotaTokens }:
    RequestExplanation,
): string {
  if (isKeyMissing) return "Caller without a known key: 401";
  const quota = quotaTokens === undefined
    ? "no limit"
    : `${quotaTokens.toFixed(2)} tokens held here, more from the broker`;
  const proof = proofAgeMs === undefined
    ? "no proof of the configuration needed"
    : `proof of the configuration ${proofAgeMs} ms old` +
      (mayUseCredentials ? "" : ": 503 configuration_unproven");
  return organisation === undefined
    ? "Caller without an organisation"
    : `Organisation ${organisation}: ${quota}, ${proof}`;
}

function percent(share: number): string {
  return `${Math.round(share * 100)}%`;
}
