import type { StoredDeparture } from "@oleanderdeck/directory";

/**
 * Time for which the store keeps a departure, in milliseconds. Heartbeats are
 * seconds late at most, and clocks of hosts differ by seconds.
 */
const KEPT_MS = 3_600_000;

/**
 * Departures that a process removes at its start, at most. Hosts that are gone
 * leave one each, and fewer are gone than processes start.
 */
const MAX_REMOVALS = 4;

/** Circumstances in which departures are removed. */
export interface DepartureCleanupOptions {
  /** Name of this node, which replaces its own departure. */
  readonly node: string;
  /** Wall-clock time in milliseconds since 1970. */
  readonly now: number;
  /** Returns the next random number, 0 to 1. */
  readonly random: () => number;
}

/**
 * Chooses departures that a process removes from the store at its start, so that
 * hosts which are gone for good leave nothing behind. Processes that start
 * together choose different ones.
 *
 * @param departures Departures that the store holds.
 * @param options Node and time.
 */
export function departuresToRemove(
  departures: readonly StoredDeparture[],
  { node, now, random }: DepartureCleanupOptions,
): readonly StoredDeparture[] {
  return departures
    .filter((stored) =>
      stored.node !== node && stored.departure.leftAt < now - KEPT_MS
    )
    .map((stored) => ({ stored, order: random() }))
    .sort((one, other) => one.order - other.order)
    .slice(0, MAX_REMOVALS)
    .map(({ stored }) => stored);
}
