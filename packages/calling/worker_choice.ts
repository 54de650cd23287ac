import type { LoadReport } from "@oleanderdeck/hop";
import type { WorkerChannel } from "./worker_channel.ts";
import { ServicePace } from "./worker_pace.ts";

/**
 * Penalty in the cost of a worker in another data centre, in milliseconds: a
 * fixed part and one for each kilobyte of the request and its answer. It stands
 * for the price of traffic between data centres.
 */
const CROSS_DATA_CENTRE_MS = 4;
const CROSS_DATA_CENTRE_MS_PER_KILOBYTE = 2;

/**
 * Cost of a worker without free slots, as a multiple of its hold time beyond the
 * first. It makes an idle worker preferable to one that is more than three times
 * as fast but full: workers slow down when nearly full, and no slot becomes free
 * in the moments in which they stall.
 */
const FULL_COST = 2.5;

/**
 * Upper bound of the cost of usage beyond the pace of a worker, so that one at its
 * pace takes the calls that others have no slots for.
 */
const MAX_PACE_COST = 2;

/**
 * Time that a call of this node to a worker counts as recent, in milliseconds. A
 * worker that was slow is tried again after it.
 */
const PROBE_INTERVAL_MS = 1_000;

/**
 * Share of the calls that may try a worker again. It bounds what a worker costs
 * that stays slow.
 */
const PROBE_SHARE = 1 / 64;

/**
 * Part of the slots up to which a worker has few enough calls to be tried. Reports
 * may lack changes of up to 0.2 of the slots.
 */
const PROBED_USAGE = 0.25;

/**
 * Time for which a call holds a slot, assumed while no worker of the service has
 * reported it, in milliseconds.
 */
const ASSUMED_HOLD_MS = 50;

/** Upper bound of the failure share in the cost, so that it stays finite. */
const MAX_FAILURE_SHARE = 0.95;

/** Options of {@linkcode chooseChannel}. */
export interface ChannelChoiceOptions {
  /** Data centre of this node. */
  readonly dataCentre: string;
  /** Names of the nodes that the request has already been sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Expected size of the request and its answer, in bytes. */
  readonly bytes: number;
  /**
   * Whether a worker may be chosen whose link is only being opened; false by
   * default.
   */
  readonly mayWaitForLink?: boolean;
  /**
   * Whether the call may try a worker that is avoided, to learn whether it is as
   * slow as it was; false by default.
   */
  readonly mayProbe?: boolean;
  /** Whether a worker with this load report may be chosen; all by default. */
  readonly accepts?: (load: LoadReport) => boolean;
}

/**
 * Chooses the worker with the least expected time to an answer, with a penalty
 * for other data centres. Workers that cannot be reached or that have no slots
 * are skipped; a worker that has just started gets a part of the calls of others.
 *
 * @param channels Channels to the workers of the service.
 * @param options Data centre of this node, size of the call and excluded
 * workers.
 * @returns The channel to the worker; undefined if there is no suitable one.
 */
export function chooseChannel(
  channels: readonly WorkerChannel[],
  options: ChannelChoiceOptions,
): WorkerChannel | undefined {
  const service = new ServicePace(channels);
  const probesBefore = options.mayProbe === true && Math.random() < PROBE_SHARE
    ? performance.now() - PROBE_INTERVAL_MS
    : -Infinity;
  let best: WorkerChannel | undefined;
  let leastCostMs = Infinity;
  for (const channel of channels) {
    if (exclusionOf(channel, options) !== undefined) continue;
    const cost = costMs(channel, { options, service, probesBefore });
    // The random factor keeps nodes that have the same load reports from all
    // choosing the same worker.
    const jitteredCostMs = cost * (1 + 0.05 * Math.random());
    if (jitteredCostMs < leastCostMs) {
      leastCostMs = jitteredCostMs;
      best = channel;
    }
  }
  return best;
}

/** Reason why a worker cannot be chosen. */
export type WorkerExclusion = "already_tried" | "unreachable" | "not_accepted";

/** Worker of a service, as the choice of a worker sees it. */
export interface WorkerCandidate {
  /** Name of the node on the worker's host. */
  readonly node: string;
  readonly dataCentre: string;
  /** Why the worker cannot be chosen; undefined if it can. */
  readonly exclusion: WorkerExclusion | undefined;
  /**
   * Expected time to an answer with the penalty for distance, in milliseconds;
   * infinite if the worker has no slots. The choice varies it by 5%.
   */
  readonly costMs: number;
  /** Last load report of the worker; undefined if there is none. */
  readonly load: LoadReport | undefined;
}

/**
 * Returns the workers of a service with what {@linkcode chooseChannel} would hold
 * against each other now, the best first. Nothing is sent or changed.
 *
 * @param channels Channels to the workers of the service.
 * @param options Data centre of this node, size of the call and excluded
 * workers.
 */
export function describeCandidates(
  channels: readonly WorkerChannel[],
  options: ChannelChoiceOptions,
): readonly WorkerCandidate[] {
  const service = new ServicePace(channels);
  return channels.map((channel) => ({
    node: channel.node,
    dataCentre: channel.dataCentre,
    exclusion: exclusionOf(channel, options),
    costMs: costMs(channel, { options, service, probesBefore: -Infinity }),
    load: channel.load,
  })).sort((one, other) =>
    Number(one.exclusion !== undefined) -
      Number(other.exclusion !== undefined) || one.costMs - other.costMs
  );
}

function exclusionOf(
  channel: WorkerChannel,
  options: ChannelChoiceOptions,
): WorkerExclusion | undefined {
  if (options.excluded.has(channel.node)) return "already_tried";
  const isUsable = channel.isReachable ||
    (options.mayWaitForLink === true && channel.isOpening);
  if (!isUsable) return "unreachable";
  const { load } = channel;
  return load !== undefined && options.accepts?.(load) === false
    ? "not_accepted"
    : undefined;
}

interface CostContext {
  readonly options: ChannelChoiceOptions;
  readonly service: ServicePace;
  /** Time of the last call before which a worker is tried again. */
  readonly probesBefore: number;
}

function costMs(
  channel: WorkerChannel,
  { options, service, probesBefore }: CostContext,
): number {
  const { load } = channel;
  const isNear = channel.dataCentre === options.dataCentre;
  const crossingMs = isNear ? 0 : CROSS_DATA_CENTRE_MS +
    CROSS_DATA_CENTRE_MS_PER_KILOBYTE * options.bytes / 1024;
  return channel.roundTripMs + crossingMs +
    (isNear && isTrialDue(channel, load, service, probesBefore)
      ? 0
      : expectedTimeMs(channel, load, service));
}

// Only calls show how fast a worker is by now. One that has joined gets a call of
// each node, and one that was avoided is tried from time to time.
function isTrialDue(
  { isUnused, lastCallAt }: WorkerChannel,
  load: LoadReport | undefined,
  service: ServicePace,
  probesBefore: number,
): boolean {
  if (!isUnused && lastCallAt >= probesBefore) return false;
  if (load === undefined) return isUnused;
  const usableSlots = load.slots * service.relativePace(load);
  return load.running + load.waiting <
    (isUnused ? usableSlots : usableSlots * PROBED_USAGE);
}

function expectedTimeMs(
  { unfinishedCalls }: WorkerChannel,
  load: LoadReport | undefined,
  service: ServicePace,
): number {
  // A worker without a load report is assumed to be idle.
  if (load === undefined) {
    return (service.meanHoldMs ?? ASSUMED_HOLD_MS) * (1 + unfinishedCalls);
  }
  if (load.slots === 0) return Infinity;
  const reportedCalls = load.running + load.waiting;
  const calls = 1 +
    (service.isSmall
      ? Math.max(reportedCalls, unfinishedCalls)
      : service.expectedCalls(load, unfinishedCalls));
  const pace = service.relativePace(load);
  const usage = calls / load.slots;
  const usageCost = service.isSmall
    ? costOfUsageInSmallService(usage)
    : costOfUsage(usage);
  const paceCost = pace < 1
    ? Math.min(MAX_PACE_COST, costOfUsage(calls / (load.slots * pace)))
    : 0;
  const successShare = 1 - Math.min(load.failureShare, MAX_FAILURE_SHARE);
  return service.holdMs(load) * (1 + usageCost + paceCost) / successShare;
}

// With few workers the others have hardly any slots for what one is spared.
function costOfUsageInSmallService(usage: number): number {
  const square = usage * usage;
  return usage < 1 ? square * square * square : usage;
}

function costOfUsage(usage: number): number {
  const square = usage * usage;
  return usage < 1
    ? FULL_COST * square * square * square
    : FULL_COST - 1 + usage;
}
