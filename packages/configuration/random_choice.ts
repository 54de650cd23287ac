import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Random number from 0 to below 1. */
export function randomFraction(random: RandomGenerator): number {
  return uniformInt(random, 0, 2 ** 30 - 1) / 2 ** 30;
}

/** Picks several different items at random, all of them if there are fewer. */
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
