// Open-loop load generator of the hop benchmark and its latency histograms.
import { setTimeout as sleep } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Pool } from "undici";
import { ERROR_FIELD } from "@oleanderdeck/protocol";

/** Body of requests and responses. */
export const BODY = Buffer.alloc(200, 0x6f);

const MICROSECONDS_PER_MS = 1000;

/** Time to wait for the last responses of a round, in milliseconds. */
const LAST_RESPONSES_WAIT_MS = 200;

/** Route of calls to the backend server, with its latencies in microseconds. */
export interface BenchPath {
  readonly name: string;
  readonly pool: Pool;
  /** Request target of the calls. */
  readonly target: string;
  /** Raw headers, which alternate names and values. */
  readonly headers: readonly string[];
  histogram: Histogram;
  /** Number of failed calls by error kind, or by status without a kind. */
  failures: Map<string, number>;
}

/** Load of one round. */
export interface LoadRound {
  /** Calls per second on each path. */
  readonly rate: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Creates a path with its own connection pool. */
export function newPath(
  name: string,
  options: {
    readonly address: string;
    readonly target: string;
    readonly headers?: readonly string[];
  },
): BenchPath {
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

/** Creates an empty histogram of microseconds. */
export function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

/**
 * Sends calls with Poisson arrivals, on all paths in turn. The latency of a call
 * is measured from its dispatch rather than from its due time, because the
 * timers of the load generator are as coarse as the latencies.
 */
export async function runLoadRound(
  paths: readonly BenchPath[],
  round: LoadRound,
): Promise<void> {
  paths.forEach((path) => {
    path.histogram = newHistogram();
    path.failures = new Map();
  });
  const generator = xoroshiro128plus(round.seed);
  const meanGapMs = 1000 / (round.rate * paths.length);
  const endMs = performance.now() + round.seconds * 1000;
  let nextDispatchMs = performance.now();
  let callNumber = 0;
  while (nextDispatchMs < endMs) {
    nextDispatchMs += -Math.log(1 - uniformFloat64(generator)) * meanGapMs;
    const waitMs = nextDispatchMs - performance.now();
    if (waitMs > 0.5) await sleep(waitMs);
    send(paths[callNumber++ % paths.length]!);
  }
  await sleep(LAST_RESPONSES_WAIT_MS);
}

/** Returns the difference of two histograms at a percentile, in milliseconds. */
export function percentileDifferenceMs(
  value: Histogram,
  base: Histogram,
  percentile: number,
): number {
  return (value.getValueAtPercentile(percentile) -
    base.getValueAtPercentile(percentile)) / MICROSECONDS_PER_MS;
}

/** Formats percentiles of a histogram in milliseconds. */
export function formatPercentiles(histogram: Histogram): string {
  return [50, 90, 99, 99.9].map((percentile) => {
    const value = histogram.getValueAtPercentile(percentile);
    return `p${percentile} ${(value / MICROSECONDS_PER_MS).toFixed(3)} ms`;
  }).join(", ");
}

function send(path: BenchPath): void {
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
    onHeaders: (status, headers) => {
      if (status !== 200) failure = errorKind(headers) ?? String(status);
      return true;
    },
    onData: () => true,
    onComplete: () => {
      const elapsedMicroseconds = (performance.now() - startedAt) *
        MICROSECONDS_PER_MS;
      if (failure !== undefined) return countFailure(failure);
      path.histogram.recordValue(Math.round(elapsedMicroseconds));
    },
    onError: (error) => countFailure(error.message),
  });
}

/** Returns the error kind in raw headers, which alternate names and values. */
function errorKind(headers: readonly Buffer[]): string | undefined {
  const index = headers.findIndex((part) => part.toString() === ERROR_FIELD);
  return index < 0 ? undefined : headers[index + 1]!.toString();
}
