const FENCING_TOKEN_PATTERN = /^\d{1,20}\.\d{1,20}$/;

/**
 * Returns whether a fencing token is lower than the lowest valid one. A token has
 * the form `<incarnation>.<epoch>`, two decimal numbers. A malformed token is
 * stale; an empty one is not, since requests without a token are not fenced.
 *
 * @param token Token of the request, or an empty string.
 * @param lowest Lowest valid token, or an empty string if every token is valid.
 */
export function isStaleFencingToken(token: string, lowest: string): boolean {
  if (token === "" || lowest === "") return false;
  if (
    !FENCING_TOKEN_PATTERN.test(token) || !FENCING_TOKEN_PATTERN.test(lowest)
  ) return true;
  const [incarnation, epoch] = token.split(".").map(BigInt);
  const [lowestIncarnation, lowestEpoch] = lowest.split(".").map(BigInt);
  return incarnation! < lowestIncarnation! ||
    incarnation === lowestIncarnation && epoch! < lowestEpoch!;
}
