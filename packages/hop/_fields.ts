/**
 * Returns a decoded field that is a text.
 *
 * @throws {TypeError} If the field has another type.
 */
export function asText(value: unknown): string {
  if (typeof value !== "string") throw fieldError("a text", value);
  return value;
}

/**
 * Returns a decoded field that is a finite number.
 *
 * @throws {TypeError} If the field has another type.
 */
export function asNumber(value: unknown): number {
  if (!Number.isFinite(value)) throw fieldError("a number", value);
  return value as number;
}

/**
 * Returns a decoded field that is a finite number of 0 or more.
 *
 * @throws {TypeError} If the field has another type or value.
 */
export function asNonNegative(value: unknown): number {
  if (asNumber(value) < 0) throw fieldError("0 or more", value);
  return value as number;
}

/**
 * Returns a decoded field that is an integer from 0 to a limit.
 *
 * @param max Greatest value that is accepted.
 * @throws {TypeError} If the field has another type or value.
 */
export function asCount(value: unknown, max: number): number {
  if (!Number.isInteger(value) || (value as number) < 0) {
    throw fieldError("a count", value);
  }
  if ((value as number) > max) throw fieldError(`at most ${max}`, value);
  return value as number;
}

/**
 * Returns a decoded field that is a list.
 *
 * @throws {TypeError} If the field has another type.
 */
export function asList(value: unknown): readonly unknown[] {
  if (!Array.isArray(value)) throw fieldError("a list", value);
  return value;
}

function fieldError(expected: string, value: unknown): TypeError {
  return new TypeError(
    `Field is not ${expected}: ${JSON.stringify(value)?.slice(0, 40)}`,
  );
}
