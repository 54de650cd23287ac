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
export interface EdgeObserver extends TaskObserver {
  /** The answer of a worker was passed to the caller. */
  onAnswered(request: CallerRequest, answer: EdgeAnswer): void;
  /** The caller got an answer of this node. */
  onRefused(refusal: EdgeRefusal): void;
  /** The caller closed its connection before the answer. */
  onCancelled(request: CallerRequest): void;
}

/** An answer of a worker. */
export interface EdgeAnswer {
  readonly status: number;
  /** Time since the request arrived, in milliseconds. */
  readonly elapsedMs: number;
}

/** A request that got no answer of a worker. */
export interface EdgeRefusal {
  readonly requestId: string;
  readonly service: string;
  readonly error: ErrorKind;
  readonly status: number;
  /** Pause that the caller is told where it may come back. */
  readonly retryAfterMs: number;
  /** Time since the request arrived, in milliseconds. */
  readonly elapsedMs: number;
}
