/** Limit that the operator sets, over all nodes and in every window. */
export interface RepeatLimit {
  readonly ratio: number;
  readonly baseRepeats: number;
  readonly windowMs: number;
}

/** Arrival of a call at a worker. */
interface Arrival {
  /** Monotonic time in milliseconds. */
  readonly at: number;
  readonly service: string;
  readonly isRepeat: boolean;
}

/** Window in which a service received more repeats than allowed. */
export interface LimitViolation {
  readonly service: string;
  readonly repeats: number;
  readonly allowed: number;
}

/**
 * Records the arrivals at the workers of a fleet as the operator counts them. A
 * repeat is an arrival of a request after its first one, or a call made by an
 * execution that is itself a repeat.
 */
export class RepeatTracker {
  readonly #arrivals: Arrival[] = [];
  readonly #seenRequests = new Set<string>();
  readonly #repeatCallIds = new Set<string>();
  #callCount = 0;

  /**
   * Records that a worker runs a request.
   *
   * @returns Whether the arrival is a repeat.
   */
  recordArrival(service: string, requestId: string): boolean {
    const isRepeat = this.#seenRequests.has(requestId) ||
      this.#repeatCallIds.has(requestId);
    this.#seenRequests.add(requestId);
    this.#arrivals.push({ at: performance.now(), service, isRepeat });
    return isRepeat;
  }

  /**
   * Returns the identity of a new call that an execution makes.
   *
   * @param requestId Identity of the request that is executed.
   * @param isRepeat Whether that execution is a repeat.
   */
  newCallId(requestId: string, isRepeat: boolean): string {
    const call = `${requestId}.${++this.#callCount}`;
    if (isRepeat) this.#repeatCallIds.add(call);
    return call;
  }

  /** Returns the number of repeats that a service has received so far. */
  repeatsOf(service: string): number {
    return this.#arrivalsOf(service).filter(({ isRepeat }) => isRepeat).length;
  }

  /**
   * Returns the window that exceeds the limit by most repeats, or undefined if
   * none exceeds it. The requests that allow repeats are those of the window
   * itself, of the window that begins half a length earlier, or of the one that
   * begins a length earlier, whichever has most.
   */
  worstViolation(
    service: string,
    { ratio, baseRepeats, windowMs }: RepeatLimit,
  ): LimitViolation | undefined {
    const arrivals = this.#arrivalsOf(service);
    const requests = arrivals.filter(({ isRepeat }) => !isRepeat);
    const repeats = arrivals.filter(({ isRepeat }) => isRepeat);
    const countInWindow = (list: readonly Arrival[], from: number) =>
      list.filter(({ at }) => at >= from && at < from + windowMs).length;
    const [worst] = repeats.map(({ at }) => {
      const maxRequests = Math.max(
        ...[0, windowMs / 2, windowMs].map((offsetMs) =>
          countInWindow(requests, at - offsetMs)
        ),
      );
      const allowed = ratio * maxRequests + baseRepeats;
      return { service, repeats: countInWindow(repeats, at), allowed };
    }).sort((one, other) => excessOf(other) - excessOf(one));
    return worst !== undefined && excessOf(worst) > 0 ? worst : undefined;
  }

  #arrivalsOf(service: string): readonly Arrival[] {
    return this.#arrivals.filter((arrival) => arrival.service === service);
  }
}

function excessOf({ repeats, allowed }: LimitViolation): number {
  return repeats - allowed;
}
