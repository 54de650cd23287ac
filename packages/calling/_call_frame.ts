import type { CallFrame, WorkerStatement } from "@oleanderdeck/hop";
import type { WorkerCall } from "@oleanderdeck/serving";

/** Options of {@linkcode callFrame}. */
export interface CallFrameOptions {
  readonly id: number;
  readonly service: string;
  /** Time since the call was accepted, in milliseconds. */
  readonly elapsedMs: number;
  /** What the worker has said, as far as known. */
  readonly statement: WorkerStatement | undefined;
}

/** Returns the frame by which a call is sent to a peer. */
export function callFrame(
  call: WorkerCall,
  { id, service, elapsedMs, statement }: CallFrameOptions,
): CallFrame {
  return {
    kind: "call",
    id,
    service,
    requestId: call.requestId,
    route: call.route,
    method: call.method,
    target: call.target,
    headers: call.headers,
    timeLeftMs: Math.floor(call.timeLeftMs - elapsedMs),
    latencyTargetMs: call.latencyTargetMs,
    rank: call.rank,
    isIdempotent: call.isIdempotent,
    isRepeat: call.isRepeat,
    ...(call.admittedShare !== undefined && {
      admittedShare: call.admittedShare,
    }),
    ...(statement && { statement }),
    body: call.body,
  };
}
