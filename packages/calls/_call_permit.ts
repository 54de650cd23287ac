import type { ServerResponse } from "node:http";
import type { AdmittedAttempt } from "@oleanderdeck/admission";
import { DeckError } from "@oleanderdeck/errors";
import {
  MAX_CACHED_ANSWER_BYTES,
  type Outcome,
  type Permit,
} from "@oleanderdeck/idempotency";
import { MemberState, REQUEST_FIELD } from "@oleanderdeck/protocol";
import type { SharedCallState } from "./_shared_call_state.ts";
import type { IncomingCall } from "./_incoming_call.ts";
import { sendRefusal } from "./_refusal.ts";

/**
 * How a non-idempotent call continues after its permit was checked: `run` it on
 * this node, `wait` for the outcome of the same request, `forward` it to the
 * issuer of the permit, or refuse it with the error.
 */
export type PermitDecision = "run" | "wait" | "forward" | DeckError;

/** Writes the recorded outcome of a request as the response to a call. */
export type OutcomeWriter = (response: ServerResponse) => void;

/**
 * Permit of one non-idempotent call, and the response recorded under it. A
 * permit is a signed request identity under which a request runs at most once.
 */
export class CallPermit {
  readonly #shared: SharedCallState;
  readonly #incoming: IncomingCall;
  #permit: Permit | undefined;
  #status = 0;
  #headers: readonly string[] = [];
  #chunks: Buffer[] | undefined = [];
  #bytes = 0;

  /** Permit of the request; issued by this node if the caller sent none. */
  readonly identity: string;
  /** Target of the call if another node issued the permit. */
  issuer: AdmittedAttempt | undefined;
  /** Whether this call waits for a request in flight under the same permit. */
  joined = false;

  constructor(shared: SharedCallState, incoming: IncomingCall) {
    this.#shared = shared;
    this.#incoming = incoming;
    this.identity = incoming.identity ?? shared.options.permitLedger.issue();
  }

  /** Whether this call executes the request under the permit on this node. */
  get executing(): boolean {
    return this.#permit !== undefined;
  }

  /**
   * Checks the permit and decides how the call continues.
   *
   * @param onOutcome Called if the decision is `wait`, as soon as the outcome of
   * the request is known; this may be before this method returns.
   */
  begin(onOutcome: (writeOutcome: OutcomeWriter) => void): PermitDecision {
    const { permitLedger } = this.#shared.options;
    const incoming = this.#incoming;
    if (
      incoming.identity === undefined && incoming.rule.permit === "required"
    ) {
      return new DeckError("permit_required");
    }
    return permitLedger.check(this.identity).caseOf<PermitDecision>({
      Left: (error) => error,
      Right: (permit) =>
        permitLedger.isOwn(permit)
          ? this.#beginOwn(permit, onOutcome)
          : this.#forwardToIssuer(permit),
    });
  }

  /**
   * Returns the header fields that a refusal adds: the permit to use when the
   * caller sends the request again, or none if the request is malformed.
   */
  refusalHeaders(error: DeckError): readonly string[] {
    return error.kind === "malformed_request"
      ? []
      : [REQUEST_FIELD, this.identity];
  }

  /** Records the header of the response for later requests with the permit. */
  recordHeader(status: number, headers: readonly string[]): void {
    if (this.#permit === undefined) return;
    this.#status = status;
    this.#headers = [...headers];
  }

  /**
   * Records a part of the response body. A response larger than
   * {@linkcode MAX_CACHED_ANSWER_BYTES} is not kept.
   */
  recordData(chunk: Buffer): void {
    if (this.#permit === undefined) return;
    this.#bytes += chunk.byteLength;
    if (this.#bytes > MAX_CACHED_ANSWER_BYTES) this.#chunks = undefined;
    this.#chunks?.push(chunk);
  }

  /** Records that the complete response has arrived. */
  finishAnswered(): void {
    this.#finish({
      state: "answered",
      answer: this.#chunks === undefined ? undefined : {
        status: this.#status,
        headers: this.#headers,
        body: Buffer.concat(this.#chunks),
      },
    });
  }

  /** Records that the call ended without a complete response. */
  finishFailed(error: DeckError): void {
    this.#finish(
      error.run === "no" ? { state: "not_run", error } : { state: "unknown" },
    );
  }

  #finish(outcome: Outcome): void {
    if (this.#permit === undefined) return;
    this.#shared.options.permitLedger.finish(this.#permit, outcome);
    this.#permit = undefined;
  }

  #beginOwn(
    permit: Permit,
    onOutcome: (writeOutcome: OutcomeWriter) => void,
  ): PermitDecision {
    const { organisation, method, url } = this.#incoming;
    const begin = this.#shared.options.permitLedger.begin(
      permit,
      `${organisation} ${method} ${url}`,
    );
    const respond = (outcome: Outcome) =>
      onOutcome((response) => this.#sendOutcome(response, outcome));
    switch (begin.action) {
      case "refuse":
        return begin.error;
      case "run":
        this.#permit = permit;
        return "run";
      case "answer":
        respond(begin.outcome);
        return "wait";
      case "join":
        this.joined = true;
        begin.onOutcome(respond);
        return "wait";
    }
  }

  #forwardToIssuer(permit: Permit): PermitDecision {
    const member = this.#shared.options.members.find(permit.nodeId);
    if (this.#incoming.forwardMode !== undefined) {
      return new DeckError("malformed_request", {
        message: "The permit was issued by another node",
      });
    }
    if (
      member === undefined || member.incarnation !== permit.incarnation ||
      member.state === MemberState.DEAD || member.state === MemberState.LEFT
    ) {
      return new DeckError("outcome_unknown", {
        message: "The node that issued the permit is gone",
      });
    }
    this.issuer = {
      target: {
        kind: "forward",
        nodeId: member.nodeId,
        incarnation: member.incarnation,
        address: member.callAddress,
        fence: "",
      },
      finish: () => {},
    };
    return "forward";
  }

  #sendOutcome(response: ServerResponse, outcome: Outcome): void {
    const identityHeaders = [REQUEST_FIELD, this.identity];
    if (outcome.state === "unknown") {
      return sendRefusal(
        response,
        new DeckError("outcome_unknown"),
        identityHeaders,
      );
    }
    if (outcome.state === "not_run") {
      return sendRefusal(response, outcome.error, identityHeaders);
    }
    if (outcome.answer === undefined) {
      return sendRefusal(
        response,
        new DeckError("already_run"),
        identityHeaders,
      );
    }
    const { status, headers, body } = outcome.answer;
    response.writeHead(status, [...headers, ...identityHeaders]);
    response.end(body);
  }
}
