import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import { DeckError, type ExecutionStatus } from "@oleanderdeck/errors";
import type { Clock } from "@oleanderdeck/settings";
import { parsePermit, type Permit, signedPart } from "./permit.ts";

/** Time for which a permit may be used, in milliseconds. */
export const PERMIT_TERM_MS = 600_000;

/**
 * Time after the expiry for which a used permit is remembered, in
 * milliseconds, so that `permit_expired` (never used) stays accurate.
 */
export const EXPIRED_TERM_MS = 60_000;

/** Greatest answer that is kept for repeated requests, in bytes. */
export const MAX_CACHED_ANSWER_BYTES = 65_536;

/** Bound on all kept answers together, in bytes. */
export const KEPT_TOTAL_BYTES = 16 * 1024 * 1024;

/** Bound on remembered permits; a full ledger begins no new request. */
export const MAXIMUM_USED_PERMITS = 200_000;

/**
 * Fixed part of the size of a kept answer, in bytes: about 2 KB of heap were
 * seen per kept answer of 200 bytes with ten header lines.
 */
const ANSWER_OVERHEAD_BYTES = 2048;

/** Whole answer of a finished request. */
export interface CachedAnswer {
  readonly status: number;
  /** Header names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** How a request under a permit ended. */
export type Outcome =
  /** The backend server answered; the answer is absent when not kept. */
  | { readonly state: "answered"; readonly answer: CachedAnswer | undefined }
  /** The request may have run; it never runs again. */
  | { readonly state: "unknown" }
  /** The request was accurately not run; the permit can be used again. */
  | { readonly state: "not_run"; readonly error: DeckError };

/** What a request under a permit has to do. */
export type Begin =
  | { readonly action: "run" }
  /** The same request is running; the listener gets its outcome. */
  | {
    readonly action: "join";
    readonly onOutcome: (listener: (outcome: Outcome) => void) => void;
  }
  /** The same request has ended. */
  | { readonly action: "answer"; readonly outcome: Outcome }
  | { readonly action: "refuse"; readonly error: DeckError };

/** Options of {@linkcode PermitLedger}. */
export interface PermitLedgerOptions {
  readonly nodeId: string;
  readonly incarnation: bigint;
  readonly clock: Clock;
  /** {@linkcode MAXIMUM_USED_PERMITS} if absent. */
  readonly maximumUsedPermits?: number;
  /** {@linkcode KEPT_TOTAL_BYTES} if absent. */
  readonly keptTotalBytes?: number;
}

interface Entry {
  readonly fingerprint: string;
  readonly forgetAt: number;
  outcome: Outcome | undefined;
  listeners: ((outcome: Outcome) => void)[] | undefined;
}

/**
 * Permits issued by one incarnation of a node and the requests that used them.
 * An issued permit takes no memory until it is used.
 */
export class PermitLedger {
  readonly #options: PermitLedgerOptions;
  readonly #key = randomBytes(32);
  readonly #entries = new Map<number, Entry>();
  readonly #kept = new Map<number, number>();
  #keptBytes = 0;
  #sequence = 0;

  /** @param options Identity of the node, clock and bounds. */
  constructor(options: PermitLedgerOptions) {
    this.#options = options;
  }

  /** Number of remembered permits. */
  get size(): number {
    return this.#entries.size;
  }

  /** Bytes of kept answers. */
  get keptBytes(): number {
    return this.#keptBytes;
  }

  /** Issues a permit for one request. */
  issue(): string {
    const part = signedPart({
      nodeId: this.#options.nodeId,
      incarnation: this.#options.incarnation,
      sequence: ++this.#sequence,
      expiry: Math.ceil(this.#options.clock.now()) + PERMIT_TERM_MS,
    });
    return `${part}.${this.#code(part)}`;
  }

  /**
   * Checks a permit. A permit of another node is on the right side; its issuer
   * decides. `malformed_request` for a text that is no permit or has a wrong
   * code, `outcome_unknown` for a permit of an earlier incarnation.
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
    const expected = this.#code(signedPart(permit));
    return timingSafeEqual(Buffer.from(expected), Buffer.from(permit.mac))
      ? Right(permit)
      : Left(notAPermit());
  }

  /** Tells whether this incarnation issued a checked permit. */
  isOwn(permit: Permit): boolean {
    return permit.nodeId === this.#options.nodeId;
  }

  /**
   * Begins a request under a permit that this ledger issued, or joins it.
   *
   * @param permit Permit on the right side of {@linkcode PermitLedger.check}.
   * @param fingerprint Text that is equal for repetitions of one request only.
   */
  begin(permit: Permit, fingerprint: string): Begin {
    this.#expire();
    const entry = this.#entries.get(permit.sequence);
    if (entry !== undefined) return this.#repeat(entry, fingerprint);
    const now = this.#options.clock.now();
    if (now >= permit.expiry) {
      const forgotten = now >= permit.expiry + EXPIRED_TERM_MS;
      return refuse(
        new DeckError(forgotten ? "outcome_unknown" : "permit_expired"),
      );
    }
    const maximum = this.#options.maximumUsedPermits ?? MAXIMUM_USED_PERMITS;
    if (this.#entries.size >= maximum) {
      return refuse(
        new DeckError("queue_full", {
          message: "The node holds too many non-idempotent requests",
        }),
      );
    }
    this.#entries.set(permit.sequence, {
      fingerprint,
      forgetAt: permit.expiry + EXPIRED_TERM_MS,
      outcome: undefined,
      listeners: undefined,
    });
    return { action: "run" };
  }

  /**
   * Records how a begun request ended and tells those who joined it. Only the
   * first call for a begin has an effect.
   */
  finish(permit: Permit, outcome: Outcome): void {
    const entry = this.#entries.get(permit.sequence);
    if (entry === undefined || entry.outcome !== undefined) return;
    if (outcome.state === "not_run") {
      this.#entries.delete(permit.sequence);
    } else {
      entry.outcome = outcome;
      this.#keep(permit.sequence, outcome);
    }
    const { listeners } = entry;
    entry.listeners = undefined;
    listeners?.forEach((listener) => listener(outcome));
  }

  /**
   * Tells how a request under a permit ended: undefined when the permit was
   * not used, `running` while it runs.
   */
  outcome(permit: Permit): Outcome | "running" | undefined {
    this.#expire();
    const entry = this.#entries.get(permit.sequence);
    if (entry !== undefined) return entry.outcome ?? "running";
    const forgotten = this.#options.clock.now() >=
      permit.expiry + EXPIRED_TERM_MS;
    return forgotten ? { state: "unknown" } : undefined;
  }

  /**
   * Tells what is known about an earlier run of a request, for a refusal that
   * is made without asking the issuer of its permit.
   *
   * @param identity Identity that the caller sent; `no` if it is no permit.
   */
  runOf(identity: string | undefined): ExecutionStatus {
    if (identity === undefined || parsePermit(identity) === undefined) {
      return "no";
    }
    return this.check(identity).caseOf<ExecutionStatus>({
      Left: ({ run }) => run,
      Right: (permit) =>
        this.isOwn(permit) ? this.#runOfOwn(permit) : "unknown",
    });
  }

  #runOfOwn(permit: Permit): ExecutionStatus {
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

  #repeat(entry: Entry, fingerprint: string): Begin {
    if (entry.fingerprint !== fingerprint) {
      return refuse(
        new DeckError("malformed_request", {
          message: "The permit was used for a different request",
        }),
      );
    }
    if (entry.outcome !== undefined) {
      return { action: "answer", outcome: entry.outcome };
    }
    return {
      action: "join",
      onOutcome: (listener) => (entry.listeners ??= []).push(listener),
    };
  }

  #keep(sequence: number, outcome: Outcome): void {
    if (outcome.state !== "answered" || outcome.answer === undefined) return;
    const bytes = outcome.answer.body.byteLength + ANSWER_OVERHEAD_BYTES;
    this.#kept.set(sequence, bytes);
    this.#keptBytes += bytes;
    const limit = this.#options.keptTotalBytes ?? KEPT_TOTAL_BYTES;
    for (const oldest of this.#kept.keys()) {
      if (this.#keptBytes <= limit) return;
      this.#drop(oldest);
      const entry = this.#entries.get(oldest);
      if (entry !== undefined) {
        entry.outcome = { state: "answered", answer: undefined };
      }
    }
  }

  #drop(sequence: number): void {
    this.#keptBytes -= this.#kept.get(sequence) ?? 0;
    this.#kept.delete(sequence);
  }

  // Entries are in the order of their first use, which is nearly the order of
  // their expiry; an entry behind a later one is dropped a little later.
  #expire(): void {
    const now = this.#options.clock.now();
    for (const [sequence, entry] of this.#entries) {
      if (now < entry.forgetAt) return;
      if (entry.outcome === undefined) continue;
      this.#drop(sequence);
      this.#entries.delete(sequence);
    }
  }

  #code(part: string): string {
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
