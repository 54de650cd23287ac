import type { Priority } from "@oleanderdeck/agreement";
import type { DeckError, ExecutionStatus } from "@oleanderdeck/errors";

/** Signed context of a call that was made for another one. */
export interface CallParent {
  readonly callId: Uint8Array;
  readonly lentRetries: number;
  /** Node that holds the lent retries. */
  readonly audience: string;
  readonly audienceIncarnation: bigint;
  /** Service whose worker makes the call. */
  readonly service: string;
  readonly priority: Priority;
  readonly shedKey: number;
}

/** Call as a node receives it. */
export interface SessionCall {
  /** Sending of the caller that this call belongs to. */
  readonly sending: number;
  /** Identity of the request in the recorded events. */
  readonly identity: string;
  readonly work: string;
  readonly permit: string | undefined;
  readonly organisation: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly timeoutMs: number;
  readonly parent: CallParent | undefined;
  /** `serve`: for the own worker; `permit`: to the issuer of the permit. */
  readonly mode: "serve" | "permit" | undefined;
  /** Whether the call was made for another one, at any distance. */
  readonly child: boolean;
  readonly attempt: number;
  /** Bytes of the request body. */
  readonly bodyBytes: number;
  /** Bytes that arrive before the caller's connection breaks, if it does. */
  readonly arrivingBytes: number;
  /** Whether a body that was cut looks whole to the receiver. */
  readonly bodyEndsCleanly: boolean;
}

/** Answer of a backend server or a node. */
export interface SessionAnswer {
  /** Undefined for a whole or a cut answer. */
  readonly error: DeckError | undefined;
  readonly run: ExecutionStatus;
  /** Identity of the request that is answered. */
  readonly requestIdentity: string;
  readonly bytes: number;
  readonly totalBytes: number;
  /** Whether the connection broke before the end of the body. */
  readonly cut: boolean;
  /** Permit of the request, or the one to use next. */
  readonly permit?: string;
  /** Time at which the node that rejects the call stated so. */
  readonly statedAt?: number;
  readonly threshold?: number;
  readonly unusedRetries?: number;
}

/** Answer that rejects a call. */
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
