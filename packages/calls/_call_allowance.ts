import { Allowance } from "@oleanderdeck/retries";
import type { Attempt } from "./_attempt.ts";
import type { SharedCallState } from "./_shared_call_state.ts";
import type { IncomingCall } from "./_incoming_call.ts";

/**
 * Retry allowance of one call: the retries that it may use itself or lend to the
 * targets of its attempts, within the retry budget of its organisation.
 */
export class CallAllowance {
  readonly #shared: SharedCallState;
  readonly #incoming: IncomingCall;
  readonly #rootKey: string | undefined;
  #allowance: Allowance | undefined;

  constructor(shared: SharedCallState, incoming: IncomingCall) {
    this.#shared = shared;
    this.#incoming = incoming;
    const hasRootKey = incoming.receivedContext === undefined &&
      incoming.rule.idempotent &&
      incoming.identity !== undefined;
    this.#rootKey = hasRootKey
      ? `${incoming.organisation}\n${incoming.identity}`
      : undefined;
  }

  /**
   * Shares the allowance of an earlier root request of the organisation with the
   * same identity, if there is one.
   *
   * @returns Whether that earlier request may have run, so that this call is a
   * retry.
   */
  shareEarlierAllowance(): boolean {
    if (this.#rootKey === undefined) return false;
    const earlier = this.#shared.rootAllowances.find(this.#rootKey);
    this.#allowance = earlier?.allowance;
    return earlier?.mayHaveRun ?? false;
  }

  /**
   * Registers the allowance under the identity of the request, because the
   * request may run from now on.
   */
  registerRequest(): void {
    if (this.#rootKey === undefined) return;
    this.#shared.rootAllowances.add(this.#rootKey, this.#getOrCreate());
  }

  /** Records that no attempt of the request has run. */
  recordNotRun(): void {
    if (this.#rootKey === undefined) return;
    this.#shared.rootAllowances.recordNotRun(this.#rootKey);
  }

  /** Deducts and returns the retries that are lent with an attempt. */
  lend(): number {
    return this.#getOrCreate().lend();
  }

  /** Returns unused retries to the allowance. */
  restore(amount: number): void {
    this.#allowance?.restore(amount);
  }

  /**
   * Deducts one retry from the allowance and from the organisation's budget.
   *
   * @returns Whether both permit the retry.
   */
  take(): boolean {
    const allowance = this.#getOrCreate();
    if (!allowance.take()) return false;
    const { retryBudget } = this.#shared.options;
    if (retryBudget.take(this.#incoming.organisation)) return true;
    allowance.restore(1);
    return false;
  }

  /**
   * Records the retries lent with a completed attempt, so that a later call of
   * the same request can recover the unused part.
   */
  recordLoan(attempt: Attempt): void {
    const { target } = attempt.admitted;
    if (
      target.kind === "forward" || this.#incoming.receivedContext === undefined
    ) return;
    this.#allowance?.recordLoan({
      callId: attempt.callId,
      nodeId: target.nodeId,
      incarnation: target.incarnation,
      amount: attempt.lentRetries,
    });
  }

  /**
   * Requests unused lent retries back from their borrowers.
   *
   * @returns undefined if retries remain or there is no loan to recover.
   */
  recover(): Promise<unknown> | undefined {
    const allowance = this.#getOrCreate();
    return allowance.remaining > 0 || !allowance.hasLoans
      ? undefined
      : allowance.recover(this.#shared.options.allowanceSettlement);
  }

  #getOrCreate(): Allowance {
    return this.#allowance ??= this.#newAllowance();
  }

  #newAllowance(): Allowance {
    const { receivedContext: parent, policy, requestedRetries } =
      this.#incoming;
    const isAudience = parent === undefined ||
      parent.audience === this.#shared.nodeId &&
        parent.audienceIncarnation === this.#shared.incarnation;
    if (!isAudience) return new Allowance(0);
    return this.#shared.options.retryPolicy.allowance({
      policyRetries: policy.retries,
      requestedRetries,
      parent,
    });
  }
}
