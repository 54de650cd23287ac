import { z } from "zod";
import { isStoreReader } from "@oleanderdeck/configuration";
import { isLive, type MemberView } from "@oleanderdeck/membership";
import type { EventLog } from "@oleanderdeck/observability";
import type { Member } from "@oleanderdeck/protocol";
import type { Clock } from "@oleanderdeck/settings";
import type { Store } from "@oleanderdeck/store";

/** Name of the store's object with the peer addresses of some nodes. */
export const SEEDS_OBJECT = "seeds";

/** Addresses of each data centre that are published. */
export const SEEDS_PER_DATA_CENTRE = 3;

/**
 * Time between two looks at the published seeds, in milliseconds. With two
 * publishers in a data centre the store gets one read a minute for each of them,
 * whatever the size of the fleet.
 */
const PUBLISH_INTERVAL_MS = 60_000;

/** Time after a start before the first look, so that members are known. */
const FIRST_PUBLISH_MS = 5000;

const seedsSchema = z.array(z.string()).max(64);

function parseSeeds(text: string): readonly string[] {
  try {
    return seedsSchema.parse(JSON.parse(text));
  } catch {
    return [];
  }
}

/**
 * Finds addresses for the first contact with the fleet.
 *
 * @param configured Seeds from the settings; they go before the store's.
 * @param store Has the object {@linkcode SEEDS_OBJECT}.
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
 * Selects the addresses to publish: some live members of every data centre, so
 * that the loss of a data centre leaves seeds in the others.
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

/** Tells whether fewer than half of the published seeds are live members. */
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
 * Keeps the store's object of seeds usable. The nodes whose turn it is to read
 * the store do it; a conditional update settles a race between them.
 */
export class SeedPublisher {
  readonly #options: SeedPublisherOptions;
  readonly #stop = new AbortController();
  #task: Promise<void> | undefined;

  /** @param options Members to publish and the store. */
  constructor(options: SeedPublisherOptions) {
    this.#options = options;
  }

  /** Starts the task. */
  start(): void {
    this.#task ??= this.#run(this.#stop.signal);
  }

  /** Ends the task. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }

  /** Publishes seeds if it is this node's turn and the published are stale. */
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
    await clock.sleep(FIRST_PUBLISH_MS, signal);
    while (!signal.aborted) {
      await this.publish();
      await clock.sleep(PUBLISH_INTERVAL_MS, signal);
    }
  }
}
