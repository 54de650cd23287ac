/**
 * Runs seeded fault schedules against real components in several processes and
 * checks all invariants. The last line of output states the schedules run, the
 * invariants broken and the seed. The exit code is 1 if any invariant was broken.
 *
 * `node dist/soak.mjs [schedules] [seed]`
 */
import { fork } from "node:child_process";
import process from "node:process";
import { soak, type SoakReport } from "../packages/testing/sessions/mod.ts";

/** Default number of schedules; the target of the design. */
const DEFAULT_SCHEDULES = 10_000;

/** Number of processes that share the schedules. */
const PROCESSES = 4;

/** Environment variable with the {@linkcode Part} that a child process runs. */
const PART_VARIABLE = "OLEANDERDECK_SOAK_PART";

/** Part of the schedules that one process runs. */
interface Part {
  readonly schedules: number;
  readonly seed: number;
}

function runPart(part: Part): Promise<SoakReport> {
  return new Promise((resolve, reject) => {
    const child = fork(process.argv[1]!, [], {
      env: { ...process.env, [PART_VARIABLE]: JSON.stringify(part) },
    });
    child.once("message", (report) => resolve(report as SoakReport));
    child.once("error", reject);
    child.once("exit", (code) => {
      reject(new Error(`Soak process exited with code ${code}`));
    });
  });
}

function readNumber(text: string | undefined, fallback: number): number {
  const value = text === undefined ? fallback : Number(text);
  if (Number.isSafeInteger(value) && value > 0) return value;
  throw new TypeError(`Argument must be a positive integer: got "${text}"`);
}

async function runAll(): Promise<void> {
  const [schedulesText, seedText] = process.argv.slice(2);
  const schedules = readNumber(schedulesText, DEFAULT_SCHEDULES);
  const seed = readNumber(seedText, Math.floor(Date.now() / 1_000));
  const parts = Array.from({ length: PROCESSES }, (_, index) => ({
    schedules: Math.floor(schedules / PROCESSES) +
      (index < schedules % PROCESSES ? 1 : 0),
    seed: seed + index,
  })).filter((part) => part.schedules > 0);
  const reports = await Promise.all(parts.map(runPart));
  const broken = reports.flatMap((report) => report.broken);
  for (const { invariant, schedules: count, replay, story } of broken) {
    console.log(`${invariant}: ${count} schedules, ${replay}\n${story}`);
  }
  const run = reports.reduce((sum, report) => sum + report.schedules, 0);
  const names = new Set(broken.map(({ invariant }) => invariant));
  console.log(
    `schedules run ${run}, invariants broken ${names.size}, seed ${seed}`,
  );
  process.exitCode = broken.length === 0 ? 0 : 1;
}

const part = process.env[PART_VARIABLE];
if (part === undefined) await runAll();
else {
  const report = await soak(JSON.parse(part) as Part);
  process.send!(report, () => process.exit(0));
}
