import type { ErrorKind } from "@oleanderdeck/errors";

/** Header lines as name, value, name, value. */
export type HeaderLines = readonly string[];

/** What the node beside a worker tells its callers about the worker. */
export interface LoadReport {
  /** Calls that the worker runs now. */
  readonly running: number;
  /** Calls that wait for a slot. */
  readonly waiting: number;
  /** Calls that the worker may run at the same time; 0 if it takes none. */
  readonly slots: number;
  /** Mean time that a call holds a slot, in milliseconds. */
  readonly holdMs: number;
  /** Share of recent calls that the worker failed by itself, 0 to 1. */
  readonly failureShare: number;
  /** Overload of the worker, 0 to 1. */
  readonly pressure: number;
  /**
   * Routes to the worker whose calls reach a service with more overload than
   * the worker, with that overload.
   */
  readonly routePressures: readonly RoutePressure[];
  /** Part of the repeats that the worker may get that is not used, 0 to 1. */
  readonly repeatShare: number;
  /** Routes whose calls reach a service with few repeats left. */
  readonly unrepeatableRoutes: readonly string[];
}

/** Overload of the services that requests of a route reach, 0 to 1. */
export type RoutePressure = readonly [route: string, pressure: number];

/** First frame of each side of a link. */
export interface HelloFrame {
  readonly kind: "hello";
  readonly node: string;
  readonly service: string;
  /** Version of the configuration in force; 0 if none is known. */
  readonly configurationVersion: number;
  readonly load: LoadReport;
}

/** One call for the worker beside the receiving node. */
export interface CallFrame {
  readonly kind: "call";
  readonly id: number;
  readonly service: string;
  readonly requestId: string;
  /** Name of the request's route. */
  readonly route: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderLines;
  /** Time until the caller needs an answer, in milliseconds. */
  readonly timeLeftMs: number;
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly latencyTargetMs: number;
  /** Rank of the request; 0 is served first. */
  readonly rank: number;
  readonly isIdempotent: boolean;
  /**
   * Whether the request, or one that led to it, was sent to another worker
   * before.
   */
  readonly isRepeat: boolean;
  readonly body: Buffer;
}

/** The caller no longer waits for the answer of a call. */
export interface CancelFrame {
  readonly kind: "cancel";
  readonly id: number;
}

/** Answer of the worker. */
export interface AnswerFrame {
  readonly kind: "answer";
  readonly id: number;
  readonly status: number;
  readonly headers: HeaderLines;
  readonly load: LoadReport;
  readonly body: Buffer;
}

/** The worker gave no complete answer. */
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

/** The load has changed without an answer that could carry it. */
export interface LoadFrame {
  readonly kind: "load";
  readonly load: LoadReport;
}

/** Asks for proof that the link still works. */
export interface PingFrame {
  readonly kind: "ping";
}

/** Answers a ping. */
export interface PongFrame {
  readonly kind: "pong";
}

/** Announces the version of the configuration that is in force at the sender. */
export interface VersionFrame {
  readonly kind: "version";
  readonly configurationVersion: number;
}

/** Asks for the configuration and the worker records that the receiver holds. */
export interface PeerStateRequestFrame {
  readonly kind: "knowledge_request";
}

/** Configuration and worker records of the sender as JSON. */
export interface PeerStateFrame {
  readonly kind: "knowledge";
  readonly body: Buffer;
}

/** One message between two nodes. */
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
  | PeerStateFrame;
