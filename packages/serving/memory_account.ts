import {
  type MemoryHolder,
  type MemoryLimits,
  type MemorySum,
  SUM_OF,
} from "./memory_limits.ts";
import {
  MemoryReservation,
  type ReservationWaiter,
} from "./memory_reservation.ts";

/**
 * Reservations up to this size may use the part of the memory that is kept for
 * them, so that large ones do not shut out all others, in bytes.
 */
export const SMALL_RESERVATION_BYTES = 65_536;

/** Weight of a closed reservation in the mean time for which they are held. */
const HOLD_WEIGHT = 0.2;

/** Time for which a large reservation is held until some were, in milliseconds. */
const ASSUMED_HOLD_MS = 1_000;

/** Bounds of the time after which room is expected, in milliseconds. */
const MIN_EXPECTED_WAIT_MS = 500;
const MAX_EXPECTED_WAIT_MS = 10_000;

// What is complete moves on before anything else begins.
const HOLDERS: readonly MemoryHolder[] = [
  "waiting_answers",
  "worker_answers",
  "client_bodies",
  "peer_calls",
  "kept_answers",
  "client_requests",
];

/**
 * Account of the bytes that a process holds for others, by holder. A reservation
 * is only made if it fits in, both with its holder's others and with all of the
 * same sum.
 */
export class MemoryAccount {
  readonly #limits: () => MemoryLimits;
  readonly #held: Record<MemoryHolder, number> = {
    client_bodies: 0,
    peer_calls: 0,
    worker_answers: 0,
    waiting_answers: 0,
    kept_answers: 0,
    client_requests: 0,
  };
  readonly #sums: Record<MemorySum, number> = {
    requests: 0,
    answers: 0,
    kept: 0,
    heads: 0,
  };
  #releasedBytes = 0;
  #meanHoldMs = ASSUMED_HOLD_MS;
  /** Reservations that wait for room with a holder, oldest first. */
  readonly #waiters: Record<MemoryHolder, ReservationWaiter[]> = {
    client_bodies: [],
    peer_calls: [],
    worker_answers: [],
    waiting_answers: [],
    kept_answers: [],
    client_requests: [],
  };

  /** @param limits Returns the current limits. */
  constructor(limits: () => MemoryLimits) {
    this.#limits = limits;
  }

  /** Number of reserved bytes of bodies and answers. */
  get heldBytes(): number {
    return this.#sums.requests + this.#sums.answers + this.#sums.kept;
  }

  /** Number of bytes of all large reservations that were released so far. */
  get releasedBytes(): number {
    return this.#releasedBytes;
  }

  /** Number of reservations that wait for room. */
  get waiting(): number {
    return Object.values(this.#waiters)
      .reduce((sum, { length }) => sum + length, 0);
  }

  /** Returns the number of reserved bytes of a holder. */
  heldBytesOf(holder: MemoryHolder): number {
    return this.#held[holder];
  }

  /** Returns the limit of a holder, in bytes. */
  limitOf(holder: MemoryHolder): number {
    return this.#limits().holders[holder];
  }

  /**
   * Time after which a large body that does not fit in now is expected to, in
   * milliseconds: the mean time for which others were held, for it and for each
   * body that waits.
   */
  get expectedWaitMs(): number {
    const waitMs = this.#meanHoldMs * (1 + this.#waiters.client_bodies.length);
    return Math.min(
      MAX_EXPECTED_WAIT_MS,
      Math.max(MIN_EXPECTED_WAIT_MS, waitMs),
    );
  }

  /** Opens an empty reservation, which its owner closes. */
  open(holder: MemoryHolder): MemoryReservation {
    return new MemoryReservation(holder, {
      take: (reservation, bytes) => this.#take(reservation, bytes),
      mustWait: (reservation, bytes) => this.#mustWait(reservation, bytes),
      move: (reservation, to) => this.#move(reservation, to),
      grant: (holder) => this.#grantWaiting(holder),
      waitFor: (waiter) => this.#waitFor(waiter),
      release: (reservation) => this.#release(reservation),
      giveBack: ({ holder }, bytes) => {
        this.#add(holder, -bytes);
        this.#grantAll();
      },
    });
  }

  // Large ones begin in their order.
  #mustWait(reservation: MemoryReservation, bytes: number): boolean {
    const [first] = this.#waiters[reservation.holder];
    return reservation.bytes === 0 && bytes > SMALL_RESERVATION_BYTES &&
      first !== undefined && first.reservation !== reservation;
  }

  #take(reservation: MemoryReservation, bytes: number): boolean {
    const isSmall = reservation.bytes + bytes <= SMALL_RESERVATION_BYTES;
    if (!this.#fits(reservation.holder, bytes, isSmall)) return false;
    this.#add(reservation.holder, bytes);
    return true;
  }

  #move({ bytes, holder }: MemoryReservation, to: MemoryHolder): boolean {
    if (holder === to) return true;
    const { holders, small } = this.#limits();
    const additional = bytes <= SMALL_RESERVATION_BYTES ? small : 0;
    if (
      SUM_OF[holder] !== SUM_OF[to] ||
      this.#held[to] + bytes > holders[to] + additional
    ) return false;
    this.#held[holder] -= bytes;
    this.#held[to] += bytes;
    return true;
  }

  #fits(holder: MemoryHolder, bytes: number, isSmall: boolean): boolean {
    const { holders, small, sums } = this.#limits();
    const additional = isSmall ? small : 0;
    const sum = SUM_OF[holder];
    return this.#sums[sum] + bytes <= sums[sum] + additional &&
      this.#held[holder] + bytes <= holders[holder] + additional;
  }

  #add(holder: MemoryHolder, bytes: number): void {
    this.#sums[SUM_OF[holder]] += bytes;
    this.#held[holder] += bytes;
  }

  // One that holds bytes already goes ahead of those that have not begun.
  #waitFor(waiter: ReservationWaiter): void {
    const waiters = this.#waiters[waiter.holder];
    const index = waiter.reservation.bytes === 0
      ? -1
      : waiters.findIndex(({ reservation }) => reservation.bytes === 0);
    waiters.splice(index < 0 ? waiters.length : index, 0, waiter);
  }

  #release(reservation: MemoryReservation): void {
    const { bytes, heldMs, holder } = reservation;
    this.#add(holder, -bytes);
    // What is kept for a claim was counted before, and nobody waits for its room.
    const isBody = holder !== "kept_answers" && holder !== "client_requests";
    if (bytes > SMALL_RESERVATION_BYTES && isBody) {
      this.#releasedBytes += bytes;
      this.#meanHoldMs += HOLD_WEIGHT * (heldMs - this.#meanHoldMs);
    }
    if (this.waiting === 0) return;
    HOLDERS.forEach((name) =>
      this.#waiters[name] = this.#waiters[name].filter((waiter) =>
        waiter.reservation !== reservation
      )
    );
    this.#grantAll();
  }

  #grantAll(): void {
    if (this.waiting === 0) return;
    HOLDERS.forEach((name) => this.#grantWaiting(name));
  }

  #grantWaiting(holder: MemoryHolder): void {
    const [first] = this.#waiters[holder];
    if (first === undefined || !first.take()) return;
    this.#waiters[holder] = this.#waiters[holder].filter((waiter) =>
      waiter !== first
    );
    first.onRoom();
    this.#grantWaiting(holder);
  }
}
