/**
 * Part of the time that requests of a route usually have below which a request
 * is taken to come back after a refusal.
 */
const RETURNING_TIME_SHARE = 0.9;

/** Time for which the greatest time left of a route is kept, in milliseconds. */
const USUAL_TIME_WINDOW_MS = 10_000;

/** Weight of an arrival in the share of the requests that come back. */
const RETURNING_WEIGHT = 0.02;

/** Least share of new requests, as a part of the share of all. */
const MIN_NEW_SHARE = 0.5;

/** Credit that an idle route keeps at most, in requests. */
const MAX_CREDIT = 2;

/**
 * Least retry delay for the caller of a refused request, and the greatest one
 * for a slight and for a deep overload, in milliseconds. The least is about the
 * time in which the shares follow a change of the load.
 */
const MIN_RETRY_AFTER_MS = 300;
const SLIGHT_RETRY_AFTER_MS = 600;
const DEEP_RETRY_AFTER_MS = 2_000;

/** Maximum number of keys whose requests are remembered. */
const MAX_KEYS = 16_384;

/** Request that begins a chain. */
export interface RootRequest {
  /** Name of the route and, if it has one, of the organisation. */
  readonly key: string;
  /** Share of the requests to admit, 0 to 1. */
  readonly admittedShare: number;
  /** Time for which the caller still waits, in milliseconds. */
  readonly timeLeftMs: number;
}

/** Decision on a request that begins a chain. */
export interface RootDecision {
  readonly isAdmitted: boolean;
  /** Share with which requests like this one are admitted, above 0 and up to 1. */
  readonly share: number;
}

/** Requests of one route at this node. */
interface RouteState {
  /** Requests that may be admitted, of new ones and of those that come back. */
  readonly credits: [number, number];
  returningShare: number;
  usualTimeMs: number;
  previousUsualTimeMs: number;
  windowEndsAt: number;
}

/**
 * Admits a share of the requests that begin chains, at a node that knows nothing
 * of the other nodes at which chains begin. It answers an overload of services
 * that the chains reach. Credits keep the admitted number close to the share, so
 * that many nodes with few requests each admit about as many together as one
 * would. Requests that come back after a refusal have a greater share than new
 * ones, since a second refusal costs them their deadline; the share of all stays
 * the same.
 */
export class RootAdmission {
  readonly #routes = new Map<string, RouteState>();

  /**
   * Decides on a request.
   *
   * @param request Route, share and time left.
   * @param now Time of a steady clock, in milliseconds.
   */
  decide(request: RootRequest, now: number): RootDecision {
    const { admittedShare, key, timeLeftMs } = request;
    const state = this.#stateOf(key);
    const isReturning = isReturningRequest(state, timeLeftMs, now);
    state.returningShare += RETURNING_WEIGHT *
      ((isReturning ? 1 : 0) - state.returningShare);
    if (admittedShare >= 1) return { isAdmitted: true, share: 1 };
    const share = roundUp(shareOf(state, { admittedShare, isReturning }));
    const index = isReturning ? 1 : 0;
    const credit = Math.min(MAX_CREDIT, state.credits[index] + share);
    const isAdmitted = credit >= 1;
    state.credits[index] = isAdmitted ? credit - 1 : credit;
    return { isAdmitted, share };
  }

  // The first credits are random: nodes that begin to limit at the same time
  // would otherwise all refuse their first requests.
  #stateOf(key: string): RouteState {
    const known = this.#routes.get(key);
    if (known !== undefined) return known;
    const state: RouteState = {
      credits: [Math.random(), Math.random()],
      returningShare: 0,
      usualTimeMs: 0,
      previousUsualTimeMs: 0,
      windowEndsAt: -Infinity,
    };
    if (this.#routes.size >= MAX_KEYS) this.#routes.clear();
    this.#routes.set(key, state);
    return state;
  }
}

/**
 * Returns the retry delay of a refused request, in milliseconds. The delays are
 * spread over the time in which there is room for the refused requests.
 *
 * @param share Share of the requests that is admitted, 0 to 1.
 * @param random Random number, 0 to 1.
 */
export function retryAfterRefusalMs(share: number, random: number): number {
  const greatest = Math.min(
    DEEP_RETRY_AFTER_MS,
    SLIGHT_RETRY_AFTER_MS / Math.max(share, 0.01),
  );
  return MIN_RETRY_AFTER_MS + random * (greatest - MIN_RETRY_AFTER_MS);
}

function isReturningRequest(
  state: RouteState,
  timeLeftMs: number,
  now: number,
): boolean {
  if (now >= state.windowEndsAt) {
    state.previousUsualTimeMs = state.usualTimeMs;
    state.usualTimeMs = 0;
    state.windowEndsAt = now + USUAL_TIME_WINDOW_MS;
  }
  state.usualTimeMs = Math.max(state.usualTimeMs, timeLeftMs);
  const usualMs = Math.max(state.usualTimeMs, state.previousUsualTimeMs);
  return timeLeftMs < RETURNING_TIME_SHARE * usualMs;
}

// The share is sent with each call of the chain.
function roundUp(share: number): number {
  return Math.min(1, Math.max(0.001, Math.ceil(share * 1_000) / 1_000));
}

// A request that comes back is admitted as if it had two chances; new ones make
// room for it, so that the share of all requests stays the same.
function shareOf(
  { returningShare }: RouteState,
  { admittedShare, isReturning }: {
    readonly admittedShare: number;
    readonly isReturning: boolean;
  },
): number {
  const twice = 1 - (1 - admittedShare) ** 2;
  const newShare = Math.max(
    MIN_NEW_SHARE * admittedShare,
    (admittedShare - returningShare * twice) /
      Math.max(1 - returningShare, Number.EPSILON),
  );
  if (!isReturning) return newShare;
  const left = admittedShare - (1 - returningShare) * newShare;
  return Math.min(
    twice,
    Math.max(admittedShare, left / Math.max(returningShare, Number.EPSILON)),
  );
}
