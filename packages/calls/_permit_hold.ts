import type { ServerResponse } from "node:http";
import type { AdmittedAttempt } from "@oleanderdeck/admission";
import { DeckError } from "@oleanderdeck/errors";
import {
  MAX_CACHED_ANSWER_BYTES,
  type Outcome,
  type Permit,
} from "@oleanderdeck/idempotency";
import { MemberState, REQUEST_FIELD } from "@oleanderdeck/protocol";
import type { EdgeParts } from "./_edge_parts.ts";
import type { Intake } from "./_intake.ts";
import { sendRefusal } from "./_refusal.ts";

/** What a non-idempotent call does after its permit was looked at. */
export type PermitStep = "run" | "wait" | "forward" | DeckError;

/** Writes the outcome of a joined request as the answer of a call. */
export type JoinedAnswer = (response: ServerResponse) => void;

/** Permit of one non-idempotent call, and the answer that is kept for it. */
export class PermitHold {
  readonly #edge: EdgeParts;
  readonly #intake: Intake;
  #permit: Permit | undefined;
  #status = 0;
  #headers: readonly string[] = [];
  #chunks: Buffer[] | undefined = [];
  #bytes = 0;

  /** Permit of the request, issued now if the caller sent none. */
  readonly identity: string;
  /** Issuer to which the call goes when another node issued the permit. */
  issuer: AdmittedAttempt | undefined;
  /** Whether this call waits for the same request of another caller. */
  joined = false;

  constructor(edge: EdgeParts, intake: Intake) {
    this.#edge = edge;
    this.#intake = intake;
    this.identity = intake.identity ?? edge.options.ledger.issue();
  }

  /** Whether this call runs under the permit on this node. */
  get owned(): boolean {
    return this.#permit !== undefined;
  }

  /**
   * Begins, joins or forwards the call.
   *
   * @param onJoined Called with the answer, now or later, after `wait`.
   */
  begin(onJoined: (answer: JoinedAnswer) => void): PermitStep {
    const { ledger } = this.#edge.options;
    const intake = this.#intake;
    if (intake.identity === undefined && intake.rule.permit === "required") {
      return new DeckError("permit_required");
    }
    return ledger.check(this.identity).caseOf<PermitStep>({
      Left: (error) => error,
      Right: (permit) =>
        ledger.isOwn(permit)
          ? this.#beginOwn(permit, onJoined)
          : this.#toIssuer(permit),
    });
  }

  /** More header lines of a refusal: the permit to use next, if there is one. */
  refusalLines(error: DeckError): readonly string[] {
    return error.kind === "malformed_request"
      ? []
      : [REQUEST_FIELD, this.identity];
  }

  /** Keeps the header of the answer for repeated requests. */
  keepHeader(status: number, lines: readonly string[]): void {
    if (this.#permit === undefined) return;
    this.#status = status;
    this.#headers = [...lines];
  }

  /** Keeps a part of the answer while the whole stays small. */
  keepData(chunk: Buffer): void {
    if (this.#permit === undefined) return;
    this.#bytes += chunk.byteLength;
    if (this.#bytes > MAX_CACHED_ANSWER_BYTES) this.#chunks = undefined;
    this.#chunks?.push(chunk);
  }

  /** Records that the whole answer has arrived. */
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

  /** Records that the call ended without a whole answer. */
  finishFailed(error: DeckError): void {
    this.#finish(
      error.run === "no" ? { state: "not_run", error } : { state: "unknown" },
    );
  }

  #finish(outcome: Outcome): void {
    if (this.#permit === undefined) return;
    this.#edge.options.ledger.finish(this.#permit, outcome);
    this.#permit = undefined;
  }

  #beginOwn(
    permit: Permit,
    onJoined: (answer: JoinedAnswer) => void,
  ): PermitStep {
    const { organisation, method, url } = this.#intake;
    const begin = this.#edge.options.ledger.begin(
      permit,
      `${organisation} ${method} ${url}`,
    );
    const respond = (outcome: Outcome) =>
      onJoined((response) => this.#sendOutcome(response, outcome));
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

  #toIssuer(permit: Permit): PermitStep {
    const member = this.#edge.options.members.find(permit.nodeId);
    if (this.#intake.mode !== undefined) {
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
    const lines = [REQUEST_FIELD, this.identity];
    if (outcome.state === "unknown") {
      return sendRefusal(response, new DeckError("outcome_unknown"), lines);
    }
    if (outcome.state === "not_run") {
      return sendRefusal(response, outcome.error, lines);
    }
    if (outcome.answer === undefined) {
      return sendRefusal(response, new DeckError("already_run"), lines);
    }
    const { status, headers, body } = outcome.answer;
    response.writeHead(status, [...headers, ...lines]);
    response.end(body);
  }
}
