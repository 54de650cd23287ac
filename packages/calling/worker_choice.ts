import type { LoadReport } from "@oleanderdeck/hop";
import type { WorkerChannel } from "./worker_channel.ts";

/**
 * Expected time that a call may lose in the own data centre before it goes to
 * another one, for the price of bytes between data centres.
 */
const CROSSING_MS = 4;
const CROSSING_MS_PER_KILOBYTE = 2;

/** Makes the cost of a worker rise steeply when it is nearly full. */
const USAGE_EXPONENT = 6;

/** Hold time that is assumed while no worker of a service has reported any. */
const UNKNOWN_HOLD_MS = 50;

/** Greatest share of failures that still lets a worker be tried. */
const GREATEST_FAILURE_SHARE = 0.95;

/** Options of {@linkcode chooseChannel}. */
export interface ChannelChoiceOptions {
  /** Data centre of this node. */
  readonly dataCentre: string;
  /** Nodes that have already refused or failed the call. */
  readonly excluded: ReadonlySet<string>;
  /** Expected size of the request and its answer. */
  readonly bytes: number;
  /** Whether a worker with a load may be chosen; any by default. */
  readonly accepts?: (load: LoadReport) => boolean;
}

/**
 * Chooses the worker with the least expected time, with a bonus for the own
 * data centre. Workers that cannot be reached or take no calls are left out.
 *
 * @param channels Ways to the workers of the service.
 * @param options Own data centre and workers to leave out.
 */
export function chooseChannel(
  channels: readonly WorkerChannel[],
  options: ChannelChoiceOptions,
): WorkerChannel | undefined {
  let best: WorkerChannel | undefined;
  let least = Infinity;
  for (const channel of channels) {
    if (options.excluded.has(channel.node) || !channel.isReachable) continue;
    const { load } = channel;
    if (load !== undefined && options.accepts?.(load) === false) continue;
    const cost = expectedCostMs(channel, {
      crossingMs: channel.dataCentre === options.dataCentre
        ? 0
        : CROSSING_MS + CROSSING_MS_PER_KILOBYTE * options.bytes / 1024,
      usualHoldMs: channel.load === undefined ? meanHoldMs(channels) : 0,
    });
    // Nodes with equal figures must not all choose the same worker.
    const jittered = cost * (1 + 0.05 * Math.random());
    if (jittered < least) {
      least = jittered;
      best = channel;
    }
  }
  return best;
}

function meanHoldMs(channels: readonly WorkerChannel[]): number {
  const reported = channels.flatMap(({ load }) =>
    load === undefined || load.slots === 0 ? [] : [load.holdMs]
  );
  return reported.length === 0
    ? UNKNOWN_HOLD_MS
    : reported.reduce((sum, value) => sum + value, 0) / reported.length;
}

interface CostOptions {
  readonly crossingMs: number;
  /** Mean hold time of the service, for a worker without a report. */
  readonly usualHoldMs: number;
}

function expectedCostMs(
  { load, roundTripMs, unfinished }: WorkerChannel,
  { crossingMs, usualHoldMs }: CostOptions,
): number {
  const distanceMs = roundTripMs + crossingMs;
  // A worker that has not been tried yet is taken for an idle one.
  if (load === undefined) return usualHoldMs * (1 + unfinished) + distanceMs;
  if (load.slots === 0) return Infinity;
  const busy = Math.max(load.running + load.waiting, unfinished) + 1;
  const usage = busy / load.slots;
  const waits = usage < 1 ? usage ** USAGE_EXPONENT : usage;
  const success = 1 - Math.min(load.failureShare, GREATEST_FAILURE_SHARE);
  return load.holdMs * (1 + waits) / success + distanceMs;
}
