import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const RANDOM_BITS = 20n;
const RANDOM_MASK = (1n << RANDOM_BITS) - 1n;

/**
 * Makes the incarnation of a process start: 44 bits of wall-clock milliseconds
 * above 20 random bits, so that later starts have higher incarnations and two
 * starts in one millisecond differ.
 *
 * @param random Source of the low bits.
 * @param startMs Start time in milliseconds since 1970.
 */
export function newIncarnation(
  random: RandomGenerator,
  startMs: number = Date.now(),
): bigint {
  return (BigInt(Math.floor(startMs)) << RANDOM_BITS) |
    (BigInt(random.next()) & RANDOM_MASK);
}
