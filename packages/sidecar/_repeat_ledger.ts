/** What the operator allows, over all nodes and in every span of a length. */
export interface RepeatBound {
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
export interface Excess {
  readonly service: string;
  readonly repeats: number;
  readonly allowed: number;
}

/**
 * Arrivals at the workers of a fleet, as the operator counts them: a repeat is
 * an arrival beyond the first of its request, or a call of a run that was
 * itself a repeat.
 */
export class RepeatLedger {
  readonly #arrivals: Arrival[] = [];
  readonly #seen = new Set<string>();
  readonly #callsOfRepeats = new Set<string>();
  #calls = 0;

  /** Notes that a worker runs a request; returns whether it is a repeat. */
  arrive(service: string, requestId: string): boolean {
    const isRepeat = this.#seen.has(requestId) ||
      this.#callsOfRepeats.has(requestId);
    this.#seen.add(requestId);
    this.#arrivals.push({ at: performance.now(), service, isRepeat });
    return isRepeat;
  }

  /** Identity of a new call that a run makes. */
  callOf(requestId: string, isRepeat: boolean): string {
    const call = `${requestId}.${++this.#calls}`;
    if (isRepeat) this.#callsOfRepeats.add(call);
    return call;
  }

  /** Repeats of a service so far. */
  repeatsOf(service: string): number {
    return this.#of(service).filter(({ isRepeat }) => isRepeat).length;
  }

  /**
   * The span with most repeats beyond what is allowed, if there is one. Requests
   * count in the span, in the one before it or in the one half a span before
   * it, whichever has most.
   */
  worstExcess(
    service: string,
    { ratio, baseRepeats, windowMs }: RepeatBound,
  ): Excess | undefined {
    const arrivals = this.#of(service);
    const requests = arrivals.filter(({ isRepeat }) => !isRepeat);
    const repeats = arrivals.filter(({ isRepeat }) => isRepeat);
    const within = (list: readonly Arrival[], from: number) =>
      list.filter(({ at }) => at >= from && at < from + windowMs).length;
    const [worst] = repeats.map(({ at }) => {
      const most = Math.max(
        ...[0, windowMs / 2, windowMs].map((back) =>
          within(requests, at - back)
        ),
      );
      const allowed = ratio * most + baseRepeats;
      return { service, repeats: within(repeats, at), allowed };
    }).sort((one, other) => beyond(other) - beyond(one));
    return worst !== undefined && beyond(worst) > 0 ? worst : undefined;
  }

  #of(service: string): readonly Arrival[] {
    return this.#arrivals.filter((arrival) => arrival.service === service);
  }
}

function beyond({ repeats, allowed }: Excess): number {
  return repeats - allowed;
}
