/**
 * Maximum share of the requests of a priority that is refused. Some requests of
 * each priority are always admitted, so that none is starved.
 */
export const MAX_REFUSAL_SHARE = 0.75;

/**
 * Time without a request after which a priority is ignored, in milliseconds.
 */
const PRIORITY_EXPIRY_MS = 10_000;

/**
 * Decides how many requests are refused at the start of a call chain when a
 * service that the chain reaches is overloaded. Requests of the least important
 * priority are refused first.
 */
export class RootShedding {
  readonly #lastArrivalAt = new Map<number, number>();

  /** Records that a request of a priority arrived. */
  recordArrival(priority: number): void {
    this.#lastArrivalAt.set(priority, performance.now());
  }

  /**
   * Returns the share of the requests of a priority to refuse, 0 to 1.
   *
   * @param priority Priority of the request; 0 is the most important.
   * @param pressure Overload of the services that the request reaches, 0 to 1.
   */
  refusalShare(priority: number, pressure: number): number {
    if (pressure === 0) return 0;
    const since = performance.now() - PRIORITY_EXPIRY_MS;
    const priorities = [...this.#lastArrivalAt.entries()]
      .filter(([, seenAt]) => seenAt >= since)
      .map(([recentPriority]) => recentPriority)
      .sort((a, b) => b - a);
    const position = Math.max(0, priorities.indexOf(priority));
    const excess = pressure * Math.max(1, priorities.length) - position;
    return Math.min(MAX_REFUSAL_SHARE, Math.max(0, excess));
  }
}
