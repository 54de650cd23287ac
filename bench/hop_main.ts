/**
 * Measures what one hop adds to a call: the same call is sent directly to a
 * backend server, through a bare streaming proxy, through a call server with an
 * in-process admission, and through a whole node that calls the worker of
 * another node by leased slots; in one run, interleaved, open loop, warm, with
 * bodies of 200 bytes. The bare proxy does nothing but pass a call on, so that
 * the work of the product is seen apart from the cost of a second connection.
 * Every part is a process of its own on loopback addresses.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { cac } from "cac";
import type { Histogram } from "hdr-histogram-js";
import {
  BODY,
  describe,
  difference,
  drive,
  newHistogram,
  newPath,
  type Path,
} from "./hop_load.ts";
import {
  CALLING_HOST,
  type Child,
  CREDENTIAL,
  runRole,
  SERVICE,
  startChild,
} from "./hop_processes.ts";

/** Greatest latency that a hop may add for 99 in 100 calls, in ms. */
const TARGET_MS = 0.67;

/** Rate to which the target applies, in calls per second. */
const TARGET_RATE = 180;

/** Load before the measurement, so that code is compiled and leases held. */
const WARM_UP = { rate: 600, seconds: 6, seed: 0 };

/** Time for the nodes to find each other and their configuration, in ms. */
const READY_MS = 15_000;

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

/** Path with the process that it leads through. */
interface Measured extends Path {
  readonly process: Child | undefined;
}

const program = cac("hop");
program.command("", "Measures what one hop adds to a call")
  .option("--seconds <seconds>", "Length of one round", { default: 4 })
  .option("--rounds <rounds>", "Rounds per rate", { default: 7 })
  .option("--rates <rates>", "Calls per second on each path, by comma", {
    default: "180,900",
  })
  .option("--seed <seed>", "Seed of the arrival times", { default: 1 })
  .option("--paths <names>", "Paths beside the direct one, by comma", {
    default: "bare,edge,node",
  })
  .option("--profile <directory>", "Writes processor profiles of the proxies")
  .option("--role <role>", "Runs one part of the setup (used internally)")
  .option("--address <address>", "Address for a role", { default: "" })
  .action((options: Arguments) =>
    options.role === undefined
      ? measure(options)
      : runRole(options.role, options.address)
  );
program.parse();

async function measure(options: Arguments): Promise<void> {
  const { profile } = options;
  const store = await startChild("store");
  const calling = await startChild("calling", {
    address: store.address,
    ...profiled(profile),
  });
  const serving = await startChild("serving", { address: store.address });
  const backend = await startChild("backend", { address: serving.address });
  const { address } = backend;
  const bare = await startChild("bare", { address, ...profiled(profile) });
  const edge = await startChild("edge", { address, ...profiled(profile) });
  const paths: Measured[] = [
    measured("direct", backend.address, "/lookup", undefined),
    measured("bare", bare.address, "/lookup", bare),
    measured("edge", edge.address, `/${SERVICE}/lookup`, edge),
    measured("node", calling.address, `/${SERVICE}/lookup`, calling),
  ];
  await waitUntilReady(calling.address);
  await drive(paths, WARM_UP);
  let figure: Figure | undefined;
  for (const rate of String(options.rates).split(",").map(Number)) {
    const added = await measureRate(rate, paths, options);
    if (rate === TARGET_RATE) figure = added;
  }
  await Promise.all(paths.map((path) => path.pool.destroy()));
  [edge, bare, backend, calling, serving, store].forEach((child) =>
    child.stop()
  );
  if (figure === undefined) return;
  const verdict = figure.all <= TARGET_MS ? "met" : "missed";
  console.log(
    `added p99 at ${TARGET_RATE}/s: ${figure.all.toFixed(3)} ms over all ` +
      `rounds, median of rounds ${figure.median.toFixed(3)} ms, ` +
      `target ${TARGET_MS} ms, ${verdict}`,
  );
}

function profiled(profile: string | undefined) {
  return profile === undefined ? {} : { profile };
}

function measured(
  name: string,
  address: string,
  target: string,
  process: Child | undefined,
): Measured {
  const headers = target === "/lookup"
    ? []
    : ["oleanderdeck-credential", CREDENTIAL];
  return { ...newPath(name, { address, target, headers }), process };
}

/** Waits until a call through the node is answered whole. */
async function waitUntilReady(address: string): Promise<void> {
  const end = performance.now() + READY_MS;
  while (performance.now() < end) {
    const answer = await fetch(`http://${address}/${SERVICE}/lookup`, {
      method: "POST",
      headers: { "oleanderdeck-credential": CREDENTIAL },
      body: BODY,
    });
    await answer.arrayBuffer();
    if (answer.status === 200) return;
    await sleep(100);
  }
  throw new Error(`The node at ${CALLING_HOST} answered no call`);
}

/**
 * Measures one rate: in each round, every proxied path in turn beside the
 * direct path. Returns what the last path adds.
 */
async function measureRate(
  rate: number,
  paths: readonly Measured[],
  options: Arguments,
): Promise<Figure> {
  const [direct, ...others] = paths;
  const names = options.paths.split(",");
  const proxied = others.filter(({ name }) => names.includes(name));
  const results = proxied.map((path) => newResult(path));
  for (let round = 1; round <= options.rounds; round++) {
    const seed = options.seed * 1000 + round;
    for (const result of results) {
      const { path } = result;
      await path.process!.processorTime();
      await drive([direct!, path], { rate, seconds: options.seconds, seed });
      result.processorTime += await path.process!.processorTime();
      result.byRound.push(difference(path.histogram, direct!.histogram, 99));
      result.direct.add(direct!.histogram);
      result.total.add(path.histogram);
      [direct!, path].forEach(({ failures }) =>
        failures.forEach((count, kind) =>
          result.failures.set(kind, (result.failures.get(kind) ?? 0) + count)
        )
      );
    }
  }
  results.forEach((result) => report(rate, result));
  const last = results.at(-1)!;
  const byRound = [...last.byRound].sort((one, other) => one - other);
  return {
    all: difference(last.total, last.direct, 99),
    median: byRound[byRound.length >> 1]!,
  };
}

/** Added p99 in milliseconds. */
interface Figure {
  /** Over the calls of all rounds. */
  readonly all: number;
  /** Of the middle round, which short disturbances of the machine leave alone. */
  readonly median: number;
}

/** Latencies of a path and of the direct path beside it, over all rounds. */
interface Result {
  readonly path: Measured;
  readonly direct: Histogram;
  readonly total: Histogram;
  /** Added p99 of each round in milliseconds. */
  readonly byRound: number[];
  processorTime: number;
  /** Number of failed calls of both paths by error kind. */
  readonly failures: Map<string, number>;
}

function newResult(path: Measured): Result {
  return {
    path,
    direct: newHistogram(),
    total: newHistogram(),
    byRound: [],
    processorTime: 0,
    failures: new Map(),
  };
}

function report(rate: number, result: Result): void {
  const { path, direct, total, byRound, processorTime, failures } = result;
  const failed = [...failures].map(([kind, count]) => `${count} ${kind}`);
  const added = (percentile: number) =>
    `p${percentile} ${difference(total, direct, percentile).toFixed(3)} ms`;
  console.log(`${rate}/s direct beside ${path.name}: ${describe(direct)}`);
  console.log(`${rate}/s ${path.name}: ${describe(total)}`);
  console.log(
    `${rate}/s added by ${path.name}: ${added(50)}, ${added(99)}, ` +
      `p99 by round ${byRound.map((value) => value.toFixed(3)).join(" ")}, ` +
      `processor time ${(processorTime / total.totalCount).toFixed(0)} us ` +
      `per call, ${total.totalCount} calls, failed: ${
        failed.join(", ") || "none"
      }`,
  );
}
