import type { Exchange } from "./_exchange.ts";
import type { QuotaClaim, RequestQuota } from "./request_quota.ts";

/** Request that needs a token of its organisation's limit. */
export interface TokenRequest {
  readonly organisation: string;
  /** Time by which the caller needs an answer, as of `performance.now()`. */
  readonly deadline: number;
  /** Called with the token, unless the caller has left. */
  readonly onGranted: () => void;
  /** Called if there is none. */
  readonly onRefused: (retryAfterMs: number) => void;
}

/**
 * Tokens of the requests of callers. A token is given back if its request ends
 * without having been sent to a worker, or if no worker has run it.
 */
export class RequestTokens {
  readonly #quota: RequestQuota | undefined;
  readonly #claims = new WeakMap<Exchange, QuotaClaim>();
  /** Requests that a worker may run. */
  readonly #sent = new WeakSet<Exchange>();

  /** @param quota Limits of organisations; undefined if there are none. */
  constructor(quota: RequestQuota | undefined) {
    this.#quota = quota;
  }

  /** Whether a request has to ask for a token. */
  isNeeded(
    exchange: Exchange,
    organisation: string | undefined,
  ): organisation is string {
    return this.#quota !== undefined && organisation !== undefined &&
      !this.#claims.has(exchange);
  }

  /** Asks for the token of a request. */
  acquire(
    exchange: Exchange,
    { organisation, deadline, onGranted, onRefused }: TokenRequest,
  ): void {
    let hasEnded = false;
    exchange.onEnd(() => {
      hasEnded = true;
      if (!this.#sent.has(exchange)) this.release(exchange);
    });
    const claim = this.#quota?.acquire({
      organisation,
      maxWaitMs: deadline - performance.now(),
      decide: ({ isGranted, retryAfterMs }, granted) => {
        this.#claims.set(exchange, granted);
        if (hasEnded) this.release(exchange);
        else if (isGranted) onGranted();
        else onRefused(retryAfterMs);
      },
    });
    if (claim !== undefined && !this.#claims.has(exchange)) {
      this.#claims.set(exchange, claim);
    }
  }

  /** Records that a worker may run the request from now on. */
  markSent(exchange: Exchange): void {
    this.#sent.add(exchange);
  }

  /** Gives the token of a request back, if it has one that is not used up. */
  release(exchange: Exchange): void {
    this.#claims.get(exchange)?.release();
    this.#claims.delete(exchange);
  }
}
