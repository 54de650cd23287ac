import type { StatusResponse } from "@oleanderdeck/protocol";
import { type CommandContext, optionNumber } from "./command_context.ts";
import { usageError } from "./command_error.ts";
import { formatTable, writeResult } from "./command_output.ts";
import { requireDocumentName } from "./document_files.ts";
import { EXIT_CODES, type ExitCode } from "./exit_code.ts";
import { withConnection } from "./operator_connection.ts";

interface WorkerChange {
  readonly method: "drain" | "undrain";
  readonly state: string;
  /** Text that follows the worker's address in text output. */
  readonly text: string;
}

async function changeWorker(
  context: CommandContext,
  workerAddress: string,
  change: WorkerChange,
): Promise<ExitCode> {
  await withConnection(
    context,
    (connection) =>
      connection.call<unknown>((client) =>
        client[change.method]({ workerAddress })
      ),
  );
  writeResult(context, {
    json: { workerAddress, state: change.state },
    lines: [`${workerAddress} ${change.text}`],
  });
  return EXIT_CODES.ok;
}

/** Takes a worker out of service; its calls in flight may finish. */
export function drain(
  context: CommandContext,
  workerAddress: string,
): Promise<ExitCode> {
  return changeWorker(context, workerAddress, {
    method: "drain",
    state: "draining",
    text: "is draining; its calls in flight are finished",
  });
}

/** Puts a drained worker back into service. */
export function undrain(
  context: CommandContext,
  workerAddress: string,
): Promise<ExitCode> {
  return changeWorker(context, workerAddress, {
    method: "undrain",
    state: "serving",
    text: "is back in service",
  });
}

function countBy<Item>(
  items: readonly Item[],
  key: (item: Item) => string,
): readonly (readonly [string, number])[] {
  const counts = new Map<string, number>();
  items.forEach((item) =>
    counts.set(key(item), (counts.get(key(item)) ?? 0) + 1)
  );
  return [...counts].sort(([a], [b]) => (a < b ? -1 : 1));
}

function formatSection(
  title: string,
  lines: readonly string[],
): readonly string[] {
  return lines.length === 0 ? [] : ["", title, ...lines];
}

function statusLines(
  status: StatusResponse,
  showsMembers: boolean,
): readonly string[] {
  const { members, services, organisations } = status;
  const states = countBy(members, ({ state }) => state)
    .map(([state, count]) => `${count} ${state}`)
    .join(", ");
  return [
    `node         ${status.nodeId}`,
    `incarnation  ${status.incarnation}`,
    `data centre  ${status.dataCentre}`,
    `ready        ${status.ready ? "yes" : "no"}`,
    `members      ${states || "none"}`,
    ...formatSection(
      "Services called through this node",
      formatTable(
        ["SERVICE", "RUNNING", "QUEUED", "SLOTS", "THRESHOLD"],
        services.map((each) => [
          each.service,
          each.running,
          each.queued,
          each.slots,
          each.threshold,
        ]),
      ),
    ),
    ...formatSection(
      "Organisations since the start of this node",
      formatTable(
        ["ORGANISATION", "ADMITTED", "SLOT MS", "BORROWED MS", "REJECTED"],
        organisations.map((each) => [
          each.organisation,
          each.admitted,
          each.slotMilliseconds,
          each.borrowedSlotMilliseconds,
          Object.entries(each.refused)
            .map(([kind, count]) => `${kind}=${count}`)
            .join(" "),
        ]),
      ),
    ),
    ...formatSection(
      "Members",
      showsMembers
        ? formatTable(
          ["NODE", "DATA CENTRE", "STATE", "SERVICE", "WORKER", "SLOTS", ""],
          members.map((each) => [
            each.nodeId,
            each.dataCentre,
            each.state,
            each.service,
            each.workerAddress,
            each.slots,
            each.workerState,
          ]),
        )
        : [],
    ),
  ];
}

function withoutTypeName<Message extends { readonly $typeName: string }>(
  message: Message,
): Omit<Message, "$typeName"> {
  const { $typeName: _, ...fields } = message;
  return fields;
}

/**
 * Shows the node, the services called through it and the slot time used by each
 * organisation.
 */
export async function status(
  context: CommandContext,
  showsMembers: boolean,
): Promise<ExitCode> {
  const response = await withConnection(
    context,
    (connection) => connection.call((client) => client.status({})),
  );
  writeResult(context, {
    json: {
      ...withoutTypeName(response),
      // A 64-bit incarnation would lose precision as a JSON number.
      incarnation: String(response.incarnation),
      members: response.members.map(withoutTypeName),
      services: response.services.map(withoutTypeName),
      organisations: response.organisations.map(withoutTypeName),
    },
    lines: statusLines(response, showsMembers),
  });
  return EXIT_CODES.ok;
}

/** Arguments of the `explain` command, which describe a request. */
export interface ExplainArguments {
  readonly organisation: string;
  readonly method: string;
  /** `<service>/<path>` as in the URL of a call. */
  readonly target: string;
}

/** Explains why a request would currently be admitted or rejected. */
export async function explain(
  context: CommandContext,
  request: ExplainArguments,
): Promise<ExitCode> {
  const { organisation, method, target } = request;
  const match = /^\/?([^/]+)(\/.*)?$/.exec(target);
  if (match === null) {
    throw usageError(
      `The target must have the form service/path, not ${target}`,
    );
  }
  const [, service, path] = match;
  const timeoutMilliseconds = optionNumber(context.argv, "--request-timeout") ??
    0;
  const { admitted, kind, reasons } = await withConnection(
    context,
    (connection) =>
      connection.call((client) =>
        client.explain({
          organisation,
          service,
          method: method.toUpperCase(),
          path: path ?? "/",
          timeoutMilliseconds,
        })
      ),
  );
  writeResult(context, {
    json: { admitted, kind, reasons },
    lines: [
      admitted ? "admitted" : `rejected as ${kind}`,
      ...reasons.map((reason) => `  ${reason}`),
    ],
  });
  return EXIT_CODES.ok;
}

/** Counts the nodes that hold each version of a document. */
export async function rollout(
  context: CommandContext,
  name: string,
): Promise<ExitCode> {
  requireDocumentName(name);
  const { storedVersion, counts } = await withConnection(
    context,
    (connection) => connection.call((client) => client.rollout({ name })),
  );
  const total = counts.reduce((sum, { nodes }) => sum + nodes, 0);
  const current = counts
    .find(({ version }) => version === storedVersion)?.nodes ?? 0;
  writeResult(context, {
    json: {
      name,
      storedVersion,
      counts: counts.map(({ version, nodes }) => ({ version, nodes })),
    },
    lines: [
      `${name}: ${current} of ${total} answering nodes hold version ` +
      `${storedVersion}`,
      ...formatTable(
        ["VERSION", "NODES"],
        counts.map(({ version, nodes }) => [version, nodes]),
      ),
    ],
  });
  return EXIT_CODES.ok;
}
