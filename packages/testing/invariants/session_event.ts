import type { Priority } from "@oleanderdeck/agreement";
import type { ErrorKind, ExecutionStatus } from "@oleanderdeck/errors";

/** A caller sends a request to a node, for the first time or again. */
export interface RequestSent {
  readonly kind: "request_sent";
  readonly caller: string;
  /** Number of this sending; a request that is sent again gets a new one. */
  readonly sending: number;
  /** Identity of the request, equal when the same request is sent again. */
  readonly identity: string;
  readonly node: string;
  readonly service: string;
  readonly work: string;
  readonly idempotent: boolean;
  /** Retry allowance of the root request. */
  readonly allowance: number;
}

/** A caller gets an answer, or notices that there is none. */
export interface ResponseReceived {
  readonly kind: "response_received";
  readonly caller: string;
  readonly sending: number;
  /** `lost`: no answer arrived; `cut`: the end of the body is missing. */
  readonly result: "complete" | "rejected" | "cut" | "lost";
  readonly error?: ErrorKind;
  /** What the answer states about the request; absent when there is none. */
  readonly run?: ExecutionStatus;
  /**
   * Time at which a rejection was stated, in milliseconds; it arrives later.
   * The time of the event if absent.
   */
  readonly statedAt?: number | undefined;
  /** Identity of the request that the body answers. */
  readonly requestIdentity?: string;
  readonly bytes?: number;
  /** Length of the whole body. */
  readonly totalBytes?: number;
}

/** A node sends an attempt of a call towards a worker. */
export interface AttemptSent {
  readonly kind: "attempt_sent";
  readonly node: string;
  readonly sending: number;
  readonly service: string;
  /** Number of the attempt within its call, from 1. */
  readonly attempt: number;
}

/** A backend server begins to run a request. */
export interface ExecutionStarted {
  readonly kind: "execution_started";
  readonly server: string;
  readonly execution: number;
  readonly sending: number;
  readonly identity: string;
  readonly service: string;
  readonly attempt: number;
  readonly fence: string;
  /** Whether the request is the root request and not one made for it. */
  readonly root: boolean;
}

/** An execution ends. */
export interface ExecutionEnded {
  readonly kind: "execution_ended";
  readonly server: string;
  readonly execution: number;
  /** `interrupted`: the server ended first; `cut_body`: the upload was cut. */
  readonly result: "complete" | "interrupted" | "cut_body";
  /** Bytes of the request body that the server took as whole. */
  readonly storedBytes?: number;
  readonly sentBytes?: number;
}

/** An attempt asks for a slot at a node. */
export interface AdmissionAsked {
  readonly kind: "admission_asked";
  readonly node: string;
  /** Queue that the attempt joins: own and forwarded calls have one each. */
  readonly queue: string;
  readonly admissionId: number;
  readonly sending: number;
  readonly priority: Priority;
  readonly work: string;
}

/** An attempt gets a slot or is refused. */
export interface AdmissionAnswered {
  readonly kind: "admission_answered";
  readonly admissionId: number;
  /** Undefined when the attempt was admitted. */
  readonly refusal: ErrorKind | undefined;
}

/** A backend server changes its part in the fleet. */
export interface ServerChanged {
  readonly kind: "server_changed";
  readonly server: string;
  /** `leaving`: a planned stop has begun; `killed`: it ended at once. */
  readonly state: "serving" | "leaving" | "killed";
}

/** A node starts, stops or is cut off from others. */
export interface NodeChanged {
  readonly kind: "node_changed";
  readonly node: string;
  /** `ready`: it holds a configuration that it may act on. */
  readonly state:
    | "started"
    | "ready"
    | "killed"
    | "paused"
    | "resumed"
    | "cut_off"
    | "rejoined";
}

/** An operator asks for a change. */
export interface ChangeAsked {
  readonly kind: "change_asked";
  readonly operator: string;
  readonly node: string;
  readonly change: string;
  readonly document: string;
  readonly expectedVersion: number;
}

/** An operator is told how a change ended. */
export interface ChangeAnswered {
  readonly kind: "change_answered";
  readonly operator: string;
  readonly change: string;
  readonly document: string;
  /** `accepted`, or the error kind of the answer. */
  readonly result: "accepted" | ErrorKind;
  readonly version?: number;
}

/** The store commits a change. */
export interface ChangeCommitted {
  readonly kind: "change_committed";
  readonly change: string;
  readonly document: string;
  readonly version: number;
  /** Version that the change replaced; 0 if there was none. */
  readonly replaced: number;
}

/** The store begins or ends an outage. */
export interface StoreChanged {
  readonly kind: "store_changed";
  readonly state: "available" | "unavailable";
}

/** A node puts a version of a document in force. */
export interface VersionInForce {
  readonly kind: "version_in_force";
  readonly node: string;
  readonly document: string;
  readonly version: number;
}

/** Says that the session ended, so that what is missing can be judged. */
export interface SessionEnded {
  readonly kind: "session_ended";
}

/** What happened, without the time. */
export type SessionEventData =
  | RequestSent
  | ResponseReceived
  | AttemptSent
  | ExecutionStarted
  | ExecutionEnded
  | AdmissionAsked
  | AdmissionAnswered
  | ServerChanged
  | NodeChanged
  | ChangeAsked
  | ChangeAnswered
  | ChangeCommitted
  | StoreChanged
  | VersionInForce
  | SessionEnded;

/** One event of a recorded session. */
export type SessionEvent = SessionEventData & {
  /** Time since the start of the session, in milliseconds. */
  readonly at: number;
};

/** Name of a kind of event. */
export type SessionEventKind = SessionEvent["kind"];

/** Event of one kind. */
export type SessionEventOf<Kind extends SessionEventKind> = Extract<
  SessionEvent,
  { readonly kind: Kind }
>;
