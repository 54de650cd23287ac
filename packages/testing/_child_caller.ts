import type { IncomingMessage } from "node:http";
import { type Agent, request as sendRequest } from "undici";
import { CONTEXT_FIELD, TIMEOUT_FIELD } from "@oleanderdeck/protocol";
import type { ChildCall } from "./backend_behaviour.ts";
import { BODY_BYTE, BODY_HASH_FIELD, sha256 } from "./_stand_in_http.ts";

/** Deadline and cancellation of the request on whose behalf calls are made. */
export interface ChildCallBounds {
  /** Deadline in milliseconds, as returned by `performance.now`. */
  readonly deadline: number;
  /** Aborted when the caller of the request disconnects. */
  readonly signal: AbortSignal;
}

/** Makes the calls of a backend stand-in to downstream services through its node. */
export class ChildCaller {
  readonly #node: string | undefined;
  readonly #agent: Agent;
  readonly #onFailure: () => void;

  /**
   * @param node Call address of the node.
   * @param options HTTP agent, and a callback for each failed call.
   */
  constructor(
    node: string | undefined,
    options: { readonly agent: Agent; readonly onFailure: () => void },
  ) {
    this.#node = node;
    this.#agent = options.agent;
    this.#onFailure = options.onFailure;
  }

  /**
   * Makes calls one after the other, until a required one fails or the caller
   * disconnects.
   *
   * @param calls Calls to make.
   * @param request Request whose call context is passed on.
   * @param bounds Deadline and cancellation.
   * @returns Whether a required call failed or the caller disconnected.
   */
  async callAll(
    calls: readonly ChildCall[],
    request: IncomingMessage,
    bounds: ChildCallBounds,
  ): Promise<boolean> {
    for (const call of calls) {
      if (bounds.signal.aborted) return true;
      const succeeded = await this.#call(call, request, bounds);
      if (succeeded) continue;
      this.#onFailure();
      if (call.required) return true;
    }
    return false;
  }

  async #call(
    call: ChildCall,
    request: IncomingMessage,
    bounds: ChildCallBounds,
  ): Promise<boolean> {
    const remainingMs = Math.floor(bounds.deadline - performance.now());
    if (remainingMs <= 0) return false;
    const body = call.bodyBytes === 0
      ? null
      : Buffer.alloc(call.bodyBytes, BODY_BYTE);
    const context = request.headers[CONTEXT_FIELD];
    try {
      const answer = await sendRequest(
        `http://${this.#node}/${call.service}${call.path}`,
        {
          method: call.method,
          dispatcher: this.#agent,
          headers: {
            [TIMEOUT_FIELD]: String(remainingMs),
            ...(context === undefined ? {} : { [CONTEXT_FIELD]: context }),
            ...(body === null ? {} : { [BODY_HASH_FIELD]: sha256(body) }),
          },
          body,
          signal: bounds.signal,
        },
      );
      const hash = answer.headers[BODY_HASH_FIELD];
      const received = Buffer.from(await answer.body.arrayBuffer());
      return answer.statusCode < 400 &&
        (hash === undefined || hash === sha256(received));
    } catch {
      return false;
    }
  }
}
