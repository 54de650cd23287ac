import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Demonstration } from "./demonstration.ts";
import { judge } from "./judgement.ts";

const programs = dirname(fileURLToPath(import.meta.url));
const examples = join(programs, "..", "examples");
const write = (line: string) => void process.stdout.write(`${line}\n`);

async function demonstrate(name: string): Promise<boolean> {
  const demonstration = new Demonstration(name, {
    programs,
    examples,
    report: write,
  });
  try {
    const { broken, lines } = judge(await demonstration.run());
    ["", ...lines, ""].forEach(write);
    return broken.length === 0;
  } finally {
    await demonstration.close();
  }
}

process.once("SIGINT", () => process.exit(130));
process.once("SIGTERM", () => process.exit(143));

const results: boolean[] = [];
for (const name of ["lunchtable", "bandcraft"]) {
  results.push(await demonstrate(name));
}
process.exitCode = results.every(Boolean) ? 0 : 1;
