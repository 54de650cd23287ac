import type { ClientLimit } from "@oleanderdeck/calling";
import type { EventLog, MetricsRegistry } from "@oleanderdeck/observability";

/** Shortest time between two events of the same limit, in milliseconds. */
const MIN_INTERVAL_MS = 1_000;

/** Options of {@linkcode ClientLimitLog}. */
export interface ClientLimitLogOptions {
  readonly log: EventLog;
  readonly metrics: MetricsRegistry;
  /** Returns monotonic time in milliseconds; `performance.now` if absent. */
  readonly now?: () => number;
}

/**
 * Counts how often limits of clients are reached, and logs the first time and the
 * sum of each second, so that clients cannot fill the log.
 */
export class ClientLimitLog {
  readonly #options: ClientLimitLogOptions;
  readonly #now: () => number;
  readonly #unlogged = new Map<ClientLimit, number>();
  readonly #loggedAt = new Map<ClientLimit, number>();

  /** @param options Log, counters and clock. */
  constructor(options: ClientLimitLogOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Records that a limit was reached. */
  record(limit: ClientLimit): void {
    const { log, metrics } = this.#options;
    metrics.count("client_limits", { limit });
    const times = (this.#unlogged.get(limit) ?? 0) + 1;
    const now = this.#now();
    const isDue = now - (this.#loggedAt.get(limit) ?? -Infinity) >=
      MIN_INTERVAL_MS;
    this.#unlogged.set(limit, isDue ? 0 : times);
    if (!isDue) return;
    this.#loggedAt.set(limit, now);
    log.write("warn", "client_limit_reached", { limit, times });
  }
}
