import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const RANDOM_BITS = 20n;
const RANDOM_MASK = (1n << RANDOM_BITS) - 1n;

/**
 * Creates an incarnation, the number that distinguishes the processes which run
 * under one node id. It has 44 bits of wall-clock milliseconds above 20 random
 * bits, so that a later start has a higher incarnation and two starts in the same
 * millisecond differ.
 *
 * @param random Source of the low bits.
 * @param startMs Start time of the process in milliseconds since 1970.
 */
export function newIncarnation(
  random: RandomGenerator,
  startMs: number = Date.now(),
): bigint {
  return (BigInt(Math.floor(startMs)) << RANDOM_BITS) |
    (BigInt(random.next()) & RANDOM_MASK);
}
