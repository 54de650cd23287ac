/**
 * Measures what one hop through the call edge adds to a call: the same call is
 * sent directly to a backend server and through an edge, in one run,
 * interleaved, open loop, warm, with bodies of 200 bytes. A bare streaming proxy
 * is measured beside the edge: it does nothing but pass a call on, so that the
 * share of the edge's own work is seen apart from that of the machine. Load
 * generator, proxy, edge and backend server are separate processes on loopback
 * addresses.
 */
import { fork } from "node:child_process";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { cac } from "cac";
import { build, type Histogram } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Pool } from "undici";
import {
  directTarget,
  OpenAdmission,
  OpenPolicy,
  StandaloneEdge,
} from "@oleanderdeck/testing";

/** Greatest latency that a hop may add for 99 in 100 calls, in ms. */
const TARGET_MS = 0.67;

const BODY = Buffer.alloc(200, 0x6f);
const MICROSECONDS_PER_MS = 1000;

interface Arguments {
  readonly role?: "backend" | "edge";
  readonly backend?: string;
  readonly seconds: number;
  readonly rounds: number;
  readonly rates: string;
  readonly seed: number;
  readonly profile?: string;
}

/** One way to reach the backend server, with its latencies in microseconds. */
interface Path {
  readonly name: string;
  readonly pool: Pool;
  readonly target: string;
  readonly headers: readonly string[];
  histogram: Histogram;
  failed: number;
}

const program = cac("hop");
program.command("", "Measures what one hop adds to a call")
  .option("--seconds <seconds>", "Length of one round", { default: 10 })
  .option("--rounds <rounds>", "Rounds per rate", { default: 3 })
  .option("--rates <rates>", "Calls per second, by comma", {
    default: "180,900",
  })
  .option("--seed <seed>", "Seed of the arrival times", { default: 1 })
  .option("--profile <directory>", "Writes processor profiles of the proxies")
  .option(
    "--role <role>",
    "Runs as backend, edge or bare proxy (used internally)",
  )
  .option("--backend <address>", "Address for the roles edge and bare")
  .action((options: Arguments) =>
    options.role === "backend"
      ? runBackend()
      : options.role === "edge"
      ? runEdge(options.backend!)
      : options.role === "bare"
      ? runBareProxy(options.backend!)
      : measure(options)
  );
process.once("disconnect", () => process.exit());
program.parse();

function runBackend(): void {
  const server = createServer(
    { keepAliveTimeout: 65_000 },
    (request, answer) => {
      request.on("end", () => {
        answer.writeHead(200, ["content-length", String(BODY.length)]);
        answer.end(BODY);
      });
      request.resume();
    },
  );
  server.listen(0, "127.0.0.1", () => {
    process.send!(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  });
}

async function runEdge(backend: string): Promise<void> {
  const admission = new OpenAdmission({ measures: [directTarget(backend)] });
  admission.keeps = false;
  const policy = new OpenPolicy({
    services: { measures: {} },
    secrets: { bandcraft: "secret" },
  });
  const edge = new StandaloneEdge({ policy, admission });
  process.send!(await edge.start());
  answerProcessorTime();
}

function runBareProxy(backend: string): void {
  const pool = new Pool(`http://${backend}`, {
    connections: 64,
    keepAliveTimeout: 60_000,
  });
  const server = createServer(
    { keepAliveTimeout: 65_000 },
    (request, answer) => {
      pool.dispatch({
        path: request.url!,
        method: request.method!,
        headers: ["content-length", String(BODY.length)],
        body: request,
      }, {
        onConnect: () => {},
        onHeaders: (status, headers) => {
          const lines = headers.map((part) => part.toString("latin1"));
          answer.writeHead(status, lines);
          return true;
        },
        onData: (chunk) => answer.write(chunk),
        onComplete: () => void answer.end(),
        onError: () => void answer.destroy(),
      });
    },
  );
  server.listen(0, "127.0.0.1", () => {
    process.send!(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    answerProcessorTime();
  });
}

/** Answers each message with the processor time since the last one, in us. */
function answerProcessorTime(): void {
  let last = process.cpuUsage();
  process.on("message", () => {
    const used = process.cpuUsage(last);
    last = process.cpuUsage();
    process.send!(String(used.user + used.system));
  });
}

async function measure(options: Arguments): Promise<void> {
  const backend = startChild(["--role", "backend"]);
  const backendAddress = await backend.next();
  const edge = startChild(
    ["--role", "edge", "--backend", backendAddress],
    options.profile,
  );
  const edgeAddress = await edge.next();
  const bare = startChild(
    ["--role", "bare", "--backend", backendAddress],
    options.profile,
  );
  const bareAddress = await bare.next();
  const paths = [
    newPath("direct", backendAddress, "/lookup", []),
    newPath("bare", bareAddress, "/lookup", []),
    newPath("through", edgeAddress, "/measures/lookup", [
      "oleanderdeck-credential",
      "bandcraft:secret",
    ]),
  ];
  await drive(paths, { rate: 900, seconds: 5, seed: options.seed });
  let figure: number | undefined;
  for (const rate of String(options.rates).split(",").map(Number)) {
    const p99 = await measureRate(rate, paths, [bare, edge], options);
    if (rate === 180) figure = p99;
  }
  await Promise.all(paths.map((path) => path.pool.destroy()));
  [edge, bare, backend].forEach((child) => child.stop());
  if (figure === undefined) return;
  const verdict = figure <= TARGET_MS ? "met" : "missed";
  console.log(
    `added p99 at 180/s: ${figure.toFixed(3)} ms, target ${TARGET_MS} ms, ` +
      verdict,
  );
}

/** Measures one rate and returns the p99 added by the edge, in milliseconds. */
async function measureRate(
  rate: number,
  paths: readonly Path[],
  proxies: readonly Child[],
  options: Arguments,
): Promise<number> {
  const totals = paths.map(() => newHistogram());
  const rounds: Histogram[][] = [];
  let failed = 0;
  await Promise.all(proxies.map((child) => child.processorTime()));
  for (let round = 1; round <= options.rounds; round++) {
    const seed = options.seed * 1000 + round;
    await drive(paths, { rate, seconds: options.seconds, seed });
    rounds.push(paths.map((path) => path.histogram));
    paths.forEach((path, index) => totals[index]!.add(path.histogram));
    failed += paths.reduce((sum, path) => sum + path.failed, 0);
  }
  const times = await Promise.all(
    proxies.map((child) => child.processorTime()),
  );
  paths.forEach((path, index) =>
    console.log(`${rate}/s ${path.name}: ${describe(totals[index]!)}`)
  );
  [1, 2].forEach((index) => {
    const { totalCount } = totals[index]!;
    const byRound = rounds.map((histograms) => addedAt(histograms, index, 99));
    console.log(
      `${rate}/s added by ${paths[index]!.name}: ` +
        `p50 ${addedAt(totals, index, 50).toFixed(3)} ms, ` +
        `p99 ${addedAt(totals, index, 99).toFixed(3)} ms, p99 by round ` +
        `${byRound.map((value) => value.toFixed(3)).join(" ")}, ` +
        `processor time ${
          (times[index - 1]! / totalCount).toFixed(0)
        } us per ` +
        `call, ${totalCount} calls, ${failed} failed`,
    );
  });
  return addedAt(totals, 2, 99);
}

/** Difference between a path and the direct path, in milliseconds. */
function addedAt(
  histograms: readonly Histogram[],
  index: number,
  percentile: number,
): number {
  const direct = histograms[0]!.getValueAtPercentile(percentile);
  const value = histograms[index]!.getValueAtPercentile(percentile);
  return (value - direct) / MICROSECONDS_PER_MS;
}

function describe(histogram: Histogram): string {
  return [50, 90, 99, 99.9].map((percentile) => {
    const value = histogram.getValueAtPercentile(percentile);
    return `p${percentile} ${(value / MICROSECONDS_PER_MS).toFixed(3)} ms`;
  }).join(", ");
}

/** Load of one round. */
interface Round {
  /** Calls per second on each path. */
  readonly rate: number;
  readonly seconds: number;
  readonly seed: number;
}

/**
 * Sends calls at random times (Poisson arrivals), on both paths in turn. The
 * time of a call counts from its dispatch, because timers of the load generator
 * are as coarse as the latency that is measured.
 */
async function drive(paths: readonly Path[], round: Round): Promise<void> {
  paths.forEach((path) => {
    path.histogram = newHistogram();
    path.failed = 0;
  });
  const generator = xoroshiro128plus(round.seed);
  const meanGapMs = 1000 / (round.rate * paths.length);
  const end = performance.now() + round.seconds * 1000;
  let due = performance.now();
  let number = 0;
  while (due < end) {
    due += -Math.log(1 - uniformFloat64(generator)) * meanGapMs;
    const wait = due - performance.now();
    if (wait > 0.5) await sleep(wait);
    send(paths[number++ % paths.length]!);
  }
  await sleep(200);
}

function send(path: Path): void {
  const startedAt = performance.now();
  path.pool.dispatch({
    path: path.target,
    method: "POST",
    headers: path.headers as string[],
    body: BODY,
  }, {
    onConnect: () => {},
    onHeaders: (status) => {
      if (status !== 200) path.failed++;
      return true;
    },
    onData: () => true,
    onComplete: () => {
      const elapsed = (performance.now() - startedAt) * MICROSECONDS_PER_MS;
      path.histogram.recordValue(Math.round(elapsed));
    },
    onError: () => {
      path.failed++;
    },
  });
}

function newPath(
  name: string,
  address: string,
  target: string,
  headers: readonly string[],
): Path {
  const pool = new Pool(`http://${address}`, {
    connections: 64,
    keepAliveTimeout: 60_000,
  });
  const histogram = newHistogram();
  return { name, pool, target, headers, histogram, failed: 0 };
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

/** Child process that sends its address, and its processor time on demand. */
interface Child {
  next(): Promise<string>;
  /** Processor time since the last call, in microseconds. */
  processorTime(): Promise<number>;
  stop(): void;
}

function startChild(args: readonly string[], profile?: string): Child {
  const child = fork(process.argv[1]!, args, {
    execArgv: profile === undefined
      ? []
      : ["--cpu-prof", `--cpu-prof-dir=${profile}`],
  });
  const next = () =>
    new Promise<string>((resolve, reject) => {
      child.once("message", (text) => resolve(String(text)));
      child.once("exit", (code) => reject(new Error(`Exit code ${code}`)));
    });
  return {
    next,
    processorTime: () => {
      child.send("processor time");
      return next().then(Number);
    },
    stop: () => child.disconnect(),
  };
}
