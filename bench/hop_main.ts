/**
 * Measures the latency that one hop adds to a call. The same call is sent
 * directly to a backend server, through a bare streaming proxy, through a call
 * server with in-process admission, and through a complete node that calls the
 * worker of another node with leased slots. All paths are measured in one run,
 * interleaved, in an open loop after a warm-up, with bodies of 200 bytes. The
 * bare proxy only forwards calls, which separates the work of the product from
 * the cost of a second connection. Each part runs in its own process on loopback
 * addresses.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { cac } from "cac";
import type { Histogram } from "hdr-histogram-js";
import {
  type BenchPath,
  BODY,
  formatPercentiles,
  newHistogram,
  newPath,
  percentileDifferenceMs,
  runLoadRound,
} from "./hop_load.ts";
import {
  CALLING_HOST,
  type Child,
  CREDENTIAL,
  runRole,
  SERVICE,
  startChild,
} from "./hop_processes.ts";

/** Target for the latency that a hop adds at the 99th percentile. */
const TARGET_MS = 0.67;

/** Rate to which the target applies, in calls per second. */
const TARGET_RATE = 180;

/**
 * Load before the measurement, so that code is compiled and leases are held when
 * it starts.
 */
const WARM_UP = { rate: 600, seconds: 6, seed: 0 };

/** Time for the nodes to join each other and load their configuration. */
const READY_TIMEOUT_MS = 15_000;

/** Options of the command line. */
interface Arguments {
  readonly role?: string;
  readonly address: string;
  readonly seconds: number;
  readonly rounds: number;
  readonly rates: string;
  readonly seed: number;
  readonly profile?: string;
  readonly paths: string;
}

/** Path with the process that it goes through; undefined if direct. */
interface MeasuredPath extends BenchPath {
  readonly process: Child | undefined;
}

const program = cac("hop");
program.command("", "Measures the latency that one hop adds to a call")
  .option("--seconds <seconds>", "Length of one round", { default: 4 })
  .option("--rounds <rounds>", "Rounds per rate", { default: 7 })
  .option("--rates <rates>", "Calls per second on each path, comma-separated", {
    default: "180,900",
  })
  .option("--seed <seed>", "Seed of the arrival times", { default: 1 })
  .option("--paths <names>", "Paths beside the direct one, comma-separated", {
    default: "bare,edge,node",
  })
  .option("--profile <directory>", "Write processor profiles to this directory")
  .option("--role <role>", "Runs one part of the setup (used internally)")
  .option("--address <address>", "Address for a role", { default: "" })
  .action((options: Arguments) =>
    options.role === undefined
      ? measureHop(options)
      : runRole(options.role, options.address)
  );
program.parse();

async function measureHop(options: Arguments): Promise<void> {
  const { profile } = options;
  const store = await startChild("store");
  const calling = await startChild("calling", {
    address: store.address,
    ...profileOption(profile),
  });
  const serving = await startChild("serving", { address: store.address });
  const backend = await startChild("backend", { address: serving.address });
  const { address } = backend;
  const bare = await startChild("bare", { address, ...profileOption(profile) });
  const edge = await startChild("edge", { address, ...profileOption(profile) });
  const paths: MeasuredPath[] = [
    measuredPath("direct", backend.address, "/lookup", undefined),
    measuredPath("bare", bare.address, "/lookup", bare),
    measuredPath("edge", edge.address, `/${SERVICE}/lookup`, edge),
    measuredPath("node", calling.address, `/${SERVICE}/lookup`, calling),
  ];
  await waitUntilReady(calling.address);
  await runLoadRound(paths, WARM_UP);
  let addedAtTargetRate: AddedLatency | undefined;
  for (const rate of String(options.rates).split(",").map(Number)) {
    const added = await measureRate(rate, paths, options);
    if (rate === TARGET_RATE) addedAtTargetRate = added;
  }
  await Promise.all(paths.map((path) => path.pool.destroy()));
  [edge, bare, backend, calling, serving, store].forEach((child) =>
    child.stop()
  );
  if (addedAtTargetRate === undefined) return;
  const verdict = addedAtTargetRate.allRounds <= TARGET_MS ? "met" : "missed";
  console.log(
    `added p99 at ${TARGET_RATE}/s: ${
      addedAtTargetRate.allRounds.toFixed(3)
    } ms over all ` +
      `rounds, median of rounds ${
        addedAtTargetRate.medianOfRounds.toFixed(3)
      } ms, ` +
      `target ${TARGET_MS} ms, ${verdict}`,
  );
}

function profileOption(profile: string | undefined) {
  return profile === undefined ? {} : { profile };
}

/** Creates a path to an address; calls to the product carry a credential. */
function measuredPath(
  name: string,
  address: string,
  target: string,
  process: Child | undefined,
): MeasuredPath {
  const headers = target === "/lookup"
    ? []
    : ["oleanderdeck-credential", CREDENTIAL];
  return { ...newPath(name, { address, target, headers }), process };
}

/** Waits until a call through the node succeeds. */
async function waitUntilReady(address: string): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < endMs) {
    const response = await fetch(`http://${address}/${SERVICE}/lookup`, {
      method: "POST",
      headers: { "oleanderdeck-credential": CREDENTIAL },
      body: BODY,
    });
    await response.arrayBuffer();
    if (response.status === 200) return;
    await sleep(100);
  }
  throw new Error(
    `Calls through the node at ${CALLING_HOST} did not succeed within ${READY_TIMEOUT_MS} ms`,
  );
}

/**
 * Measures the selected paths at one rate. Each round measures each path in turn
 * together with the direct path. Returns the latency that the last path adds.
 */
async function measureRate(
  rate: number,
  paths: readonly MeasuredPath[],
  options: Arguments,
): Promise<AddedLatency> {
  const [direct, ...others] = paths;
  const selectedNames = options.paths.split(",");
  const proxied = others.filter(({ name }) => selectedNames.includes(name));
  const results = proxied.map((path) => newResult(path));
  for (let round = 1; round <= options.rounds; round++) {
    const seed = options.seed * 1000 + round;
    for (const result of results) {
      const { path } = result;
      await path.process!.processorTime();
      await runLoadRound([direct!, path], {
        rate,
        seconds: options.seconds,
        seed,
      });
      result.processorTime += await path.process!.processorTime();
      result.addedByRound.push(
        percentileDifferenceMs(path.histogram, direct!.histogram, 99),
      );
      result.direct.add(direct!.histogram);
      result.total.add(path.histogram);
      [direct!, path].forEach(({ failures }) =>
        failures.forEach((count, kind) =>
          result.failures.set(kind, (result.failures.get(kind) ?? 0) + count)
        )
      );
    }
  }
  results.forEach((result) => printResult(rate, result));
  const last = results.at(-1)!;
  const sortedByRound = [...last.addedByRound].sort((one, other) =>
    one - other
  );
  return {
    allRounds: percentileDifferenceMs(last.total, last.direct, 99),
    medianOfRounds: sortedByRound[sortedByRound.length >> 1]!,
  };
}

/** Added p99 in milliseconds. */
interface AddedLatency {
  /** Over the calls of all rounds together. */
  readonly allRounds: number;
  /** Median of the rounds, which short disturbances of the machine do not change. */
  readonly medianOfRounds: number;
}

/** Latencies of a path and of the direct path measured with it, in all rounds. */
interface PathResult {
  readonly path: MeasuredPath;
  readonly direct: Histogram;
  readonly total: Histogram;
  /** Added p99 of each round, in milliseconds. */
  readonly addedByRound: number[];
  /** Processor time of the path's process, in microseconds. */
  processorTime: number;
  /** Number of failed calls of both paths by error kind. */
  readonly failures: Map<string, number>;
}

function newResult(path: MeasuredPath): PathResult {
  return {
    path,
    direct: newHistogram(),
    total: newHistogram(),
    addedByRound: [],
    processorTime: 0,
    failures: new Map(),
  };
}

function printResult(rate: number, result: PathResult): void {
  const {
    path,
    direct,
    total,
    addedByRound,
    processorTime,
    failures,
  } = result;
  const failed = [...failures].map(([kind, count]) => `${count} ${kind}`);
  const added = (percentile: number) =>
    `p${percentile} ${
      percentileDifferenceMs(total, direct, percentile).toFixed(3)
    } ms`;
  console.log(
    `${rate}/s direct beside ${path.name}: ${formatPercentiles(direct)}`,
  );
  console.log(`${rate}/s ${path.name}: ${formatPercentiles(total)}`);
  console.log(
    `${rate}/s added by ${path.name}: ${added(50)}, ${added(99)}, ` +
      `p99 by round ${
        addedByRound.map((value) => value.toFixed(3)).join(" ")
      }, ` +
      `processor time ${(processorTime / total.totalCount).toFixed(0)} us ` +
      `per call, ${total.totalCount} calls, failed: ${
        failed.join(", ") || "none"
      }`,
  );
}
