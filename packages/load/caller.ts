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

/** What callers share in one run. */
export interface CallerOptions {
  /** Connections to the next node in turn. */
  readonly nextNode: () => Dispatcher;
  readonly random: RandomGenerator;
  /** Ends all attempts and pauses. */
  readonly signal: AbortSignal;
  /** Receives each attempt, with the number of the attempt from 1. */
  readonly onAttempt: (result: AttemptResult, attempt: number) => void;
  /** Receives each request for a permit. */
  readonly onPermit: (result: AttemptResult) => void;
}

/**
 * Time beyond the timeout that a caller waits, because a node answers
 * `deadline_exceeded` at the deadline and this answer takes time to arrive.
 */
export const DEADLINE_GRACE_MS = 100;

/** Attempts that one answer with a permit may add to those of the description. */
const PERMIT_REPETITIONS = 1;

/** Part of a pause by which it is extended at random, against waves of retries. */
const PAUSE_JITTER = 0.5;

const NON_IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(["POST", "PATCH"]);

function parsePermit(body: string): string | undefined {
  try {
    const { permit } = JSON.parse(body) as { permit?: unknown };
    return typeof permit === "string" ? permit : undefined;
  } catch {
    return undefined;
  }
}

/** Sends calls of one kind and repeats them as the description says. */
export class Caller {
  readonly #call: LoadCall;
  readonly #options: CallerOptions;
  readonly #headers: Readonly<Record<string, string>>;
  readonly #credential: Readonly<Record<string, string>>;
  readonly #body: Buffer | undefined;
  readonly #isIdempotent: boolean;

  /**
   * @param call Kind of call.
   * @param options Nodes, randomness and receivers of results.
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

  /** Makes one call with its repetitions and returns the last result. */
  async run(): Promise<AttemptResult> {
    const { onAttempt, signal } = this.#options;
    const { permit, retry } = this.#call;
    let identity = this.#firstIdentity();
    let hasPermit = false;
    let permitRepetitions = 0;
    for (let attempt = 1;; attempt += 1) {
      let result: AttemptResult | undefined;
      if (permit === "first" && !hasPermit) {
        result = await this.#fetchPermit();
        identity = parsePermit(result.body);
        hasPermit = result.outcome === "whole" && identity !== undefined;
      }
      if (result === undefined || hasPermit) {
        result = await this.#send(identity);
        onAttempt(result, attempt + permitRepetitions);
      }
      if (
        result.kind === "permit_required" && result.identity !== undefined &&
        permit !== "none" && permitRepetitions < PERMIT_REPETITIONS
      ) {
        identity = result.identity;
        hasPermit = true;
        permitRepetitions += 1;
        attempt -= 1;
        continue;
      }
      if (retry.sameIdentity && attempt < retry.attempts) {
        identity ??= result.identity;
      }
      const pauseMs = attempt < retry.attempts
        ? this.#pauseBeforeRetry(result, hasPermit)
        : undefined;
      if (pauseMs === undefined || signal.aborted) return result;
      await sleep(pauseMs, undefined, { signal }).catch(() => {});
      if (signal.aborted) return result;
    }
  }

  /**
   * Idempotent calls bring their own identity, so that the node recognises
   * repetitions; for others only a node can make one.
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

  /** Time until the next attempt, or undefined when there is none. */
  #pauseBeforeRetry(
    result: AttemptResult,
    hasPermit: boolean,
  ): number | undefined {
    const { pauseMs, when } = this.#call.retry;
    if (result.outcome === "whole" || result.outcome === "cancelled") return;
    if (when === "always") return pauseMs;
    const isSafe = this.#isIdempotent || hasPermit || result.run === "no";
    const isAnswer = result.outcome === "rejected" ||
      result.outcome === "error_status";
    if (!isSafe || (isAnswer && result.retryAfterMs === undefined)) return;
    const pause = result.retryAfterMs ?? pauseMs;
    return pause * (1 + PAUSE_JITTER * uniformFloat64(this.#options.random));
  }
}
