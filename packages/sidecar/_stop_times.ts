import type { StopTimes } from "@oleanderdeck/serving";
import type { EndTimes } from "@oleanderdeck/hop";

/**
 * Time within which callers notice a stop; after it the node stops waiting for
 * them to leave, in milliseconds.
 */
const CALLERS_LEAVE_TIMEOUT_MS = 2_200;

/** Maximum share of the time for a stop that callers get to leave. */
const CALLERS_LEAVE_SHARE = 0.4;

/** Share of the time for a stop after which new root requests are refused. */
const REFUSE_NEW_AFTER_SHARE = 0.5;

/**
 * Time at the end of a stop that is reserved for closing, in milliseconds: that of
 * the connections, then up to 100 ms in which the log leaves, and as much for the
 * end of the process, which may be held up.
 */
const CLOSE_RESERVE_MS = 350;

/** Share of the time for a stop from which on work may be given up, at the end. */
const GIVE_UP_SHARE = 1 / 6;

/**
 * Time that callers and peers get to close a connection after its last bytes were
 * written, in milliseconds. It allows for one retransmission of a lost packet.
 */
const CLOSE_MS = 250;

/**
 * Part of the reserve after which all connections are closed, in milliseconds. The
 * rest is for the end of the process.
 */
const CLOSE_WITHIN_RESERVE_MS = 150;

/**
 * Returns the times of a stop that begins now.
 *
 * @param graceMs Time after which the process is killed, in milliseconds.
 */
export function stopTimes(graceMs: number): StopTimes {
  const now = performance.now();
  return {
    callersLeaveAt: now +
      Math.min(CALLERS_LEAVE_TIMEOUT_MS, graceMs * CALLERS_LEAVE_SHARE),
    refusesAllAt: now + graceMs * REFUSE_NEW_AFTER_SHARE,
    closesAt: now + graceMs -
      Math.min(CLOSE_RESERVE_MS, graceMs * GIVE_UP_SHARE),
  };
}

/** Returns the times in which the connections end at the end of a stop. */
export function endTimes({ closesAt }: StopTimes): EndTimes {
  return { closeMs: CLOSE_MS, latestAt: closesAt + CLOSE_WITHIN_RESERVE_MS };
}
