import type { ErrorKind } from "@oleanderdeck/errors";
import type { OrganisationUsage } from "./admission_control.ts";

/** Mutable counts of one organisation. */
interface Account {
  admitted: number;
  readonly refused: Partial<Record<ErrorKind, number>>;
  slotMilliseconds: number;
  borrowedSlotMilliseconds: number;
}

/** Usage of all organisations since the node started. */
export class UsageAccounts {
  readonly #accounts = new Map<string, Account>();

  /** Counts an admitted attempt. */
  admit(organisation: string): void {
    this.#account(organisation).admitted += 1;
  }

  /** Counts a refused attempt. */
  refuse(organisation: string, kind: ErrorKind): void {
    const { refused } = this.#account(organisation);
    refused[kind] = (refused[kind] ?? 0) + 1;
  }

  /** Adds the slot time of a finished attempt. */
  finish(organisation: string, durationMs: number, borrowed: boolean): void {
    const account = this.#account(organisation);
    account.slotMilliseconds += durationMs;
    if (borrowed) account.borrowedSlotMilliseconds += durationMs;
  }

  /** Returns a copy of all accounts. */
  read(): OrganisationUsage[] {
    return [...this.#accounts].map(([organisation, account]) => ({
      organisation,
      ...account,
      refused: { ...account.refused },
    }));
  }

  #account(organisation: string): Account {
    let account = this.#accounts.get(organisation);
    if (account === undefined) {
      account = {
        admitted: 0,
        refused: {},
        slotMilliseconds: 0,
        borrowedSlotMilliseconds: 0,
      };
      this.#accounts.set(organisation, account);
    }
    return account;
  }
}
