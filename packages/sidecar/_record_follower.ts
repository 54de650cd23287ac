import {
  eraOf,
  type PlatformStore,
  type RecordChange,
  type RecordListing,
  type StoredDeparture,
  type StorePosition,
  type WorkerDirectory,
} from "@oleanderdeck/directory";
import type { EventLog } from "@oleanderdeck/observability";
import { backoffMs, MAX_GAP_BACKOFF_MS } from "./_backoff.ts";
import { sleep } from "./_sleep.ts";
import { departuresToRemove } from "./departure_cleanup.ts";
import type { StoreAvailability } from "./store_availability.ts";

/** Longest duration of one watch call to the store, in milliseconds. */
const WATCH_WAIT_MS = 10_000;

/**
 * Pause after changes of records, so that the next watch returns further ones
 * in one batch, in milliseconds.
 */
const CHANGE_BATCH_MS = 500;

/**
 * Time since the last successful read of the records up to which they count as
 * those of the store, in milliseconds.
 */
const MAX_RECORDS_AGE_MS = WATCH_WAIT_MS + 2_000;

/** Greatest age of the data in a response of the store, in milliseconds. */
const MAX_STALENESS_MS = 3_000;

/**
 * Time within which a node that can reach the store discovers a new worker, in
 * milliseconds.
 */
export const PROPAGATION_MS = MAX_RECORDS_AGE_MS + MAX_STALENESS_MS;

/**
 * Time after a rise of the store's era for which records that the store lost stay
 * in use, in milliseconds. A node whose watch was not interrupted learns of the
 * rise at the end of the watch only, and then writes its record again.
 */
export const LOST_RECORDS_KEPT_MS = PROPAGATION_MS;

/**
 * Time after a rise of the store's era for which records of workers that had left
 * before are not used, in milliseconds. By then the nodes beside them have written
 * the departures again, or refuse calls for workers that they do not hear.
 */
export const WITHHELD_MS = 30_000;

/** Options of {@linkcode RecordFollower}. */
export interface RecordFollowerOptions {
  readonly store: PlatformStore;
  readonly directory: WorkerDirectory;
  readonly availability: StoreAvailability;
  readonly log: EventLog;
  /** Name of this node's own record. */
  readonly node: string;
  /** Called with each departure that the store holds, newer ones later. */
  readonly onDeparture: (stored: StoredDeparture) => void;
  /** Called after each successful read of the records. */
  readonly onRead: () => void;
}

/**
 * Keeps the directory up to date with the records in the platform's store. When
 * the store has come back from an older copy, they are listed again.
 */
export class RecordFollower {
  readonly #options: RecordFollowerOptions;
  #isClosed = false;
  #readAt = -Infinity;
  /** Era of the last listing. */
  #listedEra: number | undefined;
  /** Time of the first listing after a rise; undefined if it has no effect now. */
  #roseAt: number | undefined;
  #waiting: (() => void)[] = [];

  /** @param options Store, and the directory to update. */
  constructor(options: RecordFollowerOptions) {
    this.#options = options;
  }

  /**
   * Whether the records of the directory were read from the store recently enough
   * to be up to date.
   */
  get hasFreshRecords(): boolean {
    return performance.now() - this.#readAt < MAX_RECORDS_AGE_MS;
  }

  /** Whether the records of the store were listed since the start. */
  get hasListed(): boolean {
    return this.#listedEra !== undefined;
  }

  /** Resolves when the records of the current era were listed, or at the end. */
  async untilListed(): Promise<void> {
    const { era } = this.#options.store;
    while (!this.#isClosed && this.#listedEra !== era.current) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
  }

  /** Follows the records until the end. */
  async follow(): Promise<void> {
    const { availability, onRead, store } = this.#options;
    let position: StorePosition | undefined;
    let failures = 0;
    let gaps = 0;
    while (!this.#isClosed) {
      try {
        if (position === undefined || eraOf(position) !== store.era.current) {
          position = await this.#list();
        } else {
          position = await this.#watch(position);
          if (position === undefined) {
            await sleep(backoffMs(gaps++, MAX_GAP_BACKOFF_MS));
          } else gaps = 0;
        }
        failures = 0;
        this.#readAt = performance.now();
        if (position !== undefined) this.#settle(position);
        onRead();
      } catch (error) {
        availability.recordFailure("records", error);
        await sleep(backoffMs(failures++));
      }
    }
  }

  /** Ends after the current call to the store. */
  close(): void {
    this.#isClosed = true;
    this.#wakeWaiting();
  }

  async #list(): Promise<StorePosition> {
    const { directory, onDeparture, store } = this.#options;
    const isFirst = this.#listedEra === undefined;
    // After a rise, data from before it may be the outdated ones.
    const mayBeOutdated = isFirst || this.#listedEra === store.era.current;
    const listing = await store.listRecords({ mayBeOutdated });
    const era = eraOf(listing);
    // At a start, peers may have sent records from before the rise.
    const hasRisen = isFirst
      ? directory.records.some((stored) => eraOf(stored) < era)
      : era !== this.#listedEra;
    if (hasRisen) this.#roseAt = performance.now();
    const { departures, records, revision } = listing;
    const keepsEarlierEras = this.#sinceRiseMs < LOST_RECORDS_KEPT_MS;
    directory.replaceAll(records, revision, {
      departures,
      era,
      keepsEarlierEras,
    });
    departures.forEach((stored) => onDeparture(stored));
    this.#listedEra = era;
    this.#wakeWaiting();
    if (isFirst) await this.#removeOldDepartures(listing);
    return { revision, era };
  }

  // Returns undefined if the store no longer has the history.
  async #watch(from: StorePosition): Promise<StorePosition | undefined> {
    const { store } = this.#options;
    const watched = await store.watchRecords(from.revision, this.#watchWaitMs);
    if (watched.isHistoryGone) return undefined;
    const { changes, era, revision } = watched;
    changes.forEach((change) => this.#apply(change));
    // Changes come in bursts, and each response costs one call to the store per
    // node.
    if (changes.length > 0) await sleep(CHANGE_BATCH_MS);
    return { revision, era };
  }

  #apply(change: RecordChange): void {
    const { directory, onDeparture } = this.#options;
    const { departure, era, node, record, revision } = change;
    if (record !== undefined) directory.put({ record, revision, era });
    else if (departure === undefined) directory.remove(node, revision, era);
    else {
      const stored = { node, departure, revision, era };
      directory.putDeparture(stored);
      onDeparture(stored);
    }
  }

  async #removeOldDepartures({ departures }: RecordListing): Promise<void> {
    const { log, node, store } = this.#options;
    const now = Date.now();
    const old = departuresToRemove(departures, {
      node,
      now,
      random: Math.random,
    });
    for (const stored of old) {
      await store.deleteRecord(stored.node, stored.revision);
      log.write("info", "departure_removed", { peer: stored.node });
    }
  }

  get #sinceRiseMs(): number {
    return this.#roseAt === undefined
      ? Infinity
      : performance.now() - this.#roseAt;
  }

  // A watch ends when one of the times after a rise is over.
  get #watchWaitMs(): number {
    const since = this.#sinceRiseMs;
    const next = [LOST_RECORDS_KEPT_MS, WITHHELD_MS].find((time) =>
      time > since
    );
    return next === undefined
      ? WATCH_WAIT_MS
      : Math.min(WATCH_WAIT_MS, Math.ceil(next - since));
  }

  // Called after a read, so that what nodes wrote in the time is known.
  #settle({ revision }: StorePosition): void {
    const { directory } = this.#options;
    const since = this.#sinceRiseMs;
    if (this.#roseAt === undefined || since < LOST_RECORDS_KEPT_MS) return;
    directory.removeEarlierEras(revision);
    if (since < WITHHELD_MS) return;
    directory.releaseWithheld();
    this.#roseAt = undefined;
  }

  #wakeWaiting(): void {
    this.#waiting.splice(0).forEach((resume) => resume());
  }
}
