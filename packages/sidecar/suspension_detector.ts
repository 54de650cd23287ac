/**
 * Change of the difference between the wall clock, which continues during a
 * suspension, and the monotonic clock from which on the host counts as suspended, in
 * milliseconds. Slow drift of the wall clock stays far below it between two checks.
 */
const SUSPENSION_MS = 50;

/** Resolution of the wall clock with a reserve, in milliseconds. */
const WALL_CLOCK_NOISE_MS = 2;

/** Clocks of a host, all in milliseconds. */
export interface HostClocks {
  /** Stops while the host is suspended. */
  readonly monotonic: () => number;
  /** Continues during a suspension, but may jump. */
  readonly wall: () => number;
}

/** Point in time of a process. */
export interface LocalTime {
  /**
   * Time of the monotonic clock with the short suspensions that were noticed, in
   * milliseconds.
   */
  readonly at: number;
  /** Suspensions so far. Times before and after one cannot be compared. */
  readonly suspensions: number;
}

/**
 * Detects that the host was suspended, during which the monotonic clock stops. A
 * jump of the wall clock counts as well, since it looks the same. Suspensions
 * below the threshold are added to the local time, so that many of them cannot
 * make a proof seem younger than it is.
 *
 * Node.js gives no access to the clock of the system that continues during a
 * suspension: its time since the start of the host comes from a file that may be
 * that of another system. A suspension in which the wall clock is set back by as much
 * is not found.
 */
export class SuspensionDetector {
  readonly #clocks: HostClocks;
  /** Wall clock minus monotonic clock at the last check. */
  #wallOffset: number;
  /** Greatest of these differences, apart from slow drift to lower ones. */
  #greatestWallOffset: number;
  #lostMs = 0;
  #suspensions = 0;

  /** @param clocks Clocks of the host. */
  constructor(clocks: HostClocks) {
    this.#clocks = clocks;
    const monotonic = clocks.monotonic();
    this.#wallOffset = clocks.wall() - monotonic;
    this.#greatestWallOffset = this.#wallOffset;
  }

  /** Checks the clocks; called at each use of a time and several times a second. */
  check(): LocalTime {
    const monotonic = this.#clocks.monotonic();
    const hasWallJumped = this.#checkWallClock(
      this.#clocks.wall() - monotonic,
    );
    if (hasWallJumped) this.#suspensions++;
    return { at: monotonic + this.#lostMs, suspensions: this.#suspensions };
  }

  #checkWallClock(offset: number): boolean {
    const change = offset - this.#wallOffset;
    this.#wallOffset = offset;
    if (Math.abs(change) > SUSPENSION_MS) {
      this.#greatestWallOffset = offset;
      return true;
    }
    this.#lostMs += Math.max(0, offset - this.#greatestWallOffset);
    const follows = Math.min(
      this.#greatestWallOffset,
      offset + WALL_CLOCK_NOISE_MS,
    );
    this.#greatestWallOffset = Math.max(offset, follows);
    return false;
  }
}
