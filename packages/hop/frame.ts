import type { ErrorKind } from "@oleanderdeck/errors";

/** Header fields as a flat list in which names and values alternate. */
export type HeaderList = readonly string[];

/** What a worker has said in its answers about the requests that it takes. */
export interface WorkerStatement {
  /** Identity of the worker's incarnation. */
  readonly workerId: string;
  /**
   * Wall-clock time of the worker's start, in milliseconds since 1970; 0 if it
   * is not known.
   */
  readonly startedAt: number;
  /**
   * Number of requests a second that the worker takes from all hosts together;
   * undefined if it names no limit.
   */
  readonly requestsPerSecond: number | undefined;
  /** Whether the worker takes no more requests, because it stops. */
  readonly isLeaving: boolean;
}

/** State of a worker that the node beside it reports to its callers. */
export interface LoadReport {
  /** Number of calls that the worker is running. */
  readonly running: number;
  /** Number of calls that wait for a slot. */
  readonly waiting: number;
  /** Number of calls that the worker may run concurrently; 0 if it accepts none. */
  readonly slots: number;
  /** Mean time for which a call occupies a slot, in milliseconds. */
  readonly holdMs: number;
  /**
   * Share of recent calls that failed because of the worker itself, 0 to 1.
   */
  readonly failureShare: number;
  /** Overload of the worker, 0 to 1. */
  readonly pressure: number;
  /**
   * Routes of the worker whose calls reach a service that is more overloaded
   * than the worker, with the overload of that service.
   */
  readonly routePressures: readonly RoutePressure[];
  /** Unused share of the repeats that the worker may receive, 0 to 1. */
  readonly repeatShare: number;
  /** Routes whose calls reach a service with few remaining repeats. */
  readonly unrepeatableRoutes: readonly string[];
  /** Absent as long as the worker has said nothing in its answers. */
  readonly statement?: WorkerStatement;
  /**
   * Shares of the requests to admit because of this worker, by the ranks of the
   * calls that they lead to at it; absent in earlier releases, and if all may be
   * admitted.
   */
  readonly admission?: readonly AdmissionShare[];
  /**
   * Routes of the worker whose calls reach services that admit fewer requests,
   * with the shares of these.
   */
  readonly routeAdmission?: readonly RouteAdmission[];
  /**
   * Share of its slots that the worker has shown that it can use since it started,
   * 0 to 1; absent in earlier releases, and if it is 1.
   */
  readonly pace?: number;
}

/**
 * Share of the requests of a priority, or of those that lead to calls of a rank, to
 * admit, 0 to 1. A priority or rank that is not named is admitted as a whole.
 */
export type AdmissionShare = readonly [
  priorityOrRank: number,
  share: number,
];

/** Route and the shares to admit of the requests that lead to it. */
export type RouteAdmission = readonly [
  route: string,
  shares: readonly AdmissionShare[],
];

/** Route and the overload of the services that its requests reach, 0 to 1. */
export type RoutePressure = readonly [route: string, pressure: number];

/**
 * Revision of the frame kinds that this release knows: 1 has proofs and quotas.
 * Earlier releases state none. A node closes the link on which it receives a frame
 * of a kind that it does not know.
 */
export const PROTOCOL_REVISION = 1;

/** First frame that each side of a link sends. */
export interface HelloFrame {
  readonly kind: "hello";
  readonly node: string;
  readonly service: string;
  /** Version of the sender's active configuration; 0 if it has none. */
  readonly configurationVersion: number;
  readonly load: LoadReport;
  /** Identity of the sender's process; absent in earlier releases. */
  readonly processId?: string;
  /**
   * Identity of the link, by which its calls can be claimed; absent in earlier
   * releases and in the frames of the side that has accepted the link.
   */
  readonly linkId?: string;
  /** Frame kinds that the sender knows; see {@linkcode PROTOCOL_REVISION}. */
  readonly protocolRevision?: number;
}

/** Call to the worker beside the receiving node. */
export interface CallFrame {
  readonly kind: "call";
  readonly id: number;
  readonly service: string;
  readonly requestId: string;
  /** Name of the request's route. */
  readonly route: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  /** Time until the deadline of the call, in milliseconds. */
  readonly timeLeftMs: number;
  /** Response time up to which an answer has its full value, in milliseconds. */
  readonly latencyTargetMs: number;
  /** Position of the request in the priority order; 0 is served first. */
  readonly rank: number;
  readonly isIdempotent: boolean;
  /**
   * Whether the call is a repeat: the request, or one further up its call chain,
   * was sent to another worker before.
   */
  readonly isRepeat: boolean;
  /**
   * Share of the requests like the one that began the chain that were admitted
   * when it began, above 0 and up to 1; absent in earlier releases, and if all
   * were admitted.
   */
  readonly admittedShare?: number | undefined;
  /**
   * What the caller's node knows that the worker has said. A node that was
   * restarted learns it again from it.
   */
  readonly statement?: WorkerStatement;
  readonly body: Buffer;
}

/** Announces that the caller no longer waits for the answer to a call. */
export interface CancelFrame {
  readonly kind: "cancel";
  readonly id: number;
}

/** Complete answer of the worker to a call. */
export interface AnswerFrame {
  readonly kind: "answer";
  readonly id: number;
  readonly status: number;
  readonly headers: HeaderList;
  readonly load: LoadReport;
  /** Whether a call that the worker made for the request was refused. */
  readonly isRefusedBelow: boolean;
  readonly body: Buffer;
}

/** Reports that the worker gave no complete answer to a call. */
export interface FailureFrame {
  readonly kind: "failure";
  readonly id: number;
  readonly error: ErrorKind;
  /** Whether the worker may have run the call. */
  readonly mayHaveRun: boolean;
  /** Whether the call was sent to the worker. */
  readonly wasSent: boolean;
  /** Time after which a slot is expected to be free, in milliseconds. */
  readonly retryAfterMs: number;
  readonly load: LoadReport;
}

/** Reports a changed load when no answer is sent that could include it. */
export interface LoadFrame {
  readonly kind: "load";
  readonly load: LoadReport;
}

/** Requests a {@linkcode PongFrame} as proof that the link still works. */
export interface PingFrame {
  readonly kind: "ping";
}

/** Answers a {@linkcode PingFrame}. */
export interface PongFrame {
  readonly kind: "pong";
}

/** Announces the version of the sender's active configuration. */
export interface VersionFrame {
  readonly kind: "version";
  readonly configurationVersion: number;
  /** Whether the sender watches the latest configuration in the store. */
  readonly followsStore: boolean;
}

/** Requests the receiver's configuration. */
export interface ConfigurationRequestFrame {
  readonly kind: "configuration_request";
}

/** Contains the sender's configuration as JSON. */
export interface ConfigurationFrame {
  readonly kind: "configuration";
  readonly body: Buffer;
}

/** Requests the receiver's configuration and worker records. */
export interface PeerStateRequestFrame {
  readonly kind: "knowledge_request";
}

/** Contains the sender's configuration and worker records as JSON. */
export interface PeerStateFrame {
  readonly kind: "knowledge";
  readonly body: Buffer;
}

/**
 * Claims calls that were sent on earlier links, which seem silent: the results of
 * these calls are sent on the link of the frame, and the earlier links end.
 */
export interface ClaimFrame {
  readonly kind: "claim";
  /** Earlier links that may have the calls. */
  readonly linkIds: readonly string[];
  /** Calls without a result so far; those not named are cancelled. */
  readonly ids: readonly number[];
}

/** Answers a {@linkcode ClaimFrame}. */
export interface ClaimedFrame {
  readonly kind: "claimed";
  /** Calls that were not received, and which will not run. */
  readonly missingIds: readonly number[];
}

/** Asks for the age of the receiver's proof that its configuration is the latest. */
export interface ProofRequestFrame {
  readonly kind: "proof_request";
  readonly id: number;
}

/** Answers a {@linkcode ProofRequestFrame}. */
export interface ProofFrame {
  readonly kind: "proof";
  /** Identity of the request. */
  readonly id: number;
  readonly configurationVersion: number;
  /**
   * Time since the version was known to be the latest, in milliseconds; infinite
   * if the sender has no proof.
   */
  readonly ageMs: number;
}

/**
 * Amount of tokens of an organisation, which is named by its position in the
 * configuration.
 */
export type TokenAmount = readonly [organisation: number, tokens: number];

/** Deposits tokens of quotas at a broker and asks it for others. */
export interface QuotaRequestFrame {
  readonly kind: "quota_request";
  readonly id: number;
  /** Version of the configuration that names the organisations. */
  readonly configurationVersion: number;
  readonly deposits: readonly TokenAmount[];
  readonly wants: readonly TokenAmount[];
}

/** Grants tokens that were asked for by a {@linkcode QuotaRequestFrame}. */
export interface QuotaGrantFrame {
  readonly kind: "quota_grant";
  /** Identity of the request. */
  readonly id: number;
  readonly configurationVersion: number;
  readonly grants: readonly TokenAmount[];
}

/** Message between two nodes. */
export type Frame =
  | HelloFrame
  | CallFrame
  | CancelFrame
  | AnswerFrame
  | FailureFrame
  | LoadFrame
  | PingFrame
  | PongFrame
  | VersionFrame
  | PeerStateRequestFrame
  | PeerStateFrame
  | ConfigurationRequestFrame
  | ConfigurationFrame
  | ClaimFrame
  | ClaimedFrame
  | ProofRequestFrame
  | ProofFrame
  | QuotaRequestFrame
  | QuotaGrantFrame;
