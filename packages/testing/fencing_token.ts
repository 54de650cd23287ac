const FENCE = /^\d{1,20}\.\d{1,20}$/;

/**
 * Tells whether a fencing token `<incarnation>.<epoch>`, two decimal numbers,
 * is lower than the lowest valid one. A request without a token is not fenced.
 */
export function isStaleFence(token: string, lowest: string): boolean {
  if (token === "" || lowest === "") return false;
  if (!FENCE.test(token) || !FENCE.test(lowest)) return true;
  const [incarnation, epoch] = token.split(".").map(BigInt);
  const [lowestIncarnation, lowestEpoch] = lowest.split(".").map(BigInt);
  return incarnation! < lowestIncarnation! ||
    incarnation === lowestIncarnation && epoch! < lowestEpoch!;
}
