import type { Clock } from "@oleanderdeck/settings";
import { Allowance } from "./allowance.ts";

/**
 * Answer to a settlement of a call that this node never saw: everything that
 * was lent is unused. The creditor limits it to the lent amount.
 */
export const ALL_UNUSED = 0xffff_ffff;

/** Length of a call identity in bytes: incarnation and number, big-endian. */
export const CALL_ID_BYTES = 16;

/** Time that an entry is remembered after its last use, in milliseconds. */
const ENTRY_TERM_MS = 120_000;

/** Entries held at most; older ones are forgotten first. */
const MAXIMUM_ENTRIES = 50_000;

interface Entry {
  readonly allowance: Allowance;
  readonly openedAt: number;
}

/**
 * Retries lent to this node by the signed contexts of calls that run on its
 * worker. An entry that was forgotten is never opened again: for each calling
 * process the ledger keeps the number of its newest forgotten call, and calls
 * up to that number get no retries.
 */
export class AllowanceLedger {
  readonly #clock: Clock;
  readonly #maximumEntries: number;
  readonly #entries = new Map<string, Entry>();
  readonly #forgotten = new Map<string, bigint>();

  /**
   * @param clock Monotonic clock.
   * @param maximumEntries Bound on the number of entries.
   */
  constructor(clock: Clock, maximumEntries = MAXIMUM_ENTRIES) {
    this.#clock = clock;
    this.#maximumEntries = maximumEntries;
  }

  /** Number of entries held. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Finds the shared allowance of a call, and opens it at the first use.
   *
   * @param callId Identity of the call in the signed context.
   * @param lent Retries lent by the signed context.
   */
  open(callId: Uint8Array, lent: number): Allowance {
    const key = keyOf(callId);
    const entry = this.#entries.get(key);
    if (entry !== undefined) return entry.allowance;
    return this.#add(key, this.#isForgotten(key) ? 0 : lent);
  }

  /**
   * Closes the entry of a call. Later calls for it get no retries.
   *
   * @returns The unused retries; {@linkcode ALL_UNUSED} for a call never seen;
   * 0 when the entry was closed before or is forgotten.
   */
  close(callId: Uint8Array): number {
    const key = keyOf(callId);
    const entry = this.#entries.get(key);
    if (entry !== undefined) return entry.allowance.close();
    if (this.#isForgotten(key)) return 0;
    this.#add(key, 0).close();
    return ALL_UNUSED;
  }

  #add(key: string, retries: number): Allowance {
    this.#forgetOld();
    const allowance = new Allowance(retries);
    this.#entries.set(key, { allowance, openedAt: this.#clock.now() });
    return allowance;
  }

  #forgetOld(): void {
    const oldest = this.#clock.now() - ENTRY_TERM_MS;
    for (const [key, entry] of this.#entries) {
      const full = this.#entries.size >= this.#maximumEntries;
      if (!full && entry.openedAt >= oldest) return;
      entry.allowance.close();
      this.#entries.delete(key);
      const { caller, number } = partsOf(key);
      const known = this.#forgotten.get(caller) ?? -1n;
      if (number > known) this.#forgotten.set(caller, number);
    }
  }

  #isForgotten(key: string): boolean {
    const { caller, number } = partsOf(key);
    const newest = this.#forgotten.get(caller);
    return newest !== undefined && number <= newest;
  }
}

function keyOf(callId: Uint8Array): string {
  return Buffer.from(callId.buffer, callId.byteOffset, callId.byteLength)
    .toString("hex");
}

function partsOf(key: string): { caller: string; number: bigint } {
  return { caller: key.slice(0, 16), number: BigInt(`0x0${key.slice(16)}`) };
}
