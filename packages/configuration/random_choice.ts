import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
export function randomFraction(random: RandomGenerator): number {
  return uniformInt(random, 0, 2 ** 30 - 1) / 2 ** 30;
}

/**
 * Picks items at random without repetition.
 *
 * @param random Random numbers.
 * @param items Items to pick from.
 * @param count Number of items to pick.
 * @returns The picked items; all items if there are not more than `count`.
 */
export function pickRandom<Item>(
  random: RandomGenerator,
  items: readonly Item[],
  count: number,
): readonly Item[] {
  if (items.length <= count) return items;
  const indices = new Set<number>();
  while (indices.size < count) {
    indices.add(uniformInt(random, 0, items.length - 1));
  }
  return [...indices].map((index) => items[index]!);
}
