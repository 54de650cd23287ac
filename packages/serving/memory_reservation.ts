import type { MemoryHolder } from "./memory_limits.ts";

/** Reservation that waits for room with a holder. */
export interface ReservationWaiter {
  readonly reservation: MemoryReservation;
  /** Holder with which there is no room. */
  readonly holder: MemoryHolder;
  /** Takes the room; false if there is none yet. */
  readonly take: () => boolean;
  readonly onRoom: () => void;
}

/** What a reservation asks of its account. */
export interface ReservationAccount {
  readonly take: (reservation: MemoryReservation, bytes: number) => boolean;
  readonly mustWait: (reservation: MemoryReservation, bytes: number) => boolean;
  readonly move: (reservation: MemoryReservation, to: MemoryHolder) => boolean;
  /** Grants what waits for room with a holder. */
  readonly grant: (holder: MemoryHolder) => void;
  readonly waitFor: (waiter: ReservationWaiter) => void;
  readonly release: (reservation: MemoryReservation) => void;
  readonly giveBack: (reservation: MemoryReservation, bytes: number) => void;
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

  /** Gives some bytes back, at most those that are reserved. */
  shrink(bytes: number): void {
    if (this.#isClosed) return;
    const returned = Math.min(bytes, this.#bytes);
    this.#bytes -= returned;
    this.#account.giveBack(this, returned);
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
