import type { CallContextFields, ContextCodec } from "./call_context.ts";
import type { CallEdgeOptions } from "./call_edge_options.ts";
import type { CallWatch } from "./_call_watch.ts";
import type { IntakeReader } from "./_intake.ts";
import type { TargetPools } from "./_target_pools.ts";

/** Weight of the newest duration in the expected duration of a service. */
const DURATION_WEIGHT = 0.1;

/** What all calls of one edge share. */
export interface EdgeParts {
  readonly options: CallEdgeOptions;
  readonly nodeId: string;
  readonly incarnation: bigint;
  readonly codec: ContextCodec;
  readonly reader: IntakeReader;
  readonly pools: TargetPools;
  readonly watch: CallWatch;
  readonly callIds: CallIds;
  readonly durations: ExpectedDurations;
  /** Whether new calls are refused. */
  readonly isDraining: () => boolean;
}

/** Makes identities of attempts: incarnation and number, big-endian. */
export class CallIds {
  readonly #incarnation: bigint;
  #number = 0;

  /** @param incarnation Incarnation of the node. */
  constructor(incarnation: bigint) {
    this.#incarnation = incarnation;
  }

  next(): Uint8Array {
    const id = Buffer.alloc(16);
    id.writeBigUInt64BE(BigInt.asUintN(64, this.#incarnation), 0);
    this.#number++;
    id.writeUInt32BE(Math.floor(this.#number / 0x1_0000_0000), 8);
    id.writeUInt32BE(this.#number >>> 0, 12);
    return id;
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

/** Context of a call, without the parts that differ per attempt. */
export type SharedContext = Omit<
  CallContextFields,
  "callId" | "lentRetries" | "audience" | "audienceIncarnation"
>;
