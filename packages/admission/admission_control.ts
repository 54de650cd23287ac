import type { Either } from "purify-ts";
import type { Priority } from "@oleanderdeck/agreement";
import type { DeckError, ErrorKind } from "@oleanderdeck/errors";

/** Attempt of a call that requests a slot of a worker. */
export interface AdmissionRequest {
  readonly service: string;
  readonly organisation: string;
  readonly priority: Priority;
  /**
   * Shed key of the root request, 0 to 127. Within a priority, requests with
   * higher keys are shed first.
   */
  readonly shedKey: number;
  /**
   * Time in milliseconds on the node's clock after which the caller no longer
   * needs the response.
   */
  readonly deadline: number;
  /** IDs of the nodes whose workers were already tried for this request. */
  readonly excludedNodes: readonly string[];
  /**
   * Whether the attempt counts towards the rate limit of its organisation,
   * which is the case for the first attempt of a root request.
   */
  readonly countsForLimit: boolean;
  /**
   * Whether another node forwarded the request to this one. Such a request
   * runs on this node's own worker or is refused.
   */
  readonly forwarded: boolean;
  /** Service whose worker makes this call; undefined for a root request. */
  readonly callingService: string | undefined;
}

/** Destination of an admitted attempt. */
export interface CallTarget {
  /**
   * `direct` if the call is sent to the backend server, `forward` if it is sent
   * to the serving node.
   */
  readonly kind: "direct" | "forward";
  /** ID of the node beside the worker. */
  readonly nodeId: string;
  /** Incarnation of that node. */
  readonly incarnation: bigint;
  /** `host:port` of the backend server or of the serving node's call port. */
  readonly address: string;
  /** Fencing token for the backend server; empty for a forwarded call. */
  readonly fence: string;
}

/** Outcome of an attempt, as seen by the calling node. */
export interface AttemptResult {
  /** Time from dispatch to the end of the response, in milliseconds. */
  readonly durationMs: number;
  /** Error kind of a failed attempt; undefined for a complete response. */
  readonly failure: ErrorKind | undefined;
  /**
   * Shedding threshold that the serving node sent with the response to a
   * forwarded call; undefined if it sent none.
   */
  readonly threshold: number | undefined;
}

/** Admitted attempt, which holds a slot until it is finished. */
export interface AdmittedAttempt {
  /** Destination of the attempt. */
  readonly target: CallTarget;
  /** Releases the slot. Only the first call has an effect. */
  finish(result: AttemptResult): void;
}

/** Load of a service on this node. */
export interface ServiceLoad {
  readonly service: string;
  /** Calls in progress. */
  readonly running: number;
  /** Attempts that wait for a slot. */
  readonly queued: number;
  /** Slots that this node may use now, summed over all workers. */
  readonly slots: number;
  /**
   * Shedding threshold, up to 512. Requests whose level (128 times the priority
   * plus the shed key) is at or above it are refused.
   */
  readonly threshold: number;
}

/**
 * Calls and slot time of one organisation on this node, counted since the node
 * started.
 */
export interface OrganisationUsage {
  readonly organisation: string;
  /** Admitted attempts. */
  readonly admitted: number;
  /** Refused attempts by error kind. */
  readonly refused: Readonly<Partial<Record<ErrorKind, number>>>;
  /** Total time for which finished attempts held slots. */
  readonly slotMilliseconds: number;
  /**
   * Part of the slot time that was used by attempts admitted while the
   * organisation was above its share.
   */
  readonly borrowedSlotMilliseconds: number;
}

/** Explanation of why a request would be admitted or refused now. */
export interface AdmissionExplanation {
  /** Error kind of the refusal; undefined if the request would be admitted. */
  readonly refusal: ErrorKind | undefined;
  /** Sentences without a full stop; the last one states the decision. */
  readonly reasons: readonly string[];
}

/** Admission control: decides which attempts run, where and when. */
export abstract class AdmissionControl {
  /**
   * Requests a slot. The result is returned synchronously when a slot is free
   * or the request is refused at once, so that the usual call needs no promise.
   *
   * @param request The attempt.
   * @param signal Withdraws a waiting attempt, whose result is then the error
   * `caller_cancelled` with run `no`.
   * @returns The admitted attempt, or the error with which it was refused.
   */
  abstract admit(
    request: AdmissionRequest,
    signal?: AbortSignal,
  ):
    | Either<DeckError, AdmittedAttempt>
    | Promise<Either<DeckError, AdmittedAttempt>>;

  /**
   * Explains the result that {@linkcode AdmissionControl.admit} would return.
   */
  abstract explain(request: AdmissionRequest): AdmissionExplanation;

  /**
   * Returns the shedding threshold of a service as seen by this node, which the
   * node sends with its responses.
   */
  abstract threshold(service: string): number;

  /** Returns the load of each service that this node has calls for. */
  abstract services(): readonly ServiceLoad[];

  /** Returns the usage of all organisations. */
  abstract usage(): readonly OrganisationUsage[];

  /** Refuses waiting attempts with `draining` and stops all timers. */
  abstract close(): Promise<void>;
}
