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
import type { EdgeParts } from "./_edge_parts.ts";
import type { Intake } from "./_intake.ts";

/**
 * Time by which the deadline of a forwarded call is earlier than the caller's,
 * in milliseconds, so that the serving node's statement that it withdrew the
 * call arrives in time.
 */
const FORWARD_MARGIN_MS = 20;

/** What one attempt sends. */
export interface Outgoing {
  readonly intake: Intake;
  readonly identity: string;
  readonly attemptNumber: number;
  readonly body: Buffer | Readable | null;
  /** Mode for a target that is a node. */
  readonly mode: ForwardMode;
  /** Context to pass on unchanged; a new one is signed if absent. */
  readonly context: string | undefined;
}

/** Sends the request of an attempt to its target. */
export function send(
  edge: EdgeParts,
  attempt: Attempt,
  outgoing: Outgoing,
): void {
  const { intake } = outgoing;
  const { target } = attempt.admitted;
  const now = edge.options.clock.now();
  const context = outgoing.context ?? signContext(edge, attempt, intake);
  const forwarded = target.kind === "forward";
  const left = intake.deadline - now - (forwarded ? FORWARD_MARGIN_MS : 0);
  const headers = [
    ...intake.lines.passed,
    REQUEST_FIELD,
    outgoing.identity,
    TIMEOUT_FIELD,
    String(Math.max(1, Math.floor(left))),
    CONTEXT_FIELD,
    context,
  ];
  const url = forwarded ? intake.url : intake.target;
  if (forwarded) {
    headers.push(
      PEER_FIELD,
      edge.codec.signForward(edge.nodeId, {
        mode: outgoing.mode,
        context,
        method: intake.method,
        url,
      }),
    );
  } else {
    headers.push(ATTEMPT_FIELD, String(outgoing.attemptNumber));
    if (target.fence !== "") headers.push(FENCE_FIELD, target.fence);
  }
  if (isStreamOfKnownSize(outgoing)) {
    headers.push("content-length", intake.lines.contentLength!);
  }
  const limit = forwarded ? undefined : connectionLimit(edge, target);
  edge.pools.of(target.address, limit, now).dispatch({
    path: url,
    method: intake.method,
    headers,
    body: outgoing.body,
    // Only the caller may decide that a request is sent twice.
    idempotent: false,
  }, attempt);
}

function signContext(
  edge: EdgeParts,
  attempt: Attempt,
  intake: Intake,
): string {
  const { target } = attempt.admitted;
  return edge.codec.encode({
    rootId: intake.rootId,
    callId: attempt.callId,
    organisation: intake.organisation,
    priority: intake.priority,
    shedKey: intake.shedKey,
    depth: intake.depth,
    lentRetries: attempt.lent,
    audience: target.nodeId,
    audienceIncarnation: target.incarnation,
    service: intake.service,
  });
}

function isStreamOfKnownSize(outgoing: Outgoing): boolean {
  return outgoing.intake.bodyBytes !== undefined && outgoing.body !== null &&
    !Buffer.isBuffer(outgoing.body);
}

function connectionLimit(
  edge: EdgeParts,
  target: CallTarget,
): number | undefined {
  const limit = edge.options.members.find(target.nodeId)?.worker
    ?.connectionLimit;
  return limit === 0 ? undefined : limit;
}
