/** Demand of one participant in a weighted max-min allocation. */
export interface WeightedDemand {
  /** Weight relative to the other participants, above 0. */
  readonly weight: number;
  /** Amount demanded, 0 or more. */
  readonly amount: number;
}

/**
 * Divides a capacity by weighted max-min fairness: no participant receives more
 * than it demands, and one that receives less than it demands receives at least
 * as much per unit of weight as any other.
 *
 * @param capacity Amount to divide.
 * @param demands Weight and amount of each participant.
 * @returns The share of each participant, in the same order; may be fractions.
 *
 * @example
 * ```ts
 * divideMaxMin(10, [{ weight: 1, amount: 2 }, { weight: 1, amount: 20 }]);
 * // [2, 8]
 * ```
 */
export function divideMaxMin(
  capacity: number,
  demands: readonly WeightedDemand[],
): number[] {
  const shares = demands.map(() => 0);
  const byDemandPerWeight = demands.map((_, index) => index).sort((
    left,
    right,
  ) =>
    demands[left]!.amount / demands[left]!.weight -
    demands[right]!.amount / demands[right]!.weight
  );
  let remaining = Math.max(0, capacity);
  let remainingWeight = demands.reduce((sum, demand) => sum + demand.weight, 0);
  for (const index of byDemandPerWeight) {
    const demand = demands[index]!;
    const share = Math.min(
      demand.amount,
      remaining * demand.weight / remainingWeight,
    );
    shares[index] = share;
    remaining -= share;
    remainingWeight -= demand.weight;
  }
  return shares;
}

/** Demand of one holder for one priority and one organisation. */
export interface HolderDemand {
  readonly holder: string;
  /** Rank of the priority; lower ranks are served first. */
  readonly priority: number;
  readonly organisation: string;
  readonly amount: number;
}

/** Options of {@linkcode allocate}. */
export interface AllocationOptions {
  /** Weight of an organisation, above 0. */
  readonly weight: (organisation: string) => number;
  /**
   * Offset into the order of holders with equal remainders. Changing it passes
   * an indivisible unit on, so that holders with shares below one take turns.
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
 * Rounds shares to integers by the largest-remainder method. The rounded shares
 * add up to the sum of the shares, rounded down.
 *
 * @param shares Fractional shares by holder.
 * @param rotation Offset into the order of holders with equal remainders.
 */
function roundShares(
  shares: ReadonlyMap<string, number>,
  rotation: number,
): Map<string, number> {
  const entries = [...shares].sort(([left], [right]) => left < right ? -1 : 1);
  const total = entries.reduce((sum, [, share]) => sum + share, 0);
  const rounded = entries.map(([, share]) => Math.floor(share + 1e-9));
  let remainingUnits = Math.floor(total + 1e-6) -
    rounded.reduce((sum, amount) => sum + amount, 0);
  const order = entries.map((_, index) => index).sort((left, right) => {
    const difference = (entries[right]![1] - rounded[right]!) -
      (entries[left]![1] - rounded[left]!);
    if (Math.abs(difference) > 1e-9) return difference;
    const count = entries.length;
    return (left + rotation) % count - (right + rotation) % count;
  });
  for (const index of order) {
    if (remainingUnits <= 0) break;
    rounded[index]! += 1;
    remainingUnits -= 1;
  }
  return new Map(entries.map(([holder], index) => [holder, rounded[index]!]));
}

/**
 * Allocates integer units to holders: strictly by priority, within a priority
 * by weighted max-min fairness between organisations, and within an
 * organisation by unweighted max-min fairness between its holders.
 *
 * @param capacity Units to allocate.
 * @param demands Demands of all holders.
 * @param options Weights and the rotation of indivisible units.
 * @returns Number of units for each holder in `demands`.
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
  for (const [, priorityDemands] of priorities) {
    const organisations = [
      ...groupBy(priorityDemands, (demand) => demand.organisation),
    ];
    const organisationShares = divideMaxMin(
      remaining,
      organisations.map(([organisation, organisationDemands]) => ({
        weight: options.weight(organisation),
        amount: organisationDemands.reduce(
          (sum, demand) => sum + demand.amount,
          0,
        ),
      })),
    );
    organisations.forEach(([, organisationDemands], index) => {
      const holderShares = divideMaxMin(
        organisationShares[index]!,
        organisationDemands.map((demand) => ({
          weight: 1,
          amount: demand.amount,
        })),
      );
      organisationDemands.forEach((demand, position) => {
        const share = holderShares[position]!;
        shares.set(demand.holder, shares.get(demand.holder)! + share);
        remaining -= share;
      });
    });
  }
  return roundShares(shares, options.rotation);
}
