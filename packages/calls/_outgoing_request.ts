import type { Readable } from "node:stream";
import type { CallTarget } from "@oleanderdeck/admission";
import {
  ATTEMPT_FIELD,
  CONTEXT_FIELD,
  FENCE_FIELD,
  PEER_FIELD,
  REQUEST_FIELD,
  TIMEOUT_FIELD,
} from "@oleanderdeck/protocol";
import type { Attempt } from "./_attempt.ts";
import type { ForwardMode } from "./call_context.ts";
import type { SharedCallState } from "./_shared_call_state.ts";
import type { IncomingCall } from "./_incoming_call.ts";

/**
 * Time by which the deadline of a forwarded call precedes the caller's deadline,
 * in milliseconds. It lets the serving node's report that it withdrew the call
 * before running it arrive in time.
 */
const FORWARD_MARGIN_MS = 20;

/** Content of the request that one attempt sends. */
export interface OutgoingRequest {
  /** Call that caused the request. */
  readonly incoming: IncomingCall;
  /** Request identity. */
  readonly identity: string;
  /** Number of the attempt within the call, from 1. */
  readonly attemptNumber: number;
  readonly body: Buffer | Readable | null;
  /** Why the call is forwarded; used only if the target is another node. */
  readonly mode: ForwardMode;
  /** Context to forward unchanged; a new one is signed if undefined. */
  readonly context: string | undefined;
}

/** Sends the request of an attempt to its target. */
export function dispatchAttempt(
  shared: SharedCallState,
  attempt: Attempt,
  outgoing: OutgoingRequest,
): void {
  const { incoming } = outgoing;
  const { target } = attempt.admitted;
  const now = shared.options.clock.now();
  const context = outgoing.context ?? signContext(shared, attempt, incoming);
  const forwarded = target.kind === "forward";
  const timeLeftMs = incoming.deadline - now -
    (forwarded ? FORWARD_MARGIN_MS : 0);
  const headers = [
    ...incoming.headers.forwarded,
    REQUEST_FIELD,
    outgoing.identity,
    TIMEOUT_FIELD,
    String(Math.max(1, Math.floor(timeLeftMs))),
    CONTEXT_FIELD,
    context,
  ];
  const url = forwarded ? incoming.url : incoming.pathAndQuery;
  if (forwarded) {
    headers.push(
      PEER_FIELD,
      shared.codec.signForward(shared.nodeId, {
        mode: outgoing.mode,
        context,
        method: incoming.method,
        url,
      }),
    );
  } else {
    headers.push(ATTEMPT_FIELD, String(outgoing.attemptNumber));
    if (target.fence !== "") headers.push(FENCE_FIELD, target.fence);
  }
  if (hasKnownSizeStream(outgoing)) {
    headers.push("content-length", incoming.headers.contentLength!);
  }
  const limit = forwarded ? undefined : connectionLimit(shared, target);
  shared.pools.forAddress(target.address, limit, now).dispatch({
    path: url,
    method: incoming.method,
    headers,
    body: outgoing.body,
    // Only the calling code may decide to send a request again, not undici.
    idempotent: false,
  }, attempt);
}

function signContext(
  shared: SharedCallState,
  attempt: Attempt,
  incoming: IncomingCall,
): string {
  const { target } = attempt.admitted;
  return shared.codec.encode({
    rootId: incoming.rootId,
    callId: attempt.callId,
    organisation: incoming.organisation,
    priority: incoming.priority,
    shedKey: incoming.shedKey,
    depth: incoming.depth,
    lentRetries: attempt.lentRetries,
    audience: target.nodeId,
    audienceIncarnation: target.incarnation,
    service: incoming.service,
  });
}

function hasKnownSizeStream(outgoing: OutgoingRequest): boolean {
  return outgoing.incoming.bodyBytes !== undefined && outgoing.body !== null &&
    !Buffer.isBuffer(outgoing.body);
}

function connectionLimit(
  shared: SharedCallState,
  target: CallTarget,
): number | undefined {
  const limit = shared.options.members.find(target.nodeId)?.worker
    ?.connectionLimit;
  return limit === 0 ? undefined : limit;
}
