/** Retries that were lent with an attempt and may be asked back. */
export interface Loan {
  /** Identity of the call that the retries were lent with. */
  readonly callId: Uint8Array;
  /** Node that holds the lent part. */
  readonly nodeId: string;
  readonly incarnation: bigint;
  /** Number of lent retries. */
  readonly amount: number;
}

/** Asks the audience node of a call for the unused part of a loan. */
export abstract class AllowanceSettlement {
  /**
   * Closes the entry of a call at its audience node.
   *
   * @returns The unused retries; 0 when the node gives no answer. The receiver
   * limits the value to the lent amount.
   */
  abstract settle(loan: Loan): Promise<number>;
}

/**
 * Retries that a node may still use or lend for one call. The calls that a
 * backend server makes for the same request share one allowance.
 */
export class Allowance {
  #remaining: number;
  #closed = false;
  #loans: Loan[] = [];

  /** @param retries Number of retries at the start. */
  constructor(retries: number) {
    this.#remaining = retries;
  }

  /** Retries that are neither used nor lent. */
  get remaining(): number {
    return this.#remaining;
  }

  /** Uses one retry, if one is left. */
  take(): boolean {
    if (this.#remaining === 0) return false;
    this.#remaining--;
    return true;
  }

  /** Takes out half of the remaining retries, rounded down, for an attempt. */
  lend(): number {
    const amount = this.#remaining >> 1;
    this.#remaining -= amount;
    return amount;
  }

  /**
   * Puts back retries of an attempt that was not run or that returned them.
   * Has no effect after {@linkcode Allowance.close}, because the closing node
   * has reported the rest to its creditor.
   */
  giveBack(amount: number): void {
    if (!this.#closed) this.#remaining += amount;
  }

  /** Keeps a loan of an answered attempt for {@linkcode Allowance.recover}. */
  keepLoan(loan: Loan): void {
    if (loan.amount > 0 && !this.#closed) this.#loans.push(loan);
  }

  /** Whether {@linkcode Allowance.recover} has anything to ask for. */
  get recoverable(): boolean {
    return this.#loans.length > 0;
  }

  /**
   * Asks for the unused part of loans until at least one retry is there.
   *
   * @returns Whether a retry is there.
   */
  async recover(settlement: AllowanceSettlement): Promise<boolean> {
    while (this.#remaining === 0 && !this.#closed) {
      const loan = this.#loans.pop();
      if (loan === undefined) break;
      const unused = await settlement.settle(loan);
      this.giveBack(Math.max(0, Math.min(unused, loan.amount)));
    }
    return this.#remaining > 0;
  }

  /** Takes out everything that is left and refuses later returns. */
  close(): number {
    const rest = this.#remaining;
    this.#remaining = 0;
    this.#closed = true;
    this.#loans = [];
    return rest;
  }
}
