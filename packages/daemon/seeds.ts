import { z } from "zod";
import { isStoreReader } from "@oleanderdeck/configuration";
import { isLive, type MemberView } from "@oleanderdeck/membership";
import type { EventLog } from "@oleanderdeck/observability";
import type { Member } from "@oleanderdeck/protocol";
import type { Clock } from "@oleanderdeck/settings";
import type { Store } from "@oleanderdeck/store";

/** Name of the stored object that holds the peer addresses of some nodes. */
export const SEEDS_OBJECT = "seeds";

/** Number of addresses that are published for each data centre. */
export const SEEDS_PER_DATA_CENTRE = 3;

/**
 * Time between two checks of the published seeds, in milliseconds. Two nodes of
 * each data centre check, so the store receives two reads a minute from each
 * data centre, whatever the size of the fleet.
 */
const PUBLISH_INTERVAL_MS = 60_000;

/**
 * Time from the start of a node to its first check, in milliseconds, so that it
 * discovers the other members first.
 */
const FIRST_PUBLISH_DELAY_MS = 5000;

const seedsSchema = z.array(z.string()).max(64);

function parseSeeds(text: string): readonly string[] {
  try {
    return seedsSchema.parse(JSON.parse(text));
  } catch {
    return [];
  }
}

/**
 * Returns the peer addresses at which a starting node joins the fleet.
 *
 * @param configured Seeds from the settings. If there are any, the store is not
 * read.
 * @param store Store that holds the object {@linkcode SEEDS_OBJECT}.
 * @returns The configured or else the stored seeds; empty when the store does
 * not have them or cannot be read.
 */
export async function findSeeds(
  configured: readonly string[],
  store: Pick<Store, "get">,
): Promise<readonly string[]> {
  if (configured.length > 0) return configured;
  const stored = await store.get(SEEDS_OBJECT);
  return stored.map(({ value }) => parseSeeds(value)).orDefault([]);
}

/**
 * Selects the addresses to publish: up to {@linkcode SEEDS_PER_DATA_CENTRE} live
 * members of each data centre, so that seeds remain when a data centre is lost.
 *
 * @param members All members.
 */
export function selectSeeds(members: readonly Member[]): readonly string[] {
  const live = members.filter(isLive);
  const dataCentres = [...new Set(live.map((member) => member.dataCentre))];
  return dataCentres.toSorted().flatMap((dataCentre) =>
    live.filter((member) => member.dataCentre === dataCentre)
      .map((member) => member.peerAddress)
      .toSorted()
      .slice(0, SEEDS_PER_DATA_CENTRE)
  );
}

/**
 * Returns whether the published seeds need an update: none of them or fewer than
 * half of them are live members.
 *
 * @param published Peer addresses in the store.
 * @param members All members.
 */
export function areStale(
  published: readonly string[],
  members: readonly Member[],
): boolean {
  const live = new Set(
    members.filter(isLive).map((member) => member.peerAddress),
  );
  const usable = published.filter((address) => live.has(address)).length;
  return usable === 0 || usable * 2 < published.length;
}

/** Options of {@linkcode SeedPublisher}. */
export interface SeedPublisherOptions {
  readonly members: MemberView;
  readonly store: Pick<Store, "get" | "put">;
  readonly clock: Clock;
  readonly log: EventLog;
}

/**
 * Replaces the seeds in the store when they are stale. Only the nodes that read
 * the store for their data centre do this. They write conditionally on the
 * version that they read, so only the first of several concurrent updates
 * succeeds.
 */
export class SeedPublisher {
  readonly #options: SeedPublisherOptions;
  readonly #stop = new AbortController();
  #task: Promise<void> | undefined;

  /** @param options Members, store, clock and log. */
  constructor(options: SeedPublisherOptions) {
    this.#options = options;
  }

  /** Starts the periodic checks. */
  start(): void {
    this.#task ??= this.#run(this.#stop.signal);
  }

  /** Stops the periodic checks and waits until a running one has ended. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }

  /**
   * Publishes new seeds if this node is a store reader of its data centre and
   * the seeds in the store are missing or stale.
   */
  async publish(): Promise<void> {
    const { log, members, store } = this.#options;
    const known = members.members();
    if (!isStoreReader(members.self(), known)) return;
    const read = await store.get(SEEDS_OBJECT);
    const missing = read.isLeft() && read.extract().kind === "not_found";
    if (read.isLeft() && !missing) return;
    const published = read.map(({ value }) => parseSeeds(value)).orDefault([]);
    if (!areStale(published, known)) return;
    const seeds = selectSeeds(known);
    const written = await store.put(SEEDS_OBJECT, JSON.stringify(seeds), {
      expectedVersion: read.map(({ version }) => version).orDefault(0),
    });
    written.ifRight(({ version }) =>
      log.write("info", "seeds_published", { version, count: seeds.length })
    );
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    await clock.sleep(FIRST_PUBLISH_DELAY_MS, signal);
    while (!signal.aborted) {
      await this.publish();
      await clock.sleep(PUBLISH_INTERVAL_MS, signal);
    }
  }
}
