/**
 * Share of the time after which a worker closes idle connections in which one is
 * used again. The rest is for a close that is on its way.
 */
const USED_SHARE = 0.7;

/**
 * Factor by which a connection has to live longer than the known time to prove it
 * outdated. One whose close was not read yet lives a little longer.
 */
const LONGER_FACTOR = 2;

/**
 * Time after which a worker closes idle connections, learned from those that it has
 * closed: it states whole seconds only, and a call that crosses the close is lost
 * if it cannot be repeated.
 */
export class IdleTimeout {
  #timeoutMs = Infinity;

  /** Records that the worker has closed a connection that was idle. */
  recordClose(idleMs: number): void {
    this.#timeoutMs = Math.min(this.#timeoutMs, idleMs);
  }

  /** Records that a connection has been idle and is open. */
  recordOpen(idleMs: number): void {
    if (idleMs > LONGER_FACTOR * this.#timeoutMs) this.#timeoutMs = idleMs;
  }

  /** Returns whether a connection that was idle for some time may be used. */
  allows(idleMs: number): boolean {
    return idleMs <= USED_SHARE * this.#timeoutMs;
  }
}
