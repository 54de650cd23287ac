import { createHash } from "node:crypto";
import type { WorkerDirectory } from "@oleanderdeck/directory";

/**
 * Number of nodes that watch the configuration in the store for the fleet. It
 * covers the loss of a third of a small fleet, and each host more costs calls to
 * the store.
 */
const WATCHERS = 6;

/**
 * Time without an announcement of a watcher after which a node watches the
 * configuration itself, in milliseconds. It is below the time within which a
 * configuration has to be in force.
 */
const ANNOUNCEMENT_TIMEOUT_MS = 1_250;

/**
 * Time after the start for the first announcement, in milliseconds. Nodes that
 * start together know each other's records only after their workers' first
 * heartbeats.
 */
const FIRST_ANNOUNCEMENT_TIMEOUT_MS = 5_000;

/** Options of {@linkcode ConfigurationWatchers}. */
export interface ConfigurationWatchersOptions {
  /** Name of this node. */
  readonly node: string;
  readonly directory: WorkerDirectory;
  /** Returns the time of a steady clock, in milliseconds. */
  readonly now: () => number;
}

/**
 * Decides which nodes watch the configuration in the platform's store, so that
 * the calls to the store do not grow with the fleet. The nodes with the least
 * hashes of their names are elected; they announce to the others the version
 * that they know and that they follow the store. A node that hears no such
 * announcement watches the store itself, whatever the reason.
 */
export class ConfigurationWatchers {
  readonly #options: ConfigurationWatchersOptions;
  readonly #hashes = new Map<string, string>();
  readonly #startedAt: number;
  #elected: readonly string[] | undefined;
  #announcedAt: number | undefined;

  /** @param options Node, directory and clock. */
  constructor(options: ConfigurationWatchersOptions) {
    this.#options = options;
    this.#startedAt = options.now();
    options.directory.onChange(() => this.#elected = undefined);
  }

  /** Names of the elected nodes, as far as this node knows the fleet. */
  get elected(): readonly string[] {
    this.#elected ??= this.#options.directory.records
      .map(({ record }) => record.node)
      .sort((a, b) => this.#hashOf(a) < this.#hashOf(b) ? -1 : 1)
      .slice(0, WATCHERS);
    return this.#elected;
  }

  /** Whether this node has to watch the configuration in the store. */
  get mustWatch(): boolean {
    const { node, now } = this.#options;
    if (this.elected.includes(node)) return true;
    return this.#announcedAt === undefined
      ? now() - this.#startedAt > FIRST_ANNOUNCEMENT_TIMEOUT_MS
      : now() - this.#announcedAt > ANNOUNCEMENT_TIMEOUT_MS;
  }

  /** Whether a node that follows the store has announced its version lately. */
  get isAnnounced(): boolean {
    return this.#announcedAt !== undefined &&
      this.#options.now() - this.#announcedAt <= ANNOUNCEMENT_TIMEOUT_MS;
  }

  /** Records that a node which follows the store has announced its version. */
  recordAnnouncement(): void {
    this.#announcedAt = this.#options.now();
  }

  #hashOf(node: string): string {
    const known = this.#hashes.get(node);
    if (known !== undefined) return known;
    const hash = createHash("sha1").update(node).digest("hex");
    this.#hashes.set(node, hash);
    return hash;
  }
}
