import { DeckError } from "@oleanderdeck/errors";
import type { Outcome } from "@oleanderdeck/idempotency";
import { rejection, type SessionAnswer } from "./session_call.ts";

/** Converts an outcome in the ledger to the response to a repeated request. */
export function toAnswer(outcome: Outcome): SessionAnswer {
  if (outcome.state === "not_run") return rejection(outcome.error);
  if (outcome.state === "unknown") {
    return rejection(new DeckError("outcome_unknown"));
  }
  if (outcome.answer === undefined) {
    return rejection(new DeckError("already_run"));
  }
  return JSON.parse(Buffer.from(outcome.answer.body).toString());
}

/** Converts a response to an outcome for the ledger, encoded as its body. */
export function toOutcome(answer: SessionAnswer): Outcome {
  if (answer.error !== undefined) {
    return answer.run === "no"
      ? { state: "not_run", error: answer.error }
      : { state: "unknown" };
  }
  if (answer.cut) return { state: "unknown" };
  const body = Buffer.from(JSON.stringify(answer));
  return { state: "answered", answer: { status: 200, headers: [], body } };
}
