import type { ErrorKind } from "@oleanderdeck/errors";
import type { ClientLimit } from "./client_limits.ts";
import type { CallerRequest, TaskObserver } from "./call_task.ts";

/** Call that the worker on this host makes while it runs a request. */
export interface NestedCall {
  /** Route of the request that the worker runs. */
  readonly parentRoute: string;
  /** Route of the call. */
  readonly route: string;
  /** Service that is called. */
  readonly service: string;
}

/** Receives the events of callers' requests, for logs and counters. */
export interface CallerProxyObserver extends TaskObserver {
  /** Called when the answer of a worker is forwarded to the caller. */
  onAnswered(request: CallerRequest, answer: ProxiedAnswer): void;
  /** Called when this node returns an error to the caller. */
  onRefused(refusal: ProxyRefusal): void;
  /** Called when a limit of what clients may occupy is reached. */
  onClientLimit(limit: ClientLimit): void;
  /** Called when the caller closed its connection before the answer. */
  onCancelled(request: CallerRequest): void;
}

/** Answer of a worker that was forwarded to the caller. */
export interface ProxiedAnswer {
  readonly status: number;
  /** Name of the node on the host of the worker that answered. */
  readonly worker: string;
  /** Time since the request arrived, in milliseconds. */
  readonly elapsedMs: number;
}

/** Error answer that this node returned in place of a worker's answer. */
export interface ProxyRefusal {
  readonly requestId: string;
  readonly service: string;
  /**
   * Name of the node on the host of the last chosen worker; empty if none was
   * chosen.
   */
  readonly worker: string;
  readonly error: ErrorKind;
  readonly status: number;
  /** Time for the caller to wait before a retry, in milliseconds. */
  readonly retryAfterMs: number;
  /** Name of the caller's organisation; undefined if none is known. */
  readonly organisation?: string | undefined;
  /** First digits of the hash of the caller's key; undefined without a key. */
  readonly keyDigits?: string | undefined;
  /**
   * Share of the requests like this one that was admitted; undefined unless the
   * request was refused in favour of others.
   */
  readonly admittedShare?: number | undefined;
  /** Time since the request arrived, in milliseconds. */
  readonly elapsedMs: number;
}
