/** Demand of one participant in a weighted max-min allocation. */
export interface Claim {
  /** Share relative to the other participants, above 0. */
  readonly weight: number;
  /** Greatest amount of use, 0 or more. */
  readonly amount: number;
}

/**
 * Divides a capacity by weighted max-min fairness: nobody gets more than it
 * claims, and nobody below its claim gets less per weight than another.
 *
 * @param capacity Amount to divide.
 * @param claims Weights and demands.
 * @returns The share of each claim, in the same order; shares are fractions.
 *
 * @example
 * ```ts
 * divideMaxMin(10, [{ weight: 1, amount: 2 }, { weight: 1, amount: 20 }]);
 * // [2, 8]
 * ```
 */
export function divideMaxMin(
  capacity: number,
  claims: readonly Claim[],
): number[] {
  const shares = claims.map(() => 0);
  const byNeed = claims.map((_, index) => index).sort((left, right) =>
    claims[left]!.amount / claims[left]!.weight -
    claims[right]!.amount / claims[right]!.weight
  );
  let remaining = Math.max(0, capacity);
  let weight = claims.reduce((sum, claim) => sum + claim.weight, 0);
  for (const index of byNeed) {
    const claim = claims[index]!;
    const share = Math.min(claim.amount, remaining * claim.weight / weight);
    shares[index] = share;
    remaining -= share;
    weight -= claim.weight;
  }
  return shares;
}

/** Demand of one holder for one priority and organisation. */
export interface HolderDemand {
  readonly holder: string;
  /** Rank of the priority; 0 is served first. */
  readonly priority: number;
  readonly organisation: string;
  readonly amount: number;
}

/** Options of {@linkcode allocate}. */
export interface AllocationOptions {
  /** Weight of an organisation, above 0. */
  readonly weight: (organisation: string) => number;
  /**
   * Moves the holder that gets the first indivisible unit, so that holders with
   * a share below one take turns.
   */
  readonly rotation: number;
}

function groupBy<Key, Value>(
  values: readonly Value[],
  key: (value: Value) => Key,
): Map<Key, Value[]> {
  const groups = new Map<Key, Value[]>();
  for (const value of values) {
    const group = groups.get(key(value));
    if (group === undefined) groups.set(key(value), [value]);
    else group.push(value);
  }
  return groups;
}

/**
 * Rounds shares to whole units by the largest remainder, within their sum.
 *
 * @param shares Fractional shares by holder.
 * @param rotation Moves the order of holders with equal remainders.
 */
function roundShares(
  shares: ReadonlyMap<string, number>,
  rotation: number,
): Map<string, number> {
  const entries = [...shares].sort(([left], [right]) => left < right ? -1 : 1);
  const total = entries.reduce((sum, [, share]) => sum + share, 0);
  const whole = entries.map(([, share]) => Math.floor(share + 1e-9));
  let units = Math.floor(total + 1e-6) -
    whole.reduce((sum, amount) => sum + amount, 0);
  const order = entries.map((_, index) => index).sort((left, right) => {
    const difference = (entries[right]![1] - whole[right]!) -
      (entries[left]![1] - whole[left]!);
    if (Math.abs(difference) > 1e-9) return difference;
    const count = entries.length;
    return (left + rotation) % count - (right + rotation) % count;
  });
  for (const index of order) {
    if (units <= 0) break;
    whole[index]! += 1;
    units -= 1;
  }
  return new Map(entries.map(([holder], index) => [holder, whole[index]!]));
}

/**
 * Allocates whole units to holders: strictly by priority, within a priority by
 * weighted max-min over organisations, and within an organisation evenly over
 * its holders.
 *
 * @param capacity Units to allocate.
 * @param demands Demands of all holders.
 * @param options Weights and the order of indivisible units.
 * @returns Units of each holder that has a demand.
 */
export function allocate(
  capacity: number,
  demands: readonly HolderDemand[],
  options: AllocationOptions,
): Map<string, number> {
  const shares = new Map<string, number>(
    demands.map((demand) => [demand.holder, 0]),
  );
  let remaining = capacity;
  const priorities = [...groupBy(demands, (demand) => demand.priority)]
    .sort(([left], [right]) => left - right);
  for (const [, ofPriority] of priorities) {
    const organisations = [
      ...groupBy(ofPriority, (demand) => demand.organisation),
    ];
    const byOrganisation = divideMaxMin(
      remaining,
      organisations.map(([organisation, claims]) => ({
        weight: options.weight(organisation),
        amount: claims.reduce((sum, claim) => sum + claim.amount, 0),
      })),
    );
    organisations.forEach(([, claims], index) => {
      const byHolder = divideMaxMin(
        byOrganisation[index]!,
        claims.map((claim) => ({ weight: 1, amount: claim.amount })),
      );
      claims.forEach((claim, position) => {
        const share = byHolder[position]!;
        shares.set(claim.holder, shares.get(claim.holder)! + share);
        remaining -= share;
      });
    });
  }
  return roundShares(shares, options.rotation);
}
