import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import { DeckError, type ExecutionStatus } from "@oleanderdeck/errors";
import type { Clock } from "@oleanderdeck/settings";
import { parsePermit, type Permit, signedPart } from "./permit.ts";

/** Time from its issue during which a permit can be used, in milliseconds. */
export const PERMIT_TTL_MS = 600_000;

/**
 * Time after its expiry for which a used permit is retained, in milliseconds.
 * Until then, `permit_expired` reliably means that the permit was not used.
 */
export const EXPIRED_PERMIT_RETENTION_MS = 60_000;

/** Maximum body size of an answer cached for repeated requests, in bytes. */
export const MAX_CACHED_ANSWER_BYTES = 65_536;

/** Maximum total size of all cached answers, in bytes. */
export const ANSWER_CACHE_CAPACITY_BYTES = 16 * 1024 * 1024;

/** Maximum number of used permits; a full ledger refuses new requests. */
export const MAXIMUM_USED_PERMITS = 200_000;

/**
 * Size accounted for each cached answer in addition to its body, in bytes: an
 * answer of 200 bytes with ten header lines occupies about 2 KB of heap.
 */
const ANSWER_OVERHEAD_BYTES = 2048;

/** Complete answer to a finished request. */
export interface CachedAnswer {
  readonly status: number;
  /** Header names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** How a request under a permit ended. */
export type Outcome =
  /** The backend server answered; `answer` is undefined if it is not cached. */
  | { readonly state: "answered"; readonly answer: CachedAnswer | undefined }
  /** The request may have run; it is not run again under this permit. */
  | { readonly state: "unknown" }
  /** The request definitely did not run; the permit can be used again. */
  | { readonly state: "not_run"; readonly error: DeckError };

/** What to do with a request under a permit, decided by its ledger. */
export type Begin =
  | { readonly action: "run" }
  /** The same request is running; the listener receives its outcome. */
  | {
    readonly action: "join";
    readonly onOutcome: (listener: (outcome: Outcome) => void) => void;
  }
  /** The same request has ended. */
  | { readonly action: "answer"; readonly outcome: Outcome }
  | { readonly action: "refuse"; readonly error: DeckError };

/** Options of {@linkcode PermitLedger}. */
export interface PermitLedgerOptions {
  /** Identifier of the node, part of the permits that the ledger issues. */
  readonly nodeId: string;
  /** Incarnation of the node; permits of another incarnation are refused. */
  readonly incarnation: bigint;
  readonly clock: Clock;
  /**
   * Maximum number of used permits; {@linkcode MAXIMUM_USED_PERMITS} if
   * absent.
   */
  readonly maximumUsedPermits?: number;
  /**
   * Maximum total size of cached answers in bytes;
   * {@linkcode ANSWER_CACHE_CAPACITY_BYTES} if absent.
   */
  readonly answerCacheCapacityBytes?: number;
}

/** Record of the request that used a permit. */
interface UsedPermit {
  /** Text that identifies the request. */
  readonly fingerprint: string;
  /** Time on the ledger's clock, in milliseconds. */
  readonly retainedUntil: number;
  /** Outcome of the request; undefined while it is running. */
  outcome: Outcome | undefined;
  /** Listeners of the repeats that wait for the outcome. */
  listeners: ((outcome: Outcome) => void)[] | undefined;
}

/**
 * Issues the permits of one incarnation of a node and records the requests that
 * used them. A permit occupies no memory until it is used.
 */
export class PermitLedger {
  readonly #options: PermitLedgerOptions;
  readonly #key = randomBytes(32);
  /** Used permits by sequence number, in the order of their first use. */
  readonly #usedPermits = new Map<number, UsedPermit>();
  /** Accounted sizes of cached answers by sequence number, oldest first. */
  readonly #cachedAnswerSizes = new Map<number, number>();
  #cachedBytes = 0;
  #sequence = 0;

  /** @param options Identity of the node, clock and bounds. */
  constructor(options: PermitLedgerOptions) {
    this.#options = options;
  }

  /** Number of used permits that are retained. */
  get size(): number {
    return this.#usedPermits.size;
  }

  /** Total accounted size of the cached answers, in bytes. */
  get cachedBytes(): number {
    return this.#cachedBytes;
  }

  /** Issues a permit for one request. */
  issue(): string {
    const part = signedPart({
      nodeId: this.#options.nodeId,
      incarnation: this.#options.incarnation,
      sequence: ++this.#sequence,
      expiry: Math.ceil(this.#options.clock.now()) + PERMIT_TTL_MS,
    });
    return `${part}.${this.#computeMac(part)}`;
  }

  /**
   * Checks a permit. A permit of another node is accepted unverified, because
   * only its issuer can verify it.
   *
   * @param text Text of the permit.
   * @returns The permit, or an error on the left side: `malformed_request` for
   * a text that is not a permit or has a wrong message authentication code,
   * `outcome_unknown` for a permit of another incarnation of this node.
   */
  check(text: string): Either<DeckError, Permit> {
    const permit = parsePermit(text);
    if (permit === undefined) return Left(notAPermit());
    if (permit.nodeId !== this.#options.nodeId) return Right(permit);
    if (permit.incarnation !== this.#options.incarnation) {
      return Left(
        new DeckError("outcome_unknown", {
          message: "The node that issued the permit has restarted",
        }),
      );
    }
    const expected = this.#computeMac(signedPart(permit));
    return timingSafeEqual(Buffer.from(expected), Buffer.from(permit.mac))
      ? Right(permit)
      : Left(notAPermit());
  }

  /**
   * Returns whether this ledger issued a permit.
   *
   * @param permit Permit on the right side of {@linkcode PermitLedger.check}.
   */
  isOwn(permit: Permit): boolean {
    return permit.nodeId === this.#options.nodeId;
  }

  /**
   * Begins a request under a permit that this ledger issued, or lets a repeat
   * join the running request.
   *
   * @param permit Permit on the right side of {@linkcode PermitLedger.check}.
   * @param fingerprint Text that is the same only for repeats of one request.
   */
  begin(permit: Permit, fingerprint: string): Begin {
    this.#expire();
    const usedPermit = this.#usedPermits.get(permit.sequence);
    if (usedPermit !== undefined) {
      return this.#handleRepeat(usedPermit, fingerprint);
    }
    const now = this.#options.clock.now();
    if (now >= permit.expiry) {
      const retentionEnded = now >= permit.expiry + EXPIRED_PERMIT_RETENTION_MS;
      return refuse(
        new DeckError(retentionEnded ? "outcome_unknown" : "permit_expired"),
      );
    }
    const maximum = this.#options.maximumUsedPermits ?? MAXIMUM_USED_PERMITS;
    if (this.#usedPermits.size >= maximum) {
      return refuse(
        new DeckError("queue_full", {
          message: "The node holds too many non-idempotent requests",
        }),
      );
    }
    this.#usedPermits.set(permit.sequence, {
      fingerprint,
      retainedUntil: permit.expiry + EXPIRED_PERMIT_RETENTION_MS,
      outcome: undefined,
      listeners: undefined,
    });
    return { action: "run" };
  }

  /**
   * Records the outcome of a request and notifies the repeats that joined it.
   * Only the first call for a request that was begun has an effect.
   */
  finish(permit: Permit, outcome: Outcome): void {
    const usedPermit = this.#usedPermits.get(permit.sequence);
    if (usedPermit === undefined || usedPermit.outcome !== undefined) return;
    if (outcome.state === "not_run") {
      this.#usedPermits.delete(permit.sequence);
    } else {
      usedPermit.outcome = outcome;
      this.#cacheAnswer(permit.sequence, outcome);
    }
    const { listeners } = usedPermit;
    usedPermit.listeners = undefined;
    listeners?.forEach((listener) => listener(outcome));
  }

  /**
   * Returns the outcome of the request under a permit: undefined if the permit
   * was not used, `running` while the request is running.
   */
  outcome(permit: Permit): Outcome | "running" | undefined {
    this.#expire();
    const usedPermit = this.#usedPermits.get(permit.sequence);
    if (usedPermit !== undefined) return usedPermit.outcome ?? "running";
    const retentionEnded = this.#options.clock.now() >=
      permit.expiry + EXPIRED_PERMIT_RETENTION_MS;
    return retentionEnded ? { state: "unknown" } : undefined;
  }

  /**
   * Returns whether a request may have run earlier, for a refusal that is made
   * without querying the issuer of its permit.
   *
   * @param identity Identity that the caller sent. The result is `no` if it is
   * not a permit.
   */
  executionStatusOf(identity: string | undefined): ExecutionStatus {
    if (identity === undefined || parsePermit(identity) === undefined) {
      return "no";
    }
    return this.check(identity).caseOf<ExecutionStatus>({
      Left: ({ run }) => run,
      Right: (permit) =>
        this.isOwn(permit) ? this.#ownExecutionStatus(permit) : "unknown",
    });
  }

  #ownExecutionStatus(permit: Permit): ExecutionStatus {
    const outcome = this.outcome(permit);
    if (outcome === undefined) return "no";
    if (outcome === "running") return "unknown";
    switch (outcome.state) {
      case "answered":
        return "yes";
      case "not_run":
        return "no";
      case "unknown":
        return "unknown";
    }
  }

  #handleRepeat(usedPermit: UsedPermit, fingerprint: string): Begin {
    if (usedPermit.fingerprint !== fingerprint) {
      return refuse(
        new DeckError("malformed_request", {
          message: "The permit was used for a different request",
        }),
      );
    }
    if (usedPermit.outcome !== undefined) {
      return { action: "answer", outcome: usedPermit.outcome };
    }
    return {
      action: "join",
      onOutcome: (listener) => (usedPermit.listeners ??= []).push(listener),
    };
  }

  #cacheAnswer(sequence: number, outcome: Outcome): void {
    if (outcome.state !== "answered" || outcome.answer === undefined) return;
    const bytes = outcome.answer.body.byteLength + ANSWER_OVERHEAD_BYTES;
    this.#cachedAnswerSizes.set(sequence, bytes);
    this.#cachedBytes += bytes;
    const limit = this.#options.answerCacheCapacityBytes ??
      ANSWER_CACHE_CAPACITY_BYTES;
    for (const oldest of this.#cachedAnswerSizes.keys()) {
      if (this.#cachedBytes <= limit) return;
      this.#dropAnswer(oldest);
      const usedPermit = this.#usedPermits.get(oldest);
      if (usedPermit !== undefined) {
        usedPermit.outcome = { state: "answered", answer: undefined };
      }
    }
  }

  #dropAnswer(sequence: number): void {
    this.#cachedBytes -= this.#cachedAnswerSizes.get(sequence) ?? 0;
    this.#cachedAnswerSizes.delete(sequence);
  }

  // Permits are in the order of their first use, which is nearly the order of
  // their expiry. A permit behind one that expires later is removed with a
  // short delay.
  #expire(): void {
    const now = this.#options.clock.now();
    for (const [sequence, usedPermit] of this.#usedPermits) {
      if (now < usedPermit.retainedUntil) return;
      if (usedPermit.outcome === undefined) continue;
      this.#dropAnswer(sequence);
      this.#usedPermits.delete(sequence);
    }
  }

  #computeMac(part: string): string {
    return createHmac("sha256", this.#key).update(part).digest()
      .subarray(0, 16).toString("base64url");
  }
}

function notAPermit(): DeckError {
  return new DeckError("malformed_request", {
    message: "The request identity is not a permit",
  });
}

function refuse(error: DeckError): Begin {
  return { action: "refuse", error };
}
