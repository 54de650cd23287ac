import type { Clock } from "@oleanderdeck/settings";
import { Allowance } from "./allowance.ts";

/**
 * Result of closing a call that this node never received: all lent retries are
 * unused. The node that lent them limits the value to the lent amount.
 */
export const ALL_UNUSED = 0xffff_ffff;

/**
 * Length of a call id in bytes: incarnation of the calling process and number
 * of the call, both big-endian.
 */
export const CALL_ID_BYTES = 16;

/** Time after its creation for which an entry is retained, in milliseconds. */
const ENTRY_LIFETIME_MS = 120_000;

/** Maximum number of entries; the oldest ones are evicted first. */
const MAXIMUM_ENTRIES = 50_000;

interface LedgerEntry {
  readonly allowance: Allowance;
  readonly openedAt: number;
}

/**
 * Retries lent to this node by the signed contexts of calls that run on its
 * worker. An evicted entry is never opened again, so that its retries are not
 * lent a second time: for each calling process the ledger stores the number of
 * the newest evicted call, and calls up to that number get no retries.
 */
export class AllowanceLedger {
  readonly #clock: Clock;
  readonly #maximumEntries: number;
  readonly #entries = new Map<string, LedgerEntry>();
  /** Number of the newest evicted call of each calling process. */
  readonly #newestEvicted = new Map<string, bigint>();

  /**
   * @param clock Monotonic clock.
   * @param maximumEntries Maximum number of entries.
   */
  constructor(clock: Clock, maximumEntries = MAXIMUM_ENTRIES) {
    this.#clock = clock;
    this.#maximumEntries = maximumEntries;
  }

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Returns the shared allowance of a call, which is created on first use.
   *
   * @param callId Call id in the signed context.
   * @param lent Number of retries lent by the signed context.
   */
  open(callId: Uint8Array, lent: number): Allowance {
    const key = keyOf(callId);
    const entry = this.#entries.get(key);
    if (entry !== undefined) return entry.allowance;
    return this.#add(key, this.#isEvicted(key) ? 0 : lent);
  }

  /**
   * Closes the entry of a call. Later calls for it get no retries.
   *
   * @returns The number of unused retries; {@linkcode ALL_UNUSED} for a call
   * that was never received; 0 if the entry was closed before or is evicted.
   */
  close(callId: Uint8Array): number {
    const key = keyOf(callId);
    const entry = this.#entries.get(key);
    if (entry !== undefined) return entry.allowance.close();
    if (this.#isEvicted(key)) return 0;
    this.#add(key, 0).close();
    return ALL_UNUSED;
  }

  #add(key: string, retries: number): Allowance {
    this.#evictOld();
    const allowance = new Allowance(retries);
    this.#entries.set(key, { allowance, openedAt: this.#clock.now() });
    return allowance;
  }

  #evictOld(): void {
    const oldest = this.#clock.now() - ENTRY_LIFETIME_MS;
    for (const [key, entry] of this.#entries) {
      const isFull = this.#entries.size >= this.#maximumEntries;
      if (!isFull && entry.openedAt >= oldest) return;
      entry.allowance.close();
      this.#entries.delete(key);
      const { caller, number } = partsOf(key);
      const newest = this.#newestEvicted.get(caller) ?? -1n;
      if (number > newest) this.#newestEvicted.set(caller, number);
    }
  }

  #isEvicted(key: string): boolean {
    const { caller, number } = partsOf(key);
    const newest = this.#newestEvicted.get(caller);
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
