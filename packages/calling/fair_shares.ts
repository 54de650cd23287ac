import type { Organisation } from "@oleanderdeck/directory";
import { divideMaxMin, type WeightedDemand } from "@oleanderdeck/leases";
import { DecayingRate } from "./_decaying_rate.ts";

/** Time constant of the recent rate of a sender, in milliseconds. */
const RECENT_MS = 10_000;

/**
 * Time constant of the usual rate of a sender, in milliseconds. It is long
 * against the surges that are to be told from usual demand.
 */
const USUAL_MS = 300_000;

/** Factor above its usual rate up to which the requests of a sender are usual. */
const USUAL_GROWTH = 1.25;

/**
 * Smallest share of a sender's requests that is admitted, relative to the share
 * of all. None may be served less than a quarter as often as all, and which of
 * its requests are admitted is random.
 */
const MIN_RELATIVE_SHARE = 0.3;

/** Time for which a division is used, in milliseconds. */
const DIVISION_MS = 100;

/**
 * Part of the capacity that is withheld for each request a second that was
 * admitted beyond the admitted share. Senders of few requests are admitted more
 * often than their rates say.
 */
const EXCESS_GAIN = 4;

/** Maximum number of senders of one priority that are remembered. */
const MAX_SENDERS = 4_096;

/** Request that begins a call chain. */
export interface FairShareRequest {
  /** Priority of the request; 0 is the most important. */
  readonly priority: number;
  /** Organisation of the caller; callers without one count as one sender. */
  readonly organisation: Organisation | undefined;
  /** Share of the requests of its priority that is admitted, 0 to 1. */
  readonly admittedShare: number;
}

/**
 * Divides the admitted share of the requests that begin call chains among the
 * organisations of a priority by weighted max-min. It answers the load of one
 * organisation that sends many times its usual rate: what it sends above its
 * share is refused, and the others are served as before.
 *
 * The weight of an organisation is the rate that was agreed with it, or else its
 * usual rate at this node.
 */
export class FairShares {
  readonly #divisions = new Map<number, PriorityDivision>();

  /**
   * Returns the share of the requests of the organisation to admit, 0 to 1, and
   * counts the request.
   *
   * @param request Request that has arrived.
   * @param now Time of a steady clock, in milliseconds.
   */
  shareOf(request: FairShareRequest, now: number): number {
    const { admittedShare, organisation, priority } = request;
    let division = this.#divisions.get(priority);
    if (division === undefined) {
      division = new PriorityDivision(now);
      this.#divisions.set(priority, division);
    }
    const sender = division.senderOf(organisation, now);
    // The request itself is not counted yet: a sender of few requests would seem
    // to send many at each of them.
    const share = division.shareOf(sender, admittedShare, now);
    sender.countArrival(now);
    return share;
  }
}

/** Division among the senders of one priority. */
class PriorityDivision {
  /** Senders by the names of their organisations, oldest first. */
  readonly #senders = new Map<string | undefined, Sender>();
  /** Admitted rate per weight, by the admitted share. */
  readonly #levels = new Map<number, number>();
  #dividedAt = -Infinity;
  /** Requests beyond the admitted share that were to be admitted. */
  readonly #excess: DecayingRate;

  constructor(now: number) {
    this.#excess = recentRateFrom(now);
  }

  senderOf(organisation: Organisation | undefined, now: number): Sender {
    const name = organisation?.name;
    let sender = this.#senders.get(name);
    if (sender === undefined || sender.isForgotten(now)) {
      sender = new Sender(now);
      this.#senders.delete(name);
      this.#senders.set(name, sender);
      this.#evictOldest();
    }
    sender.agreedRate = organisation?.ratePerSecond ?? 0;
    return sender;
  }

  shareOf(sender: Sender, admittedShare: number, now: number): number {
    if (admittedShare >= 1 || admittedShare <= 0) return admittedShare;
    const share = this.#shareOf(sender, admittedShare, now);
    this.#excess.add(share - admittedShare, now);
    return share;
  }

  #shareOf(sender: Sender, admittedShare: number, now: number): number {
    if (now - this.#dividedAt >= DIVISION_MS) {
      this.#levels.clear();
      this.#updateWeights(now);
      this.#dividedAt = now;
    }
    let level = this.#levels.get(admittedShare);
    if (level === undefined) {
      level = this.#levelOf(admittedShare, now);
      this.#levels.set(admittedShare, level);
    }
    const recent = sender.recentRate(now);
    if (recent === 0) return 1;
    if (sender.weight === undefined) return admittedShare;
    const share = sender.weight * level / recent;
    return Math.min(1, Math.max(MIN_RELATIVE_SHARE * admittedShare, share));
  }

  // Agreed rates are those of all nodes, usual rates those at this node.
  #updateWeights(now: number): void {
    const senders = [...this.#senders.values()];
    const agreed = senders.filter(({ agreedRate }) => agreedRate > 0);
    const scale = sumOf(agreed.map((sender) => sender.usualRate(now))) /
      sumOf(agreed.map(({ agreedRate }) => agreedRate));
    senders.forEach((sender) => {
      const weight = sender.agreedRate > 0
        ? sender.agreedRate * scale
        : sender.usualRate(now);
      sender.weight = Math.max(Number.EPSILON, weight);
    });
  }

  // Returns the rate per weight above which requests are refused; infinite if
  // none are. Senders whose share would be below the smallest one get that, and
  // the others divide the rest.
  #levelOf(admittedShare: number, now: number): number {
    let demands = this.#demandsAt(now);
    const total = sumOf(demands.map(({ amount }) => amount));
    let capacity = admittedShare * total - EXCESS_GAIN * this.#excess.at(now);
    while (demands.length > 0) {
      const shares = divideMaxMin(capacity, demands);
      const smallest = demands.map(({ amount }) =>
        MIN_RELATIVE_SHARE * admittedShare * amount
      );
      const isAbove = shares.map((share, index) => share >= smallest[index]!);
      if (!isAbove.includes(false)) return levelOfShares(shares, demands);
      capacity -= sumOf(smallest.filter((_, index) => !isAbove[index]));
      demands = demands.filter((_, index) => isAbove[index]);
    }
    return total > 0 ? 0 : Infinity;
  }

  #demandsAt(now: number): WeightedDemand[] {
    return [...this.#senders.values()].map((sender) => ({
      weight: sender.weight ?? Number.EPSILON,
      amount: sender.recentRate(now),
    })).filter(({ amount }) => amount > 0);
  }

  #evictOldest(): void {
    if (this.#senders.size <= MAX_SENDERS) return;
    const [oldest] = this.#senders.keys();
    this.#senders.delete(oldest);
  }
}

/** Requests of one organisation with one priority. */
class Sender {
  /** Requests a second over all nodes that were agreed; 0 if none. */
  agreedRate = 0;
  /** Weight in the division; undefined until the next one. */
  weight: number | undefined;
  readonly #recent: DecayingRate;
  readonly #usual: DecayingRate;
  #seenAt: number;

  constructor(now: number) {
    this.#seenAt = now;
    this.#recent = recentRateFrom(now);
    this.#usual = new DecayingRate({
      timeConstantMs: USUAL_MS,
      firstMs: RECENT_MS,
      now,
    });
  }

  /** Whether what it sent is too long ago to tell its usual rate. */
  isForgotten(now: number): boolean {
    return now - this.#seenAt > USUAL_MS;
  }

  recentRate(now: number): number {
    return this.#recent.at(now);
  }

  usualRate(now: number): number {
    return this.#usual.at(now);
  }

  countArrival(now: number): void {
    const [recent, usual] = [this.recentRate(now), this.usualRate(now)];
    const limit = USUAL_GROWTH * usual;
    // Of a surge, only the part that a sender may usually grow by is usual.
    const usualPart = usual > 0 && recent > limit ? limit / recent : 1;
    this.#usual.add(usualPart, now);
    this.#recent.add(1, now);
    this.#seenAt = now;
  }
}

function levelOfShares(
  shares: readonly number[],
  demands: readonly WeightedDemand[],
): number {
  const reduced = demands.flatMap(({ amount, weight }, index) =>
    shares[index]! < amount ? [shares[index]! / weight] : []
  );
  return reduced.length === 0 ? Infinity : Math.max(...reduced);
}

function recentRateFrom(now: number): DecayingRate {
  return new DecayingRate({
    timeConstantMs: RECENT_MS,
    firstMs: RECENT_MS,
    now,
  });
}

function sumOf(amounts: readonly number[]): number {
  return amounts.reduce((sum, amount) => sum + amount, 0);
}
