import {
  type ConfigurationHolder,
  eraOf,
  type PlatformStore,
  WATCH_MARGIN_MS,
} from "@oleanderdeck/directory";
import { backoffMs, MAX_GAP_BACKOFF_MS } from "./_backoff.ts";
import { sleep } from "./_sleep.ts";
import type { ConfigurationFreshness } from "./configuration_freshness.ts";
import type { StoreAvailability } from "./store_availability.ts";

/** Longest duration of a watch that may be outdated, in milliseconds. */
const OUTDATED_WATCH_WAIT_MS = 20_000;

/**
 * Greatest delay after a failed call of a node that was not elected, in
 * milliseconds. Elected nodes announce earlier that the store is back.
 */
const MAX_UNELECTED_BACKOFF_MS = 2_000;

/** Options of {@linkcode ConfigurationSync}. */
export interface ConfigurationSyncOptions {
  readonly store: PlatformStore;
  readonly configuration: ConfigurationHolder;
  readonly availability: StoreAvailability;
  /** Whether this node has to watch the store; see `ConfigurationWatchers`. */
  readonly mustWatch: () => boolean;
  /** Whether this node was elected to watch the store. */
  readonly isElected: () => boolean;
  /** Longest duration of a watch of the latest data, in milliseconds. */
  readonly watchWaitMs: number;
  /** Is told of each read of the latest data; absent if keys are not revoked. */
  readonly freshness?:
    | Pick<ConfigurationFreshness, "isReadDue" | "now" | "recordRead">
    | undefined;
}

/**
 * Follows the operator's configuration in the platform's store. Each node reads
 * it with data that may be seconds old, which costs the store little; a node
 * that has to watch also reads the latest data.
 */
export class ConfigurationSync {
  readonly #options: ConfigurationSyncOptions;
  #confirmedAt = -Infinity;
  #wake: (() => void) | undefined;
  #isClosed = false;

  /** @param options Store, configuration to update and role of this node. */
  constructor(options: ConfigurationSyncOptions) {
    this.#options = options;
  }

  /** Whether this node watches the store and has the latest configuration. */
  get isFollowing(): boolean {
    return performance.now() - this.#confirmedAt <
      this.#options.watchWaitMs + WATCH_MARGIN_MS;
  }

  /** Starts to follow the configuration. */
  start(): void {
    void this.#follow({ mayBeOutdated: true });
    void this.#followLatest();
  }

  /** Starts to watch if the node now has to; called several times a second. */
  update(): void {
    if (this.#options.mustWatch()) this.#wake?.();
  }

  /** Ends after the current calls to the store. */
  close(): void {
    this.#isClosed = true;
    this.#confirmedAt = -Infinity;
    this.#wake?.();
  }

  async #followLatest(): Promise<void> {
    while (!this.#isClosed) {
      if (this.#options.mustWatch()) {
        await this.#follow({ mayBeOutdated: false });
      } else {
        this.#confirmedAt = -Infinity;
        await new Promise<void>((resolve) => this.#wake = resolve);
      }
    }
  }

  // Reads the configuration and watches it; without outdated data only as long
  // as this node has to.
  async #follow(
    { mayBeOutdated }: { readonly mayBeOutdated: boolean },
  ): Promise<void> {
    const { store, configuration, availability, mustWatch } = this.#options;
    const { watchWaitMs, freshness } = this.#options;
    const waitMs = mayBeOutdated ? OUTDATED_WATCH_WAIT_MS : watchWaitMs;
    let revision = 0;
    let storedVersion = 0;
    let era = store.era.current;
    let failures = 0;
    let gaps = 0;
    while (!this.#isClosed && (mayBeOutdated || mustWatch())) {
      try {
        // A revision of an earlier era may have been given out again.
        if (era !== store.era.current) revision = 0;
        const sentAt = mayBeOutdated ? undefined : freshness?.now();
        const mustRead = revision === 0 ||
          !mayBeOutdated && freshness?.isReadDue === true;
        const stored = mustRead
          ? await store.readConfiguration({ mayBeOutdated })
          : await store.watchConfiguration(revision, { waitMs, mayBeOutdated });
        failures = 0;
        availability.recordContact();
        if (!mayBeOutdated && stored !== undefined) {
          this.#confirmedAt = performance.now();
        }
        if (stored === undefined) {
          revision = 0;
          await sleep(
            mayBeOutdated
              ? backoffMs(gaps++, MAX_GAP_BACKOFF_MS)
              : backoffMs(gaps++),
          );
          continue;
        }
        if (revision !== 0) gaps = 0;
        revision = stored.revision;
        era = eraOf(stored);
        if (stored.configuration !== undefined) {
          storedVersion = stored.configuration.version;
          configuration.put(
            stored.configuration,
            mayBeOutdated ? "outdated_store" : "store",
          );
        }
        if (sentAt !== undefined) freshness?.recordRead(storedVersion, sentAt);
      } catch (error) {
        availability.recordFailure("configuration", error);
        if (!mayBeOutdated) this.#confirmedAt = -Infinity;
        await sleep(this.#backoffMs(failures++));
      }
    }
  }

  #backoffMs(failures: number): number {
    return this.#options.isElected()
      ? backoffMs(failures)
      : backoffMs(failures, MAX_UNELECTED_BACKOFF_MS);
  }
}
