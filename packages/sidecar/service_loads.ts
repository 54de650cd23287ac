import type { AdmissionShare, LoadReport } from "@oleanderdeck/hop";
import { isNestedRank, priorityOfRank } from "@oleanderdeck/serving";

/**
 * Returns the pressure (overload) that calls of a route to a service reach, 0 to
 * 1. It is the least that a quarter of the slots has at most: a service has
 * capacity left while a quarter of it does, and in a large one neither an idle
 * nor an overloaded worker decides alone.
 *
 * @param loads Reports of the workers of the service that accept calls.
 * @param route Route of the calls.
 */
export function pressureOfLoads(
  loads: readonly LoadReport[],
  route: string,
): number {
  if (loads.every((load) => pressureFor(load, route) === 0)) return 0;
  const quarter = sumOf(loads, ({ slots }) => slots) / 4;
  const byPressure = loads.map((load) => ({
    pressure: pressureFor(load, route),
    slots: load.slots,
  })).sort((a, b) => a.pressure - b.pressure);
  let slotsUpTo = 0;
  const found = byPressure.find(({ slots }) => (slotsUpTo += slots) >= quarter);
  return found?.pressure ?? 0;
}

/** Weight of a slot, in addition to that of a slot in use. */
const FREE_SLOT_WEIGHT = 0.5;

/**
 * Returns the shares below 1 of the requests of each priority that workers of a
 * service admit together: the mean, by the slots in use, of what each of them and
 * the services that it calls admit.
 *
 * @param loads Reports of the workers of the service that accept calls.
 * @param route Route of the calls to the service.
 * @param isNested Whether the calls are made within chains; else they begin them.
 * @returns The shares; undefined if the service is overloaded and all its
 * workers' nodes are of earlier releases, which report the pressure only.
 */
export function admissionOfLoads(
  loads: readonly LoadReport[],
  route: string,
  isNested: boolean,
): readonly AdmissionShare[] | undefined {
  if (loads.every((load) => load.admission === undefined)) {
    return loads.every((load) => pressureFor(load, route) === 0)
      ? []
      : undefined;
  }
  const total = sumOf(loads, weightOf);
  const byLoad = loads.map((load) => ({
    weight: weightOf(load) / total,
    shares: sharesOf(load, route, isNested),
  }));
  const priorities = new Set(
    byLoad.flatMap(({ shares }) => [...shares.keys()]),
  );
  return [...priorities].map((priority) => {
    const share = byLoad.reduce(
      (sum, { shares, weight }) => sum + weight * (shares.get(priority) ?? 1),
      0,
    );
    return [priority, Math.round(share * 1_000) / 1_000] as const;
  });
}

// The free slots of a worker that callers avoid are no capacity that they use.
function weightOf({ running, slots }: LoadReport): number {
  return running + FREE_SLOT_WEIGHT * slots;
}

/** Returns the share of a priority, 1 if it is not named. */
export function shareOf(
  shares: readonly AdmissionShare[],
  priority: number,
): number {
  return shares.find(([named]) => named === priority)?.[1] ?? 1;
}

function sharesOf(
  { admission = [], routeAdmission = [] }: LoadReport,
  route: string,
  isNested: boolean,
): ReadonlyMap<number, number> {
  const shares = new Map(
    admission.filter(([rank]) => isNestedRank(rank) === isNested)
      .map(([rank, share]) => [priorityOfRank(rank), share]),
  );
  const ofRoute = routeAdmission.find(([name]) => name === route)?.[1] ?? [];
  ofRoute.forEach(([priority, share]) =>
    shares.set(priority, Math.min(share, shares.get(priority) ?? 1))
  );
  return shares;
}

/** Returns the sum of a value of load reports. */
export function sumOf(
  loads: readonly LoadReport[],
  value: (load: LoadReport) => number,
): number {
  return loads.reduce((sum, load) => sum + value(load), 0);
}

function pressureFor(load: LoadReport, route: string): number {
  const found = load.routePressures.find(([name]) => name === route);
  return found === undefined ? load.pressure : found[1];
}
