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

// What is complete moves on before anything else begins.
const HOLDERS: readonly MemoryHolder[] = [
  "waiting_answers",
  "worker_answers",
  "client_bodies",
  "peer_calls",
  "kept_answers",
];

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

/** Reservation that waits for room with a holder. */
interface Waiter {
  readonly reservation: MemoryReservation;
  /** Holder with which there is no room. */
  readonly holder: MemoryHolder;
  /** Takes the room; false if there is none yet. */
  readonly take: () => boolean;
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
  /** Reservations that wait for room with a holder, oldest first. */
  readonly #waiters: Record<MemoryHolder, Waiter[]> = {
    client_bodies: [],
    peer_calls: [],
    worker_answers: [],
    waiting_answers: [],
    kept_answers: [],
  };

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
  #waitFor(waiter: Waiter): void {
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
    if (bytes > SMALL_RESERVATION_BYTES && holder !== "kept_answers") {
      this.#releasedBytes += bytes;
      this.#meanHoldMs += HOLD_WEIGHT * (heldMs - this.#meanHoldMs);
    }
    if (this.waiting === 0) return;
    HOLDERS.forEach((name) =>
      this.#waiters[name] = this.#waiters[name].filter((waiter) =>
        waiter.reservation !== reservation
      )
    );
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

/** What a reservation asks of its account. */
interface ReservationAccount {
  readonly take: (reservation: MemoryReservation, bytes: number) => boolean;
  readonly mustWait: (reservation: MemoryReservation, bytes: number) => boolean;
  readonly move: (reservation: MemoryReservation, to: MemoryHolder) => boolean;
  /** Grants what waits for room with a holder. */
  readonly grant: (holder: MemoryHolder) => void;
  readonly waitFor: (waiter: Waiter) => void;
  readonly release: (reservation: MemoryReservation) => void;
}

/** Bytes that are held for one purpose until the reservation is closed. */
export class MemoryReservation {
  readonly #account: ReservationAccount;
  #holder: MemoryHolder;
  #openedAt = performance.now();
  #bytes = 0;
  #isClosed = false;

  /**
   * @param holder What the bytes are held for.
   * @param account Account to which the bytes are added.
   */
  constructor(holder: MemoryHolder, account: ReservationAccount) {
    this.#holder = holder;
    this.#account = account;
  }

  /** What the bytes are held for. */
  get holder(): MemoryHolder {
    return this.#holder;
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
   * @returns Whether they were reserved; false if they do not fit in, if others
   * wait for room to begin, or if the reservation is closed.
   */
  grow(bytes: number): boolean {
    return !this.#account.mustWait(this, bytes) && this.growAhead(bytes);
  }

  /**
   * Reserves further bytes ahead of others that wait, for what cannot wait itself.
   *
   * @returns Whether they were reserved; false if they do not fit in or the
   * reservation is closed.
   */
  growAhead(bytes: number): boolean {
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
    this.#wait(this.#holder, () => this.grow(bytes), onRoom);
  }

  /**
   * Holds the bytes for another purpose of the same sum from now on.
   *
   * @returns Whether they fit in with the new holder.
   */
  moveTo(holder: MemoryHolder): boolean {
    if (this.#isClosed || !this.#account.move(this, holder)) return false;
    const former = this.#holder;
    this.#holder = holder;
    this.#account.grant(former);
    return true;
  }

  /**
   * Waits until the bytes fit in with another holder of the same sum, and moves
   * them. The wait ends with the reservation.
   *
   * @param holder New holder.
   * @param onMoved Called when they were moved; at once if they fit in.
   */
  moveWhenRoom(holder: MemoryHolder, onMoved: () => void): void {
    if (this.moveTo(holder)) return onMoved();
    this.#wait(holder, () => this.moveTo(holder), onMoved);
  }

  /**
   * Passes the bytes on to another owner, without a moment in which they are not
   * reserved. This reservation is closed then.
   *
   * @returns Reservation with the bytes, which the new owner closes.
   */
  handOver(): MemoryReservation {
    const heir = new MemoryReservation(this.#holder, this.#account);
    heir.#bytes = this.#bytes;
    heir.#openedAt = this.#openedAt;
    heir.#isClosed = this.#isClosed;
    this.#bytes = 0;
    this.close();
    return heir;
  }

  /** Releases all bytes; has no effect when it is called again. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#account.release(this);
    this.#bytes = 0;
  }

  #wait(holder: MemoryHolder, take: () => boolean, onRoom: () => void): void {
    if (this.#isClosed) return;
    this.#account.waitFor({ reservation: this, holder, take, onRoom });
  }
}
