/**
 * Reservations up to this size may use the part of the memory that is kept for
 * them, so that large ones do not shut out all others, in bytes.
 */
export const SMALL_RESERVATION_BYTES = 65_536;

/**
 * Shares of the process's memory: a largest body of 64 MB fits in on a host of 250
 * MB, and the sums leave room for the process itself and for freed memory that was
 * not collected yet. Requests do not use the part of answers, since a refused
 * request can be sent again, and an answer that is given up is lost.
 */
const SUM_SHARES: Readonly<Record<MemorySum, number>> = {
  requests: 0.35,
  answers: 0.2,
  kept: 0.02,
};
const SMALL_SHARE = 0.03;
const HOLDER_SHARES: Readonly<Record<MemoryHolder, number>> = {
  client_bodies: 0.3,
  peer_calls: 0.3,
  worker_answers: 0.15,
  waiting_answers: 0.15,
  kept_answers: 0.02,
};

/** Weight of a closed reservation in the mean time for which they are held. */
const HOLD_WEIGHT = 0.2;

/** Time for which a large reservation is held until some were, in milliseconds. */
const ASSUMED_HOLD_MS = 1_000;

/** Bounds of the time after which room is expected, in milliseconds. */
const MIN_EXPECTED_WAIT_MS = 500;
const MAX_EXPECTED_WAIT_MS = 10_000;

/**
 * What the memory is held for: bodies of clients' requests, bodies of calls of
 * other nodes, answers of workers that are not complete, answers that a slow client
 * or link has not taken yet, and answers that were sent and may be lost.
 */
export type MemoryHolder =
  | "client_bodies"
  | "peer_calls"
  | "worker_answers"
  | "waiting_answers"
  | "kept_answers";

/** Holders with a common limit. */
export type MemorySum = "requests" | "answers" | "kept";

const SUM_OF: Readonly<Record<MemoryHolder, MemorySum>> = {
  client_bodies: "requests",
  peer_calls: "requests",
  worker_answers: "answers",
  waiting_answers: "answers",
  kept_answers: "kept",
};

/** Limits of a {@linkcode MemoryAccount}, in bytes. */
export interface MemoryLimits {
  readonly holders: Readonly<Record<MemoryHolder, number>>;
  readonly sums: Readonly<Record<MemorySum, number>>;
  /** Additional bytes that only small reservations may use. */
  readonly small: number;
}

/** Returns the limits for a process that may use some bytes of memory. */
export function memoryLimits(memoryBytes: number): MemoryLimits {
  const scaled = <Name extends string>(shares: Record<Name, number>) =>
    Object.fromEntries(
      Object.entries<number>(shares).map((
        [name, share],
      ) => [name, share * memoryBytes]),
    ) as Record<Name, number>;
  return {
    holders: scaled(HOLDER_SHARES),
    sums: scaled(SUM_SHARES),
    small: memoryBytes * SMALL_SHARE,
  };
}

/** Reservation that waits until some bytes fit in. */
interface Waiter {
  readonly reservation: MemoryReservation;
  readonly bytes: number;
  readonly onRoom: () => void;
}

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
  };
  readonly #sums: Record<MemorySum, number> = {
    requests: 0,
    answers: 0,
    kept: 0,
  };
  #releasedBytes = 0;
  #meanHoldMs = ASSUMED_HOLD_MS;
  /** Waiting reservations, oldest first. */
  #waiters: Waiter[] = [];

  /** @param limits Returns the current limits. */
  constructor(limits: () => MemoryLimits) {
    this.#limits = limits;
  }

  /** Number of reserved bytes of all holders. */
  get heldBytes(): number {
    return this.#sums.requests + this.#sums.answers + this.#sums.kept;
  }

  /** Number of bytes of all large reservations that were released so far. */
  get releasedBytes(): number {
    return this.#releasedBytes;
  }

  /** Number of reservations that wait for room. */
  get waiting(): number {
    return this.#waiters.length;
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
   * Time after which a large reservation that does not fit in now is expected to,
   * in milliseconds: the mean time for which others were held, for it and for each
   * one that waits.
   */
  get expectedWaitMs(): number {
    const waitMs = this.#meanHoldMs * (1 + this.#waiters.length);
    return Math.min(
      MAX_EXPECTED_WAIT_MS,
      Math.max(MIN_EXPECTED_WAIT_MS, waitMs),
    );
  }

  /** Opens an empty reservation, which its owner closes. */
  open(holder: MemoryHolder): MemoryReservation {
    return new MemoryReservation(holder, {
      take: (reservation, bytes) => this.#take(reservation, bytes),
      waitFor: (waiter) => this.#waitFor(waiter),
      release: (reservation) => this.#release(reservation),
    });
  }

  #take(reservation: MemoryReservation, bytes: number): boolean {
    const isSmall = reservation.bytes + bytes <= SMALL_RESERVATION_BYTES;
    // Large ones begin in their order.
    const [first] = this.#waiters;
    const mustWait = !isSmall && reservation.bytes === 0 &&
      first !== undefined && first.reservation !== reservation &&
      first.reservation.holder === reservation.holder;
    if (mustWait || !this.#fits(reservation.holder, bytes, isSmall)) {
      return false;
    }
    this.#add(reservation.holder, bytes);
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
  #waitFor(waiter: Waiter): void {
    const index = waiter.reservation.bytes === 0
      ? -1
      : this.#waiters.findIndex(({ reservation }) => reservation.bytes === 0);
    this.#waiters.splice(index < 0 ? this.#waiters.length : index, 0, waiter);
  }

  #release(reservation: MemoryReservation): void {
    const { bytes, heldMs, holder } = reservation;
    this.#add(holder, -bytes);
    // What is kept for a claim was counted before, and nobody waits for its room.
    if (bytes > SMALL_RESERVATION_BYTES && holder !== "kept_answers") {
      this.#releasedBytes += bytes;
      this.#meanHoldMs += HOLD_WEIGHT * (heldMs - this.#meanHoldMs);
    }
    if (this.#waiters.length === 0) return;
    this.#waiters = this.#waiters.filter((waiter) =>
      waiter.reservation !== reservation
    );
    this.#grantWaiting();
  }

  #grantWaiting(): void {
    const [first] = this.#waiters;
    if (first === undefined || !first.reservation.grow(first.bytes)) return;
    this.#waiters.shift();
    first.onRoom();
    this.#grantWaiting();
  }
}

/** What a reservation asks of its account. */
interface ReservationAccount {
  readonly take: (reservation: MemoryReservation, bytes: number) => boolean;
  readonly waitFor: (waiter: Waiter) => void;
  readonly release: (reservation: MemoryReservation) => void;
}

/** Bytes that are held for one purpose until the reservation is closed. */
export class MemoryReservation {
  readonly holder: MemoryHolder;
  readonly #account: ReservationAccount;
  readonly #openedAt = performance.now();
  #bytes = 0;
  #isClosed = false;

  /**
   * @param holder What the bytes are held for.
   * @param account Account to which the bytes are added.
   */
  constructor(holder: MemoryHolder, account: ReservationAccount) {
    this.holder = holder;
    this.#account = account;
  }

  /** Number of reserved bytes; 0 once closed. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Time since the reservation was opened, in milliseconds. */
  get heldMs(): number {
    return performance.now() - this.#openedAt;
  }

  /**
   * Reserves further bytes.
   *
   * @returns Whether they were reserved; false if they do not fit in or the
   * reservation is closed.
   */
  grow(bytes: number): boolean {
    if (this.#isClosed || !this.#account.take(this, bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  /**
   * Waits until further bytes fit in and reserves them. The wait ends with the
   * reservation.
   *
   * @param bytes Number of bytes.
   * @param onRoom Called when they were reserved.
   */
  waitFor(bytes: number, onRoom: () => void): void {
    if (this.#isClosed) return;
    this.#account.waitFor({ reservation: this, bytes, onRoom });
  }

  /** Releases all bytes; has no effect when it is called again. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#account.release(this);
    this.#bytes = 0;
  }
}
