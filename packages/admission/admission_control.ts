import type { Either } from "purify-ts";
import type { Priority } from "@oleanderdeck/agreement";
import type { DeckError, ErrorKind } from "@oleanderdeck/errors";

/** Attempt of a call that asks for a slot of some worker. */
export interface AdmissionRequest {
  readonly service: string;
  readonly organisation: string;
  readonly priority: Priority;
  /** Key of the root request, 0 to 127; higher keys are shed first. */
  readonly shedKey: number;
  /** Time on the shared clock at which the answer is of no use any more. */
  readonly deadline: number;
  /** Nodes whose workers were tried before for this request. */
  readonly excludedNodes: readonly string[];
  /** Whether this is the first attempt of a root request. */
  readonly countsForLimit: boolean;
  /**
   * Whether the request was forwarded by another node; it then runs on the
   * node's own worker or not at all.
   */
  readonly forwarded: boolean;
  /** Service whose worker makes this call; undefined for a root request. */
  readonly callingService: string | undefined;
}

/** Where an admitted attempt goes. */
export interface CallTarget {
  /** `direct`: to the backend server; `forward`: to the serving node. */
  readonly kind: "direct" | "forward";
  /** Node beside the worker. */
  readonly nodeId: string;
  readonly incarnation: bigint;
  /** host:port of the backend server or of the serving node's call port. */
  readonly address: string;
  /** Fencing token for the backend server; empty when forwarded. */
  readonly fence: string;
}

/** How an attempt ended, as seen by the calling node. */
export interface AttemptResult {
  /** Time from dispatch to the end of the answer, in milliseconds. */
  readonly durationMs: number;
  /** Error kind of a failed attempt; undefined for a whole answer. */
  readonly failure: ErrorKind | undefined;
  /** Threshold that the serving node sent with a forwarded answer. */
  readonly threshold: number | undefined;
}

/** Attempt that holds a slot until it is finished. */
export interface AdmittedAttempt {
  readonly target: CallTarget;
  /** Gives the slot back. Later calls have no effect. */
  finish(result: AttemptResult): void;
}

/** State of a service on this node. */
export interface ServiceLoad {
  readonly service: string;
  readonly running: number;
  readonly queued: number;
  /** Slots that this node may use now over all workers. */
  readonly slots: number;
  /** Requests at or above this level are refused. */
  readonly threshold: number;
}

/** Use of the graph by one organisation, counted since the node's start. */
export interface OrganisationUsage {
  readonly organisation: string;
  readonly admitted: number;
  readonly refused: Readonly<Partial<Record<ErrorKind, number>>>;
  readonly slotMilliseconds: number;
  /** Part of the slot time that was beyond the organisation's share. */
  readonly borrowedSlotMilliseconds: number;
}

/** Why a request would be admitted or refused now. */
export interface AdmissionExplanation {
  readonly refusal: ErrorKind | undefined;
  /** Sentences without a full stop, the deciding one last. */
  readonly reasons: readonly string[];
}

/** Decides which attempts run, where and when. */
export abstract class AdmissionControl {
  /**
   * Asks for a slot. The answer is immediate when a slot is free or the
   * request is refused at once, so that the usual call needs no promise.
   *
   * @param request The attempt.
   * @param signal Withdraws a waiting attempt; the answer is then
   * `caller_cancelled` with run `no`.
   */
  abstract admit(
    request: AdmissionRequest,
    signal?: AbortSignal,
  ):
    | Either<DeckError, AdmittedAttempt>
    | Promise<Either<DeckError, AdmittedAttempt>>;

  /** Tells what {@linkcode AdmissionControl.admit} would answer now. */
  abstract explain(request: AdmissionRequest): AdmissionExplanation;

  /** Threshold of a service as seen by this node, sent with answers. */
  abstract threshold(service: string): number;

  /** State of each service that this node has calls for. */
  abstract services(): readonly ServiceLoad[];

  /** Accounts of all organisations. */
  abstract usage(): readonly OrganisationUsage[];

  /** Refuses waiting attempts as `draining` and ends all timers. */
  abstract close(): Promise<void>;
}
