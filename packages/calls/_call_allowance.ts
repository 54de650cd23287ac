import { Allowance } from "@oleanderdeck/retries";
import type { Attempt } from "./_attempt.ts";
import type { EdgeParts } from "./_edge_parts.ts";
import type { Intake } from "./_intake.ts";

/** Retries that one call may use or lend, and the organisation's budget. */
export class CallAllowance {
  readonly #edge: EdgeParts;
  readonly #intake: Intake;
  readonly #callerKey: string | undefined;
  #allowance: Allowance | undefined;

  constructor(edge: EdgeParts, intake: Intake) {
    this.#edge = edge;
    this.#intake = intake;
    const known = intake.parent === undefined && intake.rule.idempotent &&
      intake.identity !== undefined;
    this.#callerKey = known
      ? `${intake.organisation}\n${intake.identity}`
      : undefined;
  }

  /**
   * Joins the allowance of an earlier request of the caller with the same
   * identity.
   *
   * @returns Whether the call is a retry of a request that may have run.
   */
  joinEarlier(): boolean {
    if (this.#callerKey === undefined) return false;
    const earlier = this.#edge.rootAllowances.find(this.#callerKey);
    this.#allowance = earlier?.allowance;
    return earlier?.mayHaveRun ?? false;
  }

  /** Remembers the request, because it may run from now on. */
  remember(): void {
    if (this.#callerKey === undefined) return;
    this.#edge.rootAllowances.remember(this.#callerKey, this.#open());
  }

  /** Records that no attempt of the request was run. */
  recordNotRun(): void {
    if (this.#callerKey === undefined) return;
    this.#edge.rootAllowances.recordNotRun(this.#callerKey);
  }

  /** Takes out the part that is lent with an attempt. */
  lend(): number {
    return this.#open().lend();
  }

  /** Puts retries back. */
  giveBack(amount: number): void {
    this.#allowance?.giveBack(amount);
  }

  /** Uses one retry of the allowance and of the organisation's budget. */
  take(): boolean {
    const allowance = this.#open();
    if (!allowance.take()) return false;
    const { retryBudget } = this.#edge.options;
    if (retryBudget.take(this.#intake.organisation)) return true;
    allowance.giveBack(1);
    return false;
  }

  /** Keeps the part lent with an answered attempt, for a later sibling. */
  keepLoan(attempt: Attempt): void {
    const { target } = attempt.admitted;
    if (target.kind === "forward" || this.#intake.parent === undefined) return;
    this.#allowance?.keepLoan({
      callId: attempt.callId,
      nodeId: target.nodeId,
      incarnation: target.incarnation,
      amount: attempt.lent,
    });
  }

  /** Asks for lent retries back; undefined when there is no need or no loan. */
  recover(): Promise<unknown> | undefined {
    const allowance = this.#open();
    return allowance.remaining > 0 || !allowance.recoverable
      ? undefined
      : allowance.recover(this.#edge.options.settlement);
  }

  #open(): Allowance {
    return this.#allowance ??= this.#newAllowance();
  }

  #newAllowance(): Allowance {
    const { parent, policy, requestedRetries } = this.#intake;
    const mine = parent === undefined ||
      parent.audience === this.#edge.nodeId &&
        parent.audienceIncarnation === this.#edge.incarnation;
    if (!mine) return new Allowance(0);
    return this.#edge.options.retryPolicy.allowance({
      policyRetries: policy.retries,
      requestedRetries,
      parent,
    });
  }
}
