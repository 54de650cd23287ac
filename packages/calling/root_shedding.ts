/**
 * Greatest share of a priority that is refused. Some requests of each are
 * always let through, so that none is starved.
 */
const GREATEST_SHARE = 0.75;

/** Time without a request after which a priority is left out. */
const FORGET_AFTER_MS = 10_000;

/**
 * Decides which requests are refused where a call chain begins, when a service
 * that the chain reaches is overloaded: the least important ones first.
 */
export class RootShedding {
  readonly #seenAt = new Map<number, number>();

  /** Notes that a request of a priority arrived. */
  note(priority: number): void {
    this.#seenAt.set(priority, performance.now());
  }

  /**
   * Share of the requests of a priority to refuse, 0 to 1.
   *
   * @param priority Priority of the request; 0 is the most important.
   * @param pressure Overload of the services that the request reaches, 0 to 1.
   */
  share(priority: number, pressure: number): number {
    if (pressure === 0) return 0;
    const since = performance.now() - FORGET_AFTER_MS;
    const priorities = [...this.#seenAt.entries()]
      .filter(([, seenAt]) => seenAt >= since)
      .map(([known]) => known)
      .sort((a, b) => b - a);
    const place = Math.max(0, priorities.indexOf(priority));
    const level = pressure * Math.max(1, priorities.length) - place;
    return Math.min(GREATEST_SHARE, Math.max(0, level));
  }
}
