import { readFileSync } from "node:fs";
import { cac } from "cac";
import { ignoreHangup, PlannedStop } from "@oleanderdeck/lifecycle";
import { EventLog } from "@oleanderdeck/observability";
import {
  type NodeSettings,
  nodeSettingsSchema,
  readJsonc,
} from "@oleanderdeck/settings";
import { Node } from "./node.ts";

/** Exit codes of the daemon. */
const EXIT_CODES = { failed: 1, usage: 2 } as const;

const program = cac("oleanderdeckd");
program.command("", "Runs a node beside a backend server")
  .option("--settings <file>", "Settings in JSON with comments (required)")
  .option("--check", "Check the settings and exit")
  .action(run);
program.help();

function fail(code: number, lines: readonly string[]): void {
  lines.forEach((line) => process.stderr.write(`oleanderdeckd: ${line}\n`));
  process.exitCode = code;
}

function readSettings(file: string): NodeSettings | undefined {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    fail(EXIT_CODES.usage, [
      `The settings file cannot be read: ${describe(error)}`,
    ]);
    return undefined;
  }
  return readJsonc(text, nodeSettingsSchema).caseOf<NodeSettings | undefined>({
    Left: (faults) => {
      fail(
        EXIT_CODES.usage,
        faults.map(({ column, line, message, path }) =>
          `${file}:${line}:${column}: ${
            path === "" ? "" : path + ": "
          }${message}`
        ),
      );
      return undefined;
    },
    Right: (settings) => settings,
  });
}

function describe(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

async function run(
  options: { readonly settings?: string; readonly check?: boolean },
): Promise<void> {
  if (options.settings === undefined) {
    return fail(EXIT_CODES.usage, ["The option --settings is missing"]);
  }
  const settings = readSettings(options.settings);
  if (settings === undefined || options.check) return;
  const log = new EventLog({ level: settings.logLevel });
  process.once("uncaughtException", (error) => {
    log.write("error", "node_failed", { fault: error.stack });
    process.exit(EXIT_CODES.failed);
  });
  const node = new Node(settings);
  const started = node.start();
  new PlannedStop({
    log,
    stop: () => started.then(() => node.close()),
    workUnderWay: () => ({ calls: node.callsInFlight }),
  }).listen();
  ignoreHangup(log);
  try {
    await started;
  } catch (error) {
    fail(EXIT_CODES.failed, [`The node cannot start: ${describe(error)}`]);
    process.exit();
  }
}

try {
  program.parse(process.argv, { run: false });
  await program.runMatchedCommand();
} catch (error) {
  fail(EXIT_CODES.usage, [describe(error)]);
}
