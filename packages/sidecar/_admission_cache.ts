import type { AdmissionShare } from "@oleanderdeck/hop";
import { shareOf } from "./service_loads.ts";

/**
 * Time for which the shares of a route are kept, in milliseconds. They change
 * four times a second, and a request must not read the reports of all workers.
 */
const VALID_MS = 50;

interface CachedAdmission {
  readonly readAt: number;
  readonly shares: readonly AdmissionShare[] | undefined;
}

/** Request that begins a chain. */
export interface ChainStart {
  readonly service: string;
  readonly route: string;
  readonly priority: number;
}

/** Keeps the shares to admit of each route for a moment. */
export class AdmissionCache {
  readonly #read: (
    service: string,
    route: string,
  ) => readonly AdmissionShare[] | undefined;
  readonly #byService = new Map<string, Map<string, CachedAdmission>>();

  /** @param read Returns the present shares of a service and a route. */
  constructor(
    read: (
      service: string,
      route: string,
    ) => readonly AdmissionShare[] | undefined,
  ) {
    this.#read = read;
  }

  /**
   * Returns the share of the requests to admit, 0 to 1; undefined if the shares
   * are not known.
   *
   * @param now Time of a steady clock, in milliseconds.
   */
  shareOf(
    { service, route, priority }: ChainStart,
    now: number,
  ): number | undefined {
    let byRoute = this.#byService.get(service);
    if (byRoute === undefined) {
      byRoute = new Map();
      this.#byService.set(service, byRoute);
    }
    let cached = byRoute.get(route);
    if (cached === undefined || now - cached.readAt >= VALID_MS) {
      cached = { readAt: now, shares: this.#read(service, route) };
      byRoute.set(route, cached);
    }
    return cached.shares && shareOf(cached.shares, priority);
  }
}
