import { createHash, randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Dispatcher } from "undici";
import {
  CONTROL_PREFIX,
  CREDENTIAL_FIELD,
  REQUEST_FIELD,
  TIMEOUT_FIELD,
} from "@oleanderdeck/protocol";
import { type AttemptResult, BODY_HASH_FIELD, sendAttempt } from "./attempt.ts";
import type { LoadCall } from "./load_description.ts";

/** Options of {@linkcode Caller}, shared by the callers of a run. */
export interface CallerOptions {
  /** Returns the connections to the next node, in rotation. */
  readonly nextNode: () => Dispatcher;
  /** Source of the jitter of retry delays. */
  readonly random: RandomGenerator;
  /** Cancels all attempts and retry delays. */
  readonly signal: AbortSignal;
  /** Receives the result of each attempt and its number, 1 for the first. */
  readonly onAttempt: (result: AttemptResult, attempt: number) => void;
  /** Receives the result of each request for a permit. */
  readonly onPermit: (result: AttemptResult) => void;
}

/**
 * Time that a caller waits beyond the timeout of a call, because a node
 * responds with `deadline_exceeded` at the deadline and this response takes
 * time to arrive.
 */
export const DEADLINE_GRACE_MS = 100;

/**
 * Maximum number of retries of a call with the permit from a `permit_required`
 * rejection. They are made in addition to the attempts in the load description.
 */
const MAX_PERMIT_RETRIES = 1;

/**
 * Maximum random extension of a retry delay, as a fraction of the delay. It
 * prevents many callers from retrying at the same time.
 */
const MAX_DELAY_JITTER = 0.5;

const NON_IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(["POST", "PATCH"]);

function parsePermit(body: string): string | undefined {
  try {
    const { permit } = JSON.parse(body) as { permit?: unknown };
    return typeof permit === "string" ? permit : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Sends calls of one kind and retries them according to the load description.
 */
export class Caller {
  readonly #call: LoadCall;
  readonly #options: CallerOptions;
  readonly #headers: Readonly<Record<string, string>>;
  readonly #credential: Readonly<Record<string, string>>;
  readonly #body: Buffer | undefined;
  readonly #isIdempotent: boolean;

  /**
   * @param call Kind of call.
   * @param options Nodes, random generator and callbacks for results.
   */
  constructor(call: LoadCall, options: CallerOptions) {
    this.#call = call;
    this.#options = options;
    this.#isIdempotent = !NON_IDEMPOTENT_METHODS.has(call.method);
    this.#credential = call.credential === undefined
      ? {}
      : { [CREDENTIAL_FIELD]: call.credential };
    this.#body = call.bodyBytes === 0
      ? undefined
      : Buffer.alloc(call.bodyBytes, "oleanderdeck ");
    this.#headers = {
      ...this.#credential,
      [TIMEOUT_FIELD]: String(call.timeoutMs),
      ...(this.#body === undefined ? {} : {
        [BODY_HASH_FIELD]: createHash("sha256").update(this.#body)
          .digest("hex"),
      }),
    };
  }

  /**
   * Makes one call with its retries and returns the result of the last attempt.
   */
  async run(): Promise<AttemptResult> {
    const { onAttempt, signal } = this.#options;
    const { permit, retry } = this.#call;
    let identity = this.#firstIdentity();
    let hasPermit = false;
    let permitRetries = 0;
    for (let attempt = 1;; attempt += 1) {
      let result: AttemptResult | undefined;
      if (permit === "first" && !hasPermit) {
        result = await this.#fetchPermit();
        identity = parsePermit(result.body);
        hasPermit = result.outcome === "whole" && identity !== undefined;
      }
      if (result === undefined || hasPermit) {
        result = await this.#send(identity);
        onAttempt(result, attempt + permitRetries);
      }
      if (
        result.kind === "permit_required" && result.identity !== undefined &&
        permit !== "none" && permitRetries < MAX_PERMIT_RETRIES
      ) {
        identity = result.identity;
        hasPermit = true;
        permitRetries += 1;
        attempt -= 1;
        continue;
      }
      if (retry.sameIdentity && attempt < retry.attempts) {
        identity ??= result.identity;
      }
      const retryDelayMs = attempt < retry.attempts
        ? this.#retryDelay(result, hasPermit)
        : undefined;
      if (retryDelayMs === undefined || signal.aborted) return result;
      await sleep(retryDelayMs, undefined, { signal }).catch(() => {});
      if (signal.aborted) return result;
    }
  }

  /**
   * Creates the identity of an idempotent call, by which the node recognises
   * retries. The identity of a non-idempotent call can only be created by a
   * node.
   */
  #firstIdentity(): string | undefined {
    const { attempts, sameIdentity } = this.#call.retry;
    return this.#isIdempotent && sameIdentity && attempts > 1
      ? randomUUID()
      : undefined;
  }

  #send(identity: string | undefined): Promise<AttemptResult> {
    const { service, path, method, timeoutMs } = this.#call;
    return sendAttempt(this.#options.nextNode(), {
      method,
      path: `/${service}${path}`,
      headers: identity === undefined
        ? this.#headers
        : { ...this.#headers, [REQUEST_FIELD]: identity },
      body: this.#body,
      timeoutMs: timeoutMs + DEADLINE_GRACE_MS,
      signal: this.#options.signal,
    });
  }

  async #fetchPermit(): Promise<AttemptResult> {
    const result = await sendAttempt(this.#options.nextNode(), {
      method: "POST",
      path: `${CONTROL_PREFIX}permits`,
      headers: this.#credential,
      body: undefined,
      timeoutMs: this.#call.timeoutMs,
      signal: this.#options.signal,
      keepsBody: true,
    });
    this.#options.onPermit(result);
    // The call itself was not sent.
    return result.outcome === "whole" ? result : { ...result, run: "no" };
  }

  /**
   * Returns the delay before the next attempt in milliseconds, or undefined if
   * the call is not to be retried.
   */
  #retryDelay(
    result: AttemptResult,
    hasPermit: boolean,
  ): number | undefined {
    const { pauseMs, when } = this.#call.retry;
    if (result.outcome === "whole" || result.outcome === "cancelled") return;
    if (when === "always") return pauseMs;
    const isSafeToRetry = this.#isIdempotent || hasPermit ||
      result.run === "no";
    const isErrorResponse = result.outcome === "rejected" ||
      result.outcome === "error_status";
    if (
      !isSafeToRetry || (isErrorResponse && result.retryAfterMs === undefined)
    ) return;
    const delayMs = result.retryAfterMs ?? pauseMs;
    return delayMs *
      (1 + MAX_DELAY_JITTER * uniformFloat64(this.#options.random));
  }
}
