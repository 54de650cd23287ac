import type { RootAllowanceCache } from "@oleanderdeck/retries";
import type { ContextCodec } from "./call_context.ts";
import type { CallServerOptions } from "./call_server_options.ts";
import type { CallTimeoutMonitor } from "./_call_timeout_monitor.ts";
import type { IncomingCallReader } from "./_incoming_call.ts";
import type { TargetPools } from "./_target_pools.ts";

/**
 * Weight of the latest duration in the exponential moving average of a service.
 */
const DURATION_WEIGHT = 0.1;

/** State and dependencies shared by all calls of one call server. */
export interface SharedCallState {
  readonly options: CallServerOptions;
  readonly nodeId: string;
  readonly incarnation: bigint;
  readonly codec: ContextCodec;
  readonly reader: IncomingCallReader;
  /** Connections to backend servers and other nodes. */
  readonly pools: TargetPools;
  /** Monitor of deadlines and progress timeouts. */
  readonly monitor: CallTimeoutMonitor;
  readonly callIds: CallIds;
  /** Expected durations of attempts, for retry decisions. */
  readonly durations: ExpectedDurations;
  readonly abortControllers: AbortControllerCache;
  /** Retry allowances of identified root requests. */
  readonly rootAllowances: RootAllowanceCache;
  /** Returns the monotonic time in milliseconds. */
  readonly now: () => number;
  /** Returns whether new calls are refused. */
  readonly isDraining: () => boolean;
}

/**
 * Generates call identities of 16 bytes for attempts: the incarnation of the node
 * and a sequence number, both big-endian.
 */
export class CallIds {
  readonly #prefix = Buffer.alloc(8);
  #number = 0;

  /** @param incarnation Incarnation of the node. */
  constructor(incarnation: bigint) {
    this.#prefix.writeBigUInt64BE(BigInt.asUintN(64, incarnation));
  }

  /** Returns the call identity for the next attempt. */
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
 * Cache of one abort controller for admission requests. Creating an abort
 * signal takes 5 to 12 us, so a controller is reused if its attempt did not
 * have to wait for admission.
 */
export class AbortControllerCache {
  #spare: AbortController | undefined;

  /** Returns a controller that was never aborted. */
  acquire(): AbortController {
    const controller = this.#spare ?? new AbortController();
    this.#spare = undefined;
    return controller;
  }

  /** Returns to the cache a controller whose attempt did not wait. */
  release(controller: AbortController): void {
    this.#spare = controller;
  }
}

/**
 * Exponential moving average, per service, of the time from dispatch to the end
 * of a complete response.
 */
export class ExpectedDurations {
  readonly #averages = new Map<string, number>();

  /**
   * Returns the expected duration in milliseconds; 0 if none was observed.
   *
   * @param service Name of the service.
   */
  of(service: string): number {
    return this.#averages.get(service) ?? 0;
  }

  /** Adds the duration of one attempt to the average of its service. */
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
