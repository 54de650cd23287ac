/** Decision about a request of an organisation with a limit. */
export interface QuotaDecision {
  readonly isGranted: boolean;
  /**
   * Time after which there is capacity for a refused request, in milliseconds.
   */
  readonly retryAfterMs: number;
}

/** Token of one request, or its place among those that wait for one. */
export interface QuotaClaim {
  /**
   * Gives up the place, or gives back the token of a request that no worker has
   * run. Later calls have no effect.
   */
  release(): void;
}

/** Options of {@linkcode RequestQuota.acquire}. */
export interface QuotaRequest {
  /** Name of the organisation. */
  readonly organisation: string;
  /** Time that the request may wait for a token, in milliseconds. */
  readonly maxWaitMs: number;
  /**
   * Called once with the decision, before `acquire` returns if it needs no wait;
   * not called after the claim was released.
   */
  readonly decide: (decision: QuotaDecision, claim: QuotaClaim) => void;
}

/** Limits of organisations over all hosts. */
export interface RequestQuota {
  /** Takes a token for a request that begins a call chain. */
  acquire(request: QuotaRequest): QuotaClaim;
}
