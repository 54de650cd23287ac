import type { WorkerChannel } from "./worker_channel.ts";

/**
 * Wait that is accepted in the own data centre before a call goes to another
 * one, in milliseconds; it stands for the price of bytes between data centres.
 */
const OWN_DATA_CENTRE_BONUS_MS = 30;

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
  const usualHoldMs = meanHoldMs(channels);
  let best: WorkerChannel | undefined;
  let least = Infinity;
  for (const channel of channels) {
    if (options.excluded.has(channel.node) || !channel.isReachable) continue;
    const cost = expectedCostMs(channel, {
      dataCentre: options.dataCentre,
      usualHoldMs,
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
  readonly dataCentre: string;
  readonly usualHoldMs: number;
}

function expectedCostMs(
  channel: WorkerChannel,
  { dataCentre, usualHoldMs }: CostOptions,
): number {
  const distance = channel.dataCentre === dataCentre
    ? 0
    : OWN_DATA_CENTRE_BONUS_MS;
  const { load } = channel;
  if (load === undefined) {
    // A worker that has not been tried yet is taken for an idle one.
    return usualHoldMs * (1 + channel.unfinished) / 2 + distance;
  }
  if (load.slots === 0) return Infinity;
  const busy = Math.max(load.running + load.waiting, channel.unfinished) + 1;
  const usage = busy / load.slots;
  const wait = Math.max(0, usage - 1) * load.holdMs;
  const success = 1 - Math.min(load.failureShare, GREATEST_FAILURE_SHARE);
  return (load.holdMs * (1 + usage * usage) / 2 + wait) / success + distance;
}
