// Open-loop load of the hop benchmark and its latencies.
import { setTimeout as sleep } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Pool } from "undici";
import { ERROR_FIELD } from "@oleanderdeck/protocol";

/** Body of requests and answers. */
export const BODY = Buffer.alloc(200, 0x6f);

const MICROSECONDS_PER_MS = 1000;

/** Time for the last answers of a round, in milliseconds. */
const LAST_ANSWERS_MS = 200;

/** One way to reach the backend server, with its latencies in microseconds. */
export interface Path {
  readonly name: string;
  readonly pool: Pool;
  readonly target: string;
  readonly headers: readonly string[];
  histogram: Histogram;
  /** Number of failed calls by error kind, or by status without a kind. */
  failures: Map<string, number>;
}

/** Load of one round. */
export interface Round {
  /** Calls per second on each path. */
  readonly rate: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Makes a path with connections of its own. */
export function newPath(
  name: string,
  options: {
    readonly address: string;
    readonly target: string;
    readonly headers?: readonly string[];
  },
): Path {
  const pool = new Pool(`http://${options.address}`, {
    connections: 64,
    keepAliveTimeout: 60_000,
  });
  return {
    name,
    pool,
    target: options.target,
    headers: options.headers ?? [],
    histogram: newHistogram(),
    failures: new Map(),
  };
}

/** Makes an empty histogram of microseconds. */
export function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

/**
 * Sends calls at random times (Poisson arrivals), on all paths in turn. The
 * time of a call counts from its dispatch, because timers of the load generator
 * are as coarse as the latency that is measured.
 */
export async function drive(
  paths: readonly Path[],
  round: Round,
): Promise<void> {
  paths.forEach((path) => {
    path.histogram = newHistogram();
    path.failures = new Map();
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
  await sleep(LAST_ANSWERS_MS);
}

/** Difference of two histograms at a percentile, in milliseconds. */
export function difference(
  value: Histogram,
  base: Histogram,
  percentile: number,
): number {
  return (value.getValueAtPercentile(percentile) -
    base.getValueAtPercentile(percentile)) / MICROSECONDS_PER_MS;
}

/** Percentiles of a histogram as text. */
export function describe(histogram: Histogram): string {
  return [50, 90, 99, 99.9].map((percentile) => {
    const value = histogram.getValueAtPercentile(percentile);
    return `p${percentile} ${(value / MICROSECONDS_PER_MS).toFixed(3)} ms`;
  }).join(", ");
}

function send(path: Path): void {
  const startedAt = performance.now();
  let failure: string | undefined;
  const countFailure = (kind: string) =>
    path.failures.set(kind, (path.failures.get(kind) ?? 0) + 1);
  path.pool.dispatch({
    path: path.target,
    method: "POST",
    headers: path.headers as string[],
    body: BODY,
  }, {
    onConnect: () => {},
    onHeaders: (status, lines) => {
      if (status !== 200) failure = errorKind(lines) ?? String(status);
      return true;
    },
    onData: () => true,
    onComplete: () => {
      const elapsed = (performance.now() - startedAt) * MICROSECONDS_PER_MS;
      if (failure !== undefined) return countFailure(failure);
      path.histogram.recordValue(Math.round(elapsed));
    },
    onError: (error) => countFailure(error.message),
  });
}

function errorKind(lines: readonly Buffer[]): string | undefined {
  const index = lines.findIndex((line) => line.toString() === ERROR_FIELD);
  return index < 0 ? undefined : lines[index + 1]!.toString();
}
