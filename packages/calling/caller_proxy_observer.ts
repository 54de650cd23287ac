import type { ErrorKind } from "@oleanderdeck/errors";
import type { CallerRequest, TaskObserver } from "./call_task.ts";

/** Call that the worker makes while it runs a request. */
export interface NestedCall {
  /** Route of the request that the worker runs. */
  readonly parentRoute: string;
  readonly route: string;
  readonly service: string;
}

/** Receives what is decided about requests, for logs and counters. */
export interface CallerProxyObserver extends TaskObserver {
  /** The answer of a worker was passed to the caller. */
  onAnswered(request: CallerRequest, answer: ProxiedAnswer): void;
  /** The caller got an answer of this node. */
  onRefused(refusal: ProxyRefusal): void;
  /** The caller closed its connection before the answer. */
  onCancelled(request: CallerRequest): void;
}

/** An answer of a worker. */
export interface ProxiedAnswer {
  readonly status: number;
  /** Node beside the worker that answered. */
  readonly worker: string;
  /** Time since the request arrived, in milliseconds. */
  readonly elapsedMs: number;
}

/** A request that got no answer of a worker. */
export interface ProxyRefusal {
  readonly requestId: string;
  readonly service: string;
  /** Node beside the last worker that was chosen; empty if none was. */
  readonly worker: string;
  readonly error: ErrorKind;
  readonly status: number;
  /** Pause that the caller is told where it may come back. */
  readonly retryAfterMs: number;
  /** Time since the request arrived, in milliseconds. */
  readonly elapsedMs: number;
}
