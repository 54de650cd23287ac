/** What the operator allows, over all nodes and in every span of a length. */
export interface RepeatLimit {
  readonly ratio: number;
  readonly baseRepeats: number;
  readonly windowMs: number;
}

interface Arrival {
  readonly at: number;
  readonly service: string;
  readonly isRepeat: boolean;
}

/** A span in which a service got more repeats than allowed. */
export interface LimitViolation {
  readonly service: string;
  readonly repeats: number;
  readonly allowed: number;
}

/**
 * Arrivals at the workers of a fleet, as the operator counts them: a repeat is
 * an arrival beyond the first of its request, or a call of a run that was
 * itself a repeat.
 */
export class RepeatTracker {
  readonly #arrivals: Arrival[] = [];
  readonly #seenRequests = new Set<string>();
  readonly #repeatCallIds = new Set<string>();
  #callCount = 0;

  /** Notes that a worker runs a request; returns whether it is a repeat. */
  recordArrival(service: string, requestId: string): boolean {
    const isRepeat = this.#seenRequests.has(requestId) ||
      this.#repeatCallIds.has(requestId);
    this.#seenRequests.add(requestId);
    this.#arrivals.push({ at: performance.now(), service, isRepeat });
    return isRepeat;
  }

  /** Identity of a new call that a run makes. */
  newCallId(requestId: string, isRepeat: boolean): string {
    const call = `${requestId}.${++this.#callCount}`;
    if (isRepeat) this.#repeatCallIds.add(call);
    return call;
  }

  /** Repeats of a service so far. */
  repeatsOf(service: string): number {
    return this.#arrivalsOf(service).filter(({ isRepeat }) => isRepeat).length;
  }

  /**
   * The span with most repeats beyond what is allowed, if there is one. Requests
   * count in the span, in the one before it or in the one half a span before
   * it, whichever has most.
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
