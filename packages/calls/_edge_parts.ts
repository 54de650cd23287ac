import type { RootAllowanceCache } from "@oleanderdeck/retries";
import type { ContextCodec } from "./call_context.ts";
import type { CallServerOptions } from "./call_server_options.ts";
import type { CallWatch } from "./_call_watch.ts";
import type { IntakeReader } from "./_intake.ts";
import type { TargetPools } from "./_target_pools.ts";

/** Weight of the newest duration in the expected duration of a service. */
const DURATION_WEIGHT = 0.1;

/** What all calls of one edge share. */
export interface EdgeParts {
  readonly options: CallServerOptions;
  readonly nodeId: string;
  readonly incarnation: bigint;
  readonly codec: ContextCodec;
  readonly reader: IntakeReader;
  readonly pools: TargetPools;
  readonly watch: CallWatch;
  readonly callIds: CallIds;
  readonly durations: ExpectedDurations;
  readonly withdrawals: Withdrawals;
  readonly rootAllowances: RootAllowanceCache;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** Whether new calls are refused. */
  readonly isDraining: () => boolean;
}

/** Makes identities of attempts: incarnation and number, big-endian. */
export class CallIds {
  readonly #prefix = Buffer.alloc(8);
  #number = 0;

  /** @param incarnation Incarnation of the node. */
  constructor(incarnation: bigint) {
    this.#prefix.writeBigUInt64BE(BigInt.asUintN(64, incarnation));
  }

  next(): Uint8Array {
    const id = Buffer.allocUnsafe(16);
    this.#prefix.copy(id);
    this.#number++;
    id.writeUInt32BE(Math.floor(this.#number / 0x1_0000_0000), 8);
    id.writeUInt32BE(this.#number >>> 0, 12);
    return id;
  }
}

/**
 * Signals that withdraw waiting attempts. Making an abort signal takes 5 to
 * 12 us, so that one whose attempt did not wait is used again.
 */
export class Withdrawals {
  #spare: AbortController | undefined;

  /** Takes a controller that was never aborted. */
  take(): AbortController {
    const controller = this.#spare ?? new AbortController();
    this.#spare = undefined;
    return controller;
  }

  /** Gives back a controller whose attempt was answered at once. */
  giveBack(controller: AbortController): void {
    this.#spare = controller;
  }
}

/** Moving average of the duration of whole answers by service. */
export class ExpectedDurations {
  readonly #averages = new Map<string, number>();

  /** Expected duration in milliseconds; 0 when none was observed. */
  of(service: string): number {
    return this.#averages.get(service) ?? 0;
  }

  observe(service: string, milliseconds: number): void {
    const known = this.#averages.get(service);
    this.#averages.set(
      service,
      known === undefined
        ? milliseconds
        : known + (milliseconds - known) * DURATION_WEIGHT,
    );
  }
}
