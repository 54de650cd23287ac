import { asCount, asList, asNonNegative } from "./_fields.ts";
import type { TokenAmount } from "./frame.ts";

/** Maximum number of organisations that a frame names. */
const MAX_AMOUNTS = 100_000;

/**
 * Decodes the amounts of tokens in a frame.
 *
 * @throws {TypeError} If a field has another type, or the list is too long.
 */
export function unpackTokens(value: unknown): readonly TokenAmount[] {
  const amounts = asList(value);
  if (amounts.length > MAX_AMOUNTS) {
    throw new TypeError("A frame names too many organisations");
  }
  return amounts.map((amount) => {
    const [organisation, tokens] = asList(amount);
    return [asCount(organisation, MAX_AMOUNTS), asNonNegative(tokens)];
  });
}
