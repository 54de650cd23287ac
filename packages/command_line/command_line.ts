import { cac } from "cac";
import {
  type CommandContext,
  commandContext,
  type CommandEnvironment,
  DEFAULT_NODE,
  NODE_VARIABLE,
  outputFormat,
  type ParsedOptions,
  TOKEN_VARIABLE,
} from "./command_context.ts";
import { CommandError, usageError } from "./command_error.ts";
import { formatError } from "./command_output.ts";
import * as changes from "./change_commands.ts";
import { EXIT_CODE_HELP, EXIT_CODES, type ExitCode } from "./exit_code.ts";
import { explainRequest } from "./explain_request_command.ts";
import { explainRouting } from "./explain_routing_command.ts";
import { load } from "./load_command.ts";
import * as reads from "./read_commands.ts";
import * as system from "./system_commands.ts";

const VERSION = "0.1.0";

const VARIABLE_HELP = [
  `  ${NODE_VARIABLE}   control address of the node`,
  `  ${TOKEN_VARIABLE}  token; an option takes precedence`,
].join("\n");

type CommandLine = ReturnType<typeof cac>;

function addDocumentCommands(
  cli: CommandLine,
  context: () => CommandContext,
): void {
  cli.command("apply <...files>", "Validate documents and store them")
    .option(
      "--expected-version <version>",
      "Version that must be stored now, 0 for none; read first if absent",
    )
    .option(
      "--change-id <identity>",
      "Identity of an earlier attempt, so that the change is made once",
    )
    .example((name) => `  $ ${name} apply agreements/ policies/menus.jsonc`)
    .example((name) => `  $ generate_menus | ${name} apply /dev/stdin`)
    .example((name) => `  $ ${name} apply --expected-version 7 menus.jsonc`)
    .action((files: string[]) => changes.apply(context(), files));
  cli.command(
    "validate <...files>",
    "Check documents; with --node also by the node",
  )
    .example((name) => `  $ ${name} validate agreements/`)
    .action((files: string[]) => reads.validate(context(), files));
  cli.command("diff <...files>", "Compare documents with the stored ones")
    .example((name) => `  $ ${name} diff policies/menus.jsonc`)
    .action((files: string[]) => reads.diff(context(), files));
  cli.command("get <name>", "Show a stored document")
    .example((name) => `  $ ${name} get agreement/lunchtable`)
    .action((name: string) => reads.get(context(), name));
  cli.command("list [prefix]", "List stored documents")
    .example((name) => `  $ ${name} list policy/`)
    .action((prefix?: string) => reads.list(context(), prefix));
  cli.command("delete <name>", "Delete a stored document")
    .option(
      "--expected-version <version>",
      "Version that must be stored now; read first if absent",
    )
    .option(
      "--change-id <identity>",
      "Identity of an earlier attempt, so that the change is made once",
    )
    .example((name) => `  $ ${name} delete policy/menus`)
    .action((name: string) => changes.remove(context(), name));
  cli.command(
    "change <identity> <name>",
    "Tell whether a change of a document was committed",
  )
    .example((name) =>
      `  $ ${name} change 9f0c2a51-6c0e-4d0f-8f3e-3b0f1f6e2a77 policy/menus`
    )
    .action((identity: string, name: string) =>
      changes.change(context(), identity, name)
    );
}

function addSystemCommands(
  cli: CommandLine,
  context: () => CommandContext,
): void {
  cli.command("drain <address>", "Take a worker out of service gracefully")
    .example((name) => `  $ ${name} drain 10.1.2.3:9000`)
    .action((address: string) => system.drain(context(), address));
  cli.command("undrain <address>", "Put a drained worker back into service")
    .example((name) => `  $ ${name} undrain 10.1.2.3:9000`)
    .action((address: string) => system.undrain(context(), address));
  cli.command("status", "Show the node, its services and their use")
    .option("--members", "Show every member of the fleet")
    .action((options: ParsedOptions) =>
      system.status(context(), options.members === true)
    );
  cli.command(
    "explain <organisation> <method> <target>",
    "Tell why a request would be admitted or rejected now",
  )
    .option(
      "--request-timeout <ms>",
      "Timeout of the request; the policy's default if absent",
    )
    .example((name) => `  $ ${name} explain lunchtable POST bookings/orders`)
    .action((organisation: string, method: string, target: string) =>
      system.explain(context(), { organisation, method, target })
    );
  cli.command(
    "rollout <name>",
    "Count the nodes that hold each version of a document",
  )
    .example((name) => `  $ ${name} rollout agreement/lunchtable`)
    .action((name: string) => system.rollout(context(), name));
}

function addLoadCommand(cli: CommandLine, context: () => CommandContext): void {
  cli.command("load <file>", "Send the calls of a load description to nodes")
    .option("--report <path>", "File for the report in JSON")
    .option("--quiet", "Write no progress lines")
    .example((name) => `  $ ${name} load mix.jsonc --report report.json`)
    .action((file: string, options: ParsedOptions) =>
      load(context(), file, options.quiet === true)
    );
}

function addExplainRequestCommand(
  cli: CommandLine,
  context: () => CommandContext,
): void {
  cli.command(
    "explain-request <identity> <...files>",
    "Show the path of a request from the logs of nodes; - is the input",
  )
    .example((name) => `  $ ${name} explain-request 9dd916508c689b40 *.log`)
    .action((_identity: string, files: readonly string[]) =>
      explainRequest(context(), requestIdentity(context().argv), files)
    );
  cli.command(
    "explain-routing <target>",
    "Show where a request would go now, without sending it",
  )
    .option(
      "--organisation <name>",
      "Organisation of the caller, or the first digits of its key's hash",
    )
    .example((name) =>
      `  $ ${name} explain-routing http://menus.example/today --node 10.0.0.1:9464`
    )
    .action((target: string) => explainRouting(context(), target));
}

/**
 * Returns the request's identity as typed, because cac parses values such as
 * `1e5` as numbers.
 */
function requestIdentity(argv: readonly string[]): string {
  return argv[argv.indexOf("explain-request") + 1] ?? "";
}

function buildCommandLine(context: () => CommandContext): CommandLine {
  const cli = cac("oleanderdeck");
  addDocumentCommands(cli, context);
  addSystemCommands(cli, context);
  addLoadCommand(cli, context);
  addExplainRequestCommand(cli, context);
  cli.option(
    "--node <ip:port>",
    `Control address of a node (default: ${DEFAULT_NODE})`,
  );
  cli.option("--token <token>", "Token; visible to users of this host");
  cli.option("--token-file <path>", "File with the token");
  cli.option("--output <form>", "text or json (default: text)");
  cli.option("--timeout <ms>", "Time for one call (default: 10000)");
  cli.version(VERSION);
  cli.help((sections) => {
    const command = cli.matchedCommand;
    const kept = sections.filter(({ title }) =>
      !title?.startsWith("For more info")
    );
    const trimmed = kept.map(({ title, body }) => ({
      title,
      body: body.replaceAll(/ +$/gm, ""),
    }));
    return command === undefined
      ? [
        ...trimmed,
        { title: "Environment", body: VARIABLE_HELP },
        { title: "Exit codes", body: EXIT_CODE_HELP },
      ]
      : [{ body: command.description }, ...trimmed.slice(1)];
  });
  return cli;
}

/**
 * Capitalises a message of cac and removes the backquotes around option names.
 */
function toSentence(text: string): string {
  return text.charAt(0).toUpperCase() + text.slice(1).replaceAll("`", "");
}

function toCommandError(error: unknown): CommandError {
  if (error instanceof CommandError) return error;
  const { name, message } = error as Error;
  if (name === "CACError") return usageError(toSentence(message));
  return new CommandError(`Internal error: ${message}`, {
    exitCode: EXIT_CODES.failed,
    kind: "internal",
  });
}

async function run(
  argv: readonly string[],
  environment: CommandEnvironment,
): Promise<ExitCode> {
  const cli = buildCommandLine(() => commandContext(argv, environment));
  cli.parse([...argv], { run: false });
  if (cli.options.help || (cli.options.version && !cli.matchedCommandName)) {
    return EXIT_CODES.ok;
  }
  if (cli.matchedCommand === undefined) {
    throw usageError(
      cli.args.length === 0
        ? "No command given; see oleanderdeck --help"
        : `Unknown command ${cli.args[0]}; see oleanderdeck --help`,
    );
  }
  return await cli.runMatchedCommand();
}

/**
 * Parses the command line and runs the command. Errors are written to the
 * standard error stream.
 *
 * @param argv Arguments of the process; those of the command start at index 2.
 * @param environment Environment variables and output streams.
 * @returns The exit code of the process.
 */
export async function runCommandLine(
  argv: readonly string[],
  environment: CommandEnvironment,
): Promise<ExitCode> {
  try {
    return await run(argv, environment);
  } catch (thrown) {
    const error = toCommandError(thrown);
    environment.writeError(formatError(error, errorOutputFormat(argv)));
    return error.exitCode;
  }
}

function errorOutputFormat(argv: readonly string[]) {
  try {
    return outputFormat(argv);
  } catch {
    return "text";
  }
}
