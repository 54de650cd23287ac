import type { Either } from "purify-ts";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { DeckError } from "@oleanderdeck/errors";
import { isLive, type MemberView } from "@oleanderdeck/membership";
import type { EventLog } from "@oleanderdeck/observability";
import type { Clock } from "@oleanderdeck/settings";
import type { Store, StoreListing } from "@oleanderdeck/store";
import type { ConfigurationReplica } from "./configuration_replica.ts";
import { randomFraction } from "./random_choice.ts";
import { isStoreReader } from "./store_reader_selection.ts";
import type { StoreContact } from "./store_contact.ts";
import { decodeStoredDocument, isDocumentName } from "./stored_document.ts";
import { untilAborted } from "./notifier.ts";

/** Options of {@linkcode StoreReader}. */
export interface StoreReaderOptions {
  readonly store: Store;
  readonly replica: ConfigurationReplica;
  readonly members: MemberView;
  readonly contact: StoreContact;
  readonly clock: Clock;
  /** Source of the jitter and of the choice to read without a turn. */
  readonly random: RandomGenerator;
  readonly log?: EventLog;
}

/**
 * Mean time that a watch waits, in milliseconds. A waiting watch does not show that
 * the store works, so it is shorter than {@linkcode STALE_CONTACT_MS}.
 */
export const WATCH_WAIT_MS = 2_000;

/** Time between two decisions whether to read, in milliseconds. */
export const READER_INTERVAL_MS = 500;

/** Age of the latest known contact after which any node may read the store. */
export const STALE_CONTACT_MS = 5_000;

/**
 * Reads per second over the whole fleet by nodes whose turn it is not, while no
 * contact with the store is known. A node reads with this number divided by the
 * number of live members, so the rate does not grow with the fleet.
 */
export const FALLBACK_READS_PER_SECOND = 8;

const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4_000;

/**
 * Keeps the replica up to date from the store when it is this node's turn, and
 * with a small probability when no node is known to have contact.
 */
export class StoreReader {
  readonly #options: StoreReaderOptions;
  /** Revision up to which all documents were read; undefined before a list. */
  #revision: number | undefined;
  #failures = 0;

  /** @param options What is read, by whom, and what takes the documents. */
  constructor(options: StoreReaderOptions) {
    this.#options = options;
  }

  /** Whether it is this node's turn to watch the store. */
  isSelected(): boolean {
    const { members } = this.#options;
    return isStoreReader(members.self(), members.members());
  }

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      if (this.isSelected()) {
        if (
          await untilAborted(this.read(this.#watchWaitMs()), signal) === false
        ) {
          await clock.sleep(this.#backoffMs(), signal);
        }
        continue;
      }
      if (this.#isFallbackDue()) await untilAborted(this.read(0), signal);
      await clock.sleep(READER_INTERVAL_MS, signal);
    }
  }

  /**
   * Reads all documents, or those that changed since the last read.
   *
   * @param waitMs Time to wait for a change, in milliseconds.
   * @returns Whether the store answered.
   */
  async read(waitMs: number): Promise<boolean> {
    const { store, contact, log } = this.#options;
    const response: Either<DeckError, StoreListing> =
      this.#revision === undefined
        ? await store.list("")
        : await store.watch("", { afterRevision: this.#revision, waitMs });
    return response.caseOf({
      Right: (listing) => {
        if (this.#failures > 0) log?.write("info", "store_reached");
        this.#failures = 0;
        contact.record();
        this.#applyListing(listing);
        return true;
      },
      Left: (error) => {
        if (this.#failures === 0) {
          log?.write("warn", "store_not_reached", { error: error.message });
        }
        this.#failures++;
        // Everything is listed again, because a store that failed may have been
        // replaced by one with another history.
        this.#revision = undefined;
        return false;
      },
    });
  }

  #applyListing(listing: StoreListing): void {
    const { replica, log } = this.#options;
    const copies = listing.objects
      .filter(({ name }) => isDocumentName(name))
      .map((object) => {
        const document = decodeStoredDocument(object);
        if (document === undefined) {
          log?.write("error", "stored_object_malformed", {
            name: object.name,
            version: object.version,
          });
        }
        return document?.copy;
      })
      .filter((copy) => copy !== undefined);
    this.#revision = listing.revision;
    replica.acceptAll(copies);
    replica.markComplete(listing.revision);
  }

  #isFallbackDue(): boolean {
    const { contact, members, random } = this.#options;
    if (contact.ageMs() < STALE_CONTACT_MS) return false;
    const live = members.members().filter(isLive).length;
    const perSecond = FALLBACK_READS_PER_SECOND / Math.max(live, 1);
    return randomFraction(random) < perSecond * (READER_INTERVAL_MS / 1_000);
  }

  /**
   * Half to one and a half of the mean time. A change ends the watches of all
   * readers at once, and without jitter they would stay in step from then on, so
   * that the latest known contact is older than needed.
   */
  #watchWaitMs(): number {
    return WATCH_WAIT_MS * (0.5 + randomFraction(this.#options.random));
  }

  /** Exponential backoff, half of it jitter. */
  #backoffMs(): number {
    const bound = Math.min(
      INITIAL_BACKOFF_MS * 2 ** (this.#failures - 1),
      MAX_BACKOFF_MS,
    );
    return bound * (1 + randomFraction(this.#options.random)) / 2;
  }
}
