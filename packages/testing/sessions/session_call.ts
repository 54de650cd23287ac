import type { Priority } from "@oleanderdeck/agreement";
import type { DeckError, ExecutionStatus } from "@oleanderdeck/errors";

/** Context of a parent call, for which a worker makes a child call. */
export interface CallParent {
  readonly callId: Uint8Array;
  /** Number of retries that the parent call lends to its child calls. */
  readonly lentRetries: number;
  /** Node that holds the lent retries. */
  readonly audience: string;
  readonly audienceIncarnation: bigint;
  /** Service whose worker makes the call. */
  readonly service: string;
  readonly priority: Priority;
  readonly shedKey: number;
}

/** A call that a node receives. */
export interface SessionCall {
  /** Number of the sending by a caller that this call belongs to. */
  readonly sending: number;
  /** Identity of the request in the recorded events. */
  readonly identity: string;
  /** Name of the request template, or a text for a child call. */
  readonly work: string;
  readonly permit: string | undefined;
  readonly organisation: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly timeoutMs: number;
  readonly parent: CallParent | undefined;
  /**
   * `serve`: forwarded to the node whose worker runs the call; `permit`:
   * forwarded to the issuer of the permit; undefined: not forwarded.
   */
  readonly mode: "serve" | "permit" | undefined;
  /** Whether the call was made for another call, directly or indirectly. */
  readonly child: boolean;
  readonly attempt: number;
  /** Length of the complete request body in bytes. */
  readonly bodyBytes: number;
  /** Bytes of the body that arrive; fewer if the caller's connection breaks. */
  readonly arrivingBytes: number;
  /** Whether a truncated body appears complete to the receiver. */
  readonly bodyEndsCleanly: boolean;
}

/** Response of a backend server or a node. */
export interface SessionAnswer {
  /** Error of a rejection; undefined for a complete or truncated response. */
  readonly error: DeckError | undefined;
  readonly run: ExecutionStatus;
  /** Identity of the request that the response belongs to. */
  readonly requestIdentity: string;
  /** Bytes of the body that arrive. */
  readonly bytes: number;
  /** Length of the complete body in bytes. */
  readonly totalBytes: number;
  /** Whether the connection broke before the end of the body. */
  readonly cut: boolean;
  /** Permit of the request, or a new one to send the request again with. */
  readonly permit?: string;
  /** Time at which a node rejected the call, in milliseconds. */
  readonly rejectedAt?: number;
  /** Admission threshold of the responding node. */
  readonly threshold?: number;
  /** Lent retries that the call did not use. */
  readonly unusedRetries?: number;
}

/** Creates a response that rejects a call. */
export function rejection(
  error: DeckError,
  more: Partial<SessionAnswer> = {},
): SessionAnswer {
  return {
    error,
    run: error.run,
    requestIdentity: "",
    bytes: 0,
    totalBytes: 0,
    cut: false,
    ...more,
  };
}
