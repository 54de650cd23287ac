import { z } from "zod";
import type { Store } from "@oleanderdeck/store";

/** Name of the store's object with the peer addresses of some nodes. */
export const SEEDS_OBJECT = "seeds";

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
