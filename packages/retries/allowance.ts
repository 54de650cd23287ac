/**
 * Retries that were lent with an attempt to the node of the called worker, and
 * whose unused part may be recovered from there.
 */
export interface Loan {
  /** Id of the call that the retries were lent with. */
  readonly callId: Uint8Array;
  /** Id of the node that received the retries. */
  readonly nodeId: string;
  /** Incarnation of that node, which changes when the node restarts. */
  readonly incarnation: bigint;
  /** Number of lent retries. */
  readonly amount: number;
}

/** Requests the unused part of a loan from the node that received it. */
export abstract class AllowanceSettlement {
  /**
   * Closes the ledger entry of a call at the node that received the loan.
   *
   * @returns The number of unused retries; 0 if the node does not answer or has
   * restarted. The caller limits the value to the lent amount.
   */
  abstract settle(loan: Loan): Promise<number>;
}

/**
 * Retries that a node may still use for one call, or lend to the nodes further
 * down the call chain. The calls that a backend server makes for the same
 * request share one allowance.
 */
export class Allowance {
  #remaining: number;
  #closed = false;
  #loans: Loan[] = [];

  /** @param retries Initial number of retries. */
  constructor(retries: number) {
    this.#remaining = retries;
  }

  /** Number of retries that are neither used nor lent. */
  get remaining(): number {
    return this.#remaining;
  }

  /**
   * Uses one retry if one is available.
   *
   * @returns Whether a retry was available.
   */
  take(): boolean {
    if (this.#remaining === 0) return false;
    this.#remaining--;
    return true;
  }

  /**
   * Removes half of the remaining retries, rounded down, to lend them with an
   * attempt.
   *
   * @returns The number of lent retries.
   */
  lend(): number {
    const amount = this.#remaining >> 1;
    this.#remaining -= amount;
    return amount;
  }

  /**
   * Adds unused retries, such as those that were lent with an attempt that was
   * not run or that its answer returned. Has no effect after
   * {@linkcode Allowance.close}, because the unused retries have then been
   * reported to the node that lent them.
   */
  restore(amount: number): void {
    if (!this.#closed) this.#remaining += amount;
  }

  /** Stores the loan of an answered attempt for {@linkcode Allowance.recover}. */
  recordLoan(loan: Loan): void {
    if (loan.amount > 0 && !this.#closed) this.#loans.push(loan);
  }

  /** Whether there are loans that {@linkcode Allowance.recover} can settle. */
  get hasLoans(): boolean {
    return this.#loans.length > 0;
  }

  /**
   * Settles loans, the latest first, until at least one retry is available.
   *
   * @param settlement Requests the unused part of a loan.
   * @returns Whether a retry is available.
   */
  async recover(settlement: AllowanceSettlement): Promise<boolean> {
    while (this.#remaining === 0 && !this.#closed) {
      const loan = this.#loans.pop();
      if (loan === undefined) break;
      const unused = await settlement.settle(loan);
      this.restore(Math.max(0, Math.min(unused, loan.amount)));
    }
    return this.#remaining > 0;
  }

  /**
   * Closes the allowance, after which no retries are used or returned.
   *
   * @returns The number of unused retries.
   */
  close(): number {
    const unused = this.#remaining;
    this.#remaining = 0;
    this.#closed = true;
    this.#loans = [];
    return unused;
  }
}
