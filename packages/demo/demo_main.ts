import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { cac } from "cac";
import { Demonstration } from "./demonstration.ts";
import { evaluateResult } from "./evaluation.ts";

const programs = dirname(fileURLToPath(import.meta.url));
const examples = join(programs, "..", "examples");
const write = (line: string) => void process.stdout.write(`${line}\n`);

const program = cac("demo");
program.command(
  "[...deployments]",
  "Runs the named deployments, by default lunchtable and bandcraft",
)
  .option(
    "--reports <directory>",
    "Writes each load report to this directory as JSON",
  )
  .action(run);
program.help();
program.parse();

async function demonstrate(
  name: string,
  reports: string | undefined,
): Promise<boolean> {
  const demonstration = new Demonstration(name, {
    programs,
    examples,
    report: write,
  });
  try {
    const result = await demonstration.run();
    const { violatedInvariants, lines } = evaluateResult(result);
    ["", ...lines, ""].forEach(write);
    if (reports !== undefined) {
      writeFileSync(
        join(reports, `${name}.json`),
        JSON.stringify(result.load, undefined, 2) + "\n",
      );
    }
    return violatedInvariants.length === 0;
  } finally {
    await demonstration.close();
  }
}

async function run(
  names: readonly string[],
  options: { readonly reports?: string },
): Promise<void> {
  // An exit ends the processes of the deployment, a signal by itself does not.
  process.once("SIGHUP", () => process.exit(129));
  process.once("SIGINT", () => process.exit(130));
  process.once("SIGTERM", () => process.exit(143));
  const deployments = names.length > 0 ? names : ["lunchtable", "bandcraft"];
  const results: boolean[] = [];
  for (const name of deployments) {
    results.push(await demonstrate(name, options.reports));
  }
  process.exitCode = results.every(Boolean) ? 0 : 1;
}
