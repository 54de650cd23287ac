import {
  ERROR_DETAILS,
  type ErrorKind,
  type ExecutionStatus,
} from "./error_kind.ts";

/** Options of {@linkcode DeckError}. */
export interface DeckErrorOptions {
  /** What happened, as a sentence without a full stop; the kind's if absent. */
  readonly message?: string;
  /** Whether the request was run; the default of the kind if absent. */
  readonly run?: ExecutionStatus;
  /** Time to wait before a retry, in milliseconds; the default if absent. */
  readonly retryAfterMs?: number;
  /** Error that caused this one. */
  readonly cause?: unknown;
}

/**
 * An expected error of a closed list of kinds. Functions return it on the left
 * side of an `Either`; RPC handlers and the call server convert it to an
 * answer.
 */
export class DeckError extends Error {
  override readonly name = "DeckError";
  /** Kind of the error. */
  readonly kind: ErrorKind;
  /** Whether the request was run. */
  readonly run: ExecutionStatus;
  /** Time to wait before a retry, in milliseconds. */
  readonly retryAfterMs: number;

  /**
   * @param kind Kind of the error.
   * @param options Text and details that replace the defaults of the kind.
   */
  constructor(kind: ErrorKind, options: DeckErrorOptions = {}) {
    const defaults = ERROR_DETAILS[kind];
    super(options.message ?? defaults.text, { cause: options.cause });
    this.kind = kind;
    this.run = options.run ?? defaults.run;
    this.retryAfterMs = options.retryAfterMs ?? defaults.retryAfterMs;
  }
}
