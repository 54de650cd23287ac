// Plays the cases of the review (review/REPORT.md) against the program for the
// platform's hosts, one after another, and prints one line for each play.
import { execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { readdirSync, readFileSync } from "node:fs";
import { constants } from "node:os";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";

const USAGE = "usage: npm run review -- [--cases 1,2,...] [--times COUNT]";

/** What the exit codes of a case say, as review/N/run.sh states them. */
const VERDICTS = new Map([[0, "held"], [1, "broken"]]);

process.chdir(fileURLToPath(new URL("..", import.meta.url)));

const allCases = readdirSync("review").filter((name) => /^\d+$/.test(name))
  .sort((one, other) => Number(one) - Number(other));

/** Returns the cases to play and how many times each, as the options say. */
function readOptions() {
  const { values } = parseArgs({
    options: { cases: { type: "string" }, times: { type: "string" } },
  });
  const cases = values.cases?.split(",") ?? allCases;
  const times = Number(values.times ?? 1);
  const unknown = cases.filter((name) => !allCases.includes(name));
  if (unknown.length > 0) throw new Error(`No case ${unknown.join(", ")}`);
  if (!Number.isInteger(times) || times < 1) {
    throw new Error("COUNT is a whole number above 0");
  }
  return { cases, times };
}

let child;
let stoppedBy;

// A case ends its own processes when it is told to end.
function stop(signal) {
  stoppedBy ??= signal;
  child?.kill("SIGTERM");
}

/** Plays a case; returns whether its rule held. */
async function play(name) {
  const startedAt = performance.now();
  child = spawn("bash", [`review/${name}/run.sh`], { stdio: "ignore" });
  const [code] = await once(child, "exit");
  child = undefined;
  if (stoppedBy !== undefined) return false;
  const [, rule] = /^rule: (.*)$/m.exec(
    readFileSync(`review/${name}/claim.txt`, "utf8"),
  );
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  const verdict = VERDICTS.get(code) ?? "could not run";
  const record = code === 0 ? "" : `  see review/${name}/record.txt`;
  console.log(
    `${name}  ${rule.padEnd(8)}${verdict.padEnd(15)}${seconds} s${record}`,
  );
  return code === 0;
}

let options;
try {
  options = readOptions();
} catch (error) {
  console.error(`${error.message}\n${USAGE}`);
  process.exit(2);
}
execFileSync(process.execPath, ["scripts/build_platform.mjs"], {
  stdio: "inherit",
});
execFileSync("bash", ["review/build.sh"], { stdio: "inherit" });
["SIGHUP", "SIGINT", "SIGTERM"].forEach((signal) => process.on(signal, stop));

const plays = options.cases.flatMap((name) => Array(options.times).fill(name));
let failed = 0;
for (const name of plays) {
  if (!await play(name)) failed++;
  if (stoppedBy !== undefined) process.exit(128 + constants.signals[stoppedBy]);
}
console.log(`${plays.length - failed} of ${plays.length} held`);
process.exitCode = failed === 0 ? 0 : 1;
