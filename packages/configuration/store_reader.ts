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
  /** Random numbers for the jitter and the decision to read as a fallback. */
  readonly random: RandomGenerator;
  readonly log?: EventLog;
}

/**
 * Mean time that a watch waits for a change, in milliseconds. It is shorter
 * than {@linkcode STALE_CONTACT_MS}, because only the response to a watch shows
 * that the store works.
 */
export const WATCH_WAIT_MS = 2_000;

/**
 * Time between two decisions of a node that is not selected whether to read, in
 * milliseconds.
 */
export const READER_INTERVAL_MS = 500;

/**
 * Age of the latest known contact after which any node may read the store, in
 * milliseconds.
 */
export const STALE_CONTACT_MS = 5_000;

/**
 * Total rate at which nodes that are not selected read the store, in reads per
 * second, while the latest known contact is stale. Each node reads at this rate
 * divided by the number of live members, so the total does not grow with the
 * fleet.
 */
export const FALLBACK_READS_PER_SECOND = 8;

const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4_000;

/**
 * Keeps the replica up to date from the store. A selected node watches the
 * store continuously; any other node reads it with a small probability while no
 * node is known to have had recent contact.
 */
export class StoreReader {
  readonly #options: StoreReaderOptions;
  /**
   * Revision of the store up to which all documents were read; undefined if
   * they must be listed first.
   */
  #revision: number | undefined;
  /** Number of failed reads since the last successful one. */
  #failures = 0;

  /** @param options The store, the members and the replica to update. */
  constructor(options: StoreReaderOptions) {
    this.#options = options;
  }

  /** Returns whether this node is one of those selected to watch the store. */
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
   * @returns Whether the read succeeded.
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
        // All documents are listed again, because a store that failed may have
        // been replaced by one with a different history.
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

  /** Decides at random whether to read although this node is not selected. */
  #isFallbackDue(): boolean {
    const { contact, members, random } = this.#options;
    if (contact.ageMs() < STALE_CONTACT_MS) return false;
    const live = members.members().filter(isLive).length;
    const perSecond = FALLBACK_READS_PER_SECOND / Math.max(live, 1);
    return randomFraction(random) < perSecond * (READER_INTERVAL_MS / 1_000);
  }

  /**
   * Returns the time of a watch, {@linkcode WATCH_WAIT_MS} with a jitter of
   * up to 50 % either way. A change ends the watches of all readers at once.
   * Without jitter they would stay synchronised from then on, and the latest
   * known contact would be older than necessary.
   */
  #watchWaitMs(): number {
    return WATCH_WAIT_MS * (0.5 + randomFraction(this.#options.random));
  }

  /** Returns an exponential backoff, half of which is jitter. */
  #backoffMs(): number {
    const bound = Math.min(
      INITIAL_BACKOFF_MS * 2 ** (this.#failures - 1),
      MAX_BACKOFF_MS,
    );
    return bound * (1 + randomFraction(this.#options.random)) / 2;
  }
}
