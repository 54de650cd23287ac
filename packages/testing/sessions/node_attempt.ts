import type { AdmittedAttempt } from "@oleanderdeck/admission";
import type { Priority } from "@oleanderdeck/agreement";
import { DeckError } from "@oleanderdeck/errors";
import type { Allowance } from "@oleanderdeck/retries";
import type { SessionAnswer, SessionCall } from "./session_call.ts";
import type { Reply } from "./session_network.ts";
import type { SessionNode } from "./session_node.ts";

/** Response or error with which an attempt ended. */
export type AttemptOutcome =
  | { readonly answer: SessionAnswer; readonly error: undefined }
  | {
    readonly error: DeckError;
    /** Whether another attempt may succeed. */
    readonly retry: boolean;
    /** Whether the error comes from a response of the serving node. */
    readonly fromServingNode: boolean;
    /** Time at which the node rejected the call, in milliseconds. */
    readonly rejectedAt?: number | undefined;
  };

/** Options of {@linkcode NodeAttempt}. */
export interface NodeAttemptOptions {
  readonly admitted: AdmittedAttempt;
  readonly allowance: Allowance;
  /** Number of the attempt within its call, from 1. */
  readonly attempt: number;
  readonly deadline: number;
  readonly progressTimeoutMs: number;
  readonly priority: Priority;
  readonly shedKey: number;
  /** Permit of the node that the call is forwarded to; undefined otherwise. */
  readonly issuedPermit: string | undefined;
}

/**
 * One attempt of a call at a node. It lends retries of the allowance to the
 * receiver, sends the request, classifies the reply and takes back unused
 * retries.
 */
export class NodeAttempt {
  readonly #node: SessionNode;
  readonly #call: SessionCall;
  readonly #options: NodeAttemptOptions;

  constructor(
    node: SessionNode,
    call: SessionCall,
    options: NodeAttemptOptions,
  ) {
    this.#node = node;
    this.#call = call;
    this.#options = options;
  }

  /**
   * Sends the attempt and waits until it ends or the deadline expires.
   *
   * @param limit Resolves when the deadline of the call expires.
   */
  async run(limit: Promise<"deadline">): Promise<AttemptOutcome> {
    const { clock, dependencies } = this.#node;
    const { mode } = this.#call;
    const { admitted, allowance, attempt } = this.#options;
    const { target } = admitted;
    const serving = mode === "serve";
    const lent = serving ? 0 : allowance.lend();
    const callId = serving
      ? this.#call.parent!.callId
      : this.#node.nextCallId();
    if (!serving && this.#options.issuedPermit === undefined) {
      dependencies.recorder.record({
        kind: "attempt_sent",
        node: this.#node.nodeId,
        sending: this.#call.sending,
        service: this.#call.service,
        attempt,
      });
    }
    const startedAt = clock.now();
    const progress = new AbortController();
    const reply = await Promise.race([
      this.#send(callId, lent),
      clock.sleep(this.#options.progressTimeoutMs, progress.signal)
        .then(() => ({ state: "lost" }) as const),
      limit,
    ]);
    progress.abort();
    await clock.waitUntilRunning();
    const result = this.#classifyReply(reply, target.kind);
    admitted.finish({
      durationMs: clock.now() - startedAt,
      failure: result.error?.kind,
      threshold: reply !== "deadline" && reply.state === "answered"
        ? reply.answer.threshold
        : undefined,
    });
    if (reply !== "deadline" && reply.state === "answered") {
      allowance.restore(Math.min(reply.answer.unusedRetries ?? 0, lent));
    }
    if (result.error === undefined) {
      if (target.kind === "direct" && this.#call.parent !== undefined) {
        const { nodeId, incarnation } = target;
        allowance.recordLoan({ callId, nodeId, incarnation, amount: lent });
      }
    } else if (result.error.run === "no") {
      const returned = reply !== "deadline" && reply.state === "answered" &&
        reply.answer.unusedRetries !== undefined;
      if (!returned) allowance.restore(lent);
    }
    return result;
  }

  #send(
    callId: Uint8Array,
    lentRetries: number,
  ): Promise<Reply<SessionAnswer>> {
    const { clock, dataCentre, dependencies } = this.#node;
    const { admitted, attempt, deadline, issuedPermit, priority, shedKey } =
      this.#options;
    const { target } = admitted;
    const call = this.#call;
    const next: SessionCall = {
      ...call,
      bodyEndsCleanly: dependencies.variant.endsCutBodiesCleanly === true,
      timeoutMs: Math.max(1, deadline - clock.now()),
      attempt,
      permit: issuedPermit ?? call.permit,
      mode: issuedPermit === undefined ? "serve" : "permit",
      parent: call.mode === "serve" ? call.parent : {
        callId,
        lentRetries,
        audience: target.nodeId,
        audienceIncarnation: target.incarnation,
        service: call.service,
        priority,
        shedKey,
      },
    };
    if (target.kind === "forward") {
      const node = dependencies.findNode(target.nodeId);
      return dependencies.network.call(
        dataCentre,
        node,
        () => node!.handle(next),
      );
    }
    const server = dependencies.findServer(target.nodeId);
    return dependencies.network.call(
      dataCentre,
      server,
      () => server!.run(next, target.fence),
    );
  }

  #classifyReply(
    reply: Reply<SessionAnswer> | "deadline",
    target: "direct" | "forward",
  ): AttemptOutcome {
    const failed = (
      error: DeckError,
      retry = true,
      fromServingNode = false,
    ) => ({
      error,
      retry,
      fromServingNode,
    });
    if (reply === "deadline") {
      return failed(new DeckError("deadline_exceeded"), false);
    }
    const { variant } = this.#node.dependencies;
    switch (reply.state) {
      case "refused":
        return failed(new DeckError("connection_refused"));
      case "lost":
        return failed(
          new DeckError(
            "connection_lost",
            variant.reportsLostAsNotRun ? { run: "no" } : {},
          ),
        );
      case "cut":
      case "answered": {
        const { error } = reply.answer;
        if (error !== undefined) {
          return {
            ...failed(error, true, target === "forward"),
            rejectedAt: reply.answer.rejectedAt,
          };
        }
        // A truncated body is passed on, since the caller has received its
        // first part already.
        return {
          error,
          answer: reply.state === "cut" ? this.#cutAnswer() : reply.answer,
        };
      }
    }
  }

  #cutAnswer(): SessionAnswer {
    return {
      error: undefined,
      run: "yes",
      requestIdentity: this.#call.identity,
      bytes: 100,
      totalBytes: 200 + this.#call.sending,
      cut: this.#node.dependencies.variant.endsCutBodiesCleanly !== true,
    };
  }
}
