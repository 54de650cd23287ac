import type { Priority } from "@oleanderdeck/agreement";
import type { ErrorKind, ExecutionStatus } from "@oleanderdeck/errors";

/** A caller sends a request to a node, for the first time or again. */
export interface RequestSent {
  readonly kind: "request_sent";
  readonly caller: string;
  /**
   * Number of this sending, which is one transmission of a request by its
   * caller. A request that is sent again gets a new number.
   */
  readonly sending: number;
  /** Identity of the request, which is the same when it is sent again. */
  readonly identity: string;
  readonly node: string;
  readonly service: string;
  /** Name of the request template. */
  readonly work: string;
  readonly idempotent: boolean;
  /** Maximum number of retries for the root request over the call chain. */
  readonly allowance: number;
}

/** A caller receives a response, or detects that none arrives. */
export interface ResponseReceived {
  readonly kind: "response_received";
  readonly caller: string;
  readonly sending: number;
  /** `lost`: no response arrived; `cut`: the body is truncated. */
  readonly result: "complete" | "rejected" | "cut" | "lost";
  readonly error?: ErrorKind;
  /** Execution status in the response; absent if no response arrived. */
  readonly run?: ExecutionStatus;
  /**
   * Time at which a rejection was issued, in milliseconds, which is before it
   * arrives. Defaults to the time of the event.
   */
  readonly rejectedAt?: number | undefined;
  /** Identity of the request that the response body belongs to. */
  readonly requestIdentity?: string;
  /** Bytes of the body that arrived. */
  readonly bytes?: number;
  /** Length of the complete body in bytes. */
  readonly totalBytes?: number;
}

/** A node sends an attempt of a call to a worker or to another node. */
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
  /** Whether this is the root request rather than a call made for it. */
  readonly root: boolean;
}

/** An execution ends. */
export interface ExecutionEnded {
  readonly kind: "execution_ended";
  readonly server: string;
  readonly execution: number;
  /** `interrupted`: the server was killed; `cut_body`: the upload was truncated. */
  readonly result: "complete" | "interrupted" | "cut_body";
  /** Bytes that the server stored as the complete request body. */
  readonly storedBytes?: number;
  /** Length of the complete request body in bytes. */
  readonly sentBytes?: number;
}

/** An attempt requests a slot at a node. */
export interface AdmissionAsked {
  readonly kind: "admission_asked";
  readonly node: string;
  /** Queue of the attempt; local and forwarded calls have separate queues. */
  readonly queue: string;
  readonly admissionId: number;
  readonly sending: number;
  readonly priority: Priority;
  readonly work: string;
}

/** An attempt is admitted to a slot or refused. */
export interface AdmissionAnswered {
  readonly kind: "admission_answered";
  readonly admissionId: number;
  /** Error kind of the refusal; undefined if the attempt was admitted. */
  readonly refusal: ErrorKind | undefined;
}

/** A backend server starts, begins a planned stop or is killed. */
export interface ServerChanged {
  readonly kind: "server_changed";
  readonly server: string;
  /** `leaving`: a planned stop has begun; `killed`: it stopped immediately. */
  readonly state: "serving" | "leaving" | "killed";
}

/** A node starts, becomes ready, stops, pauses or changes its connectivity. */
export interface NodeChanged {
  readonly kind: "node_changed";
  readonly node: string;
  /** `ready`: the node has loaded a configuration. */
  readonly state:
    | "started"
    | "ready"
    | "killed"
    | "paused"
    | "resumed"
    | "cut_off"
    | "rejoined";
}

/** An operator requests a change of a document. */
export interface ChangeAsked {
  readonly kind: "change_asked";
  readonly operator: string;
  readonly node: string;
  readonly change: string;
  readonly document: string;
  readonly expectedVersion: number;
}

/** An operator receives the response to a change. */
export interface ChangeAnswered {
  readonly kind: "change_answered";
  readonly operator: string;
  readonly change: string;
  readonly document: string;
  /** `accepted`, or the error kind of the response. */
  readonly result: "accepted" | ErrorKind;
  readonly version?: number;
}

/** The store commits a change. */
export interface ChangeCommitted {
  readonly kind: "change_committed";
  readonly change: string;
  readonly document: string;
  readonly version: number;
  /** Version that the change replaced; 0 for a new document. */
  readonly replaced: number;
}

/** An outage of the store begins or ends. */
export interface StoreChanged {
  readonly kind: "store_changed";
  readonly state: "available" | "unavailable";
}

/** A node activates ("puts in force") a version of a document. */
export interface VersionInForce {
  readonly kind: "version_in_force";
  readonly node: string;
  readonly document: string;
  readonly version: number;
}

/** The session ends; outcomes that are still missing become violations. */
export interface SessionEnded {
  readonly kind: "session_ended";
}

/** Event of a session without its time. */
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

/** Event type for one kind of event. */
export type SessionEventOf<Kind extends SessionEventKind> = Extract<
  SessionEvent,
  { readonly kind: Kind }
>;
