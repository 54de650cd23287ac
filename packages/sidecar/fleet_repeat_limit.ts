import type { WorkerDirectory } from "@oleanderdeck/directory";
import { BaseRepeatShare, RepeatBudget } from "@oleanderdeck/retries";
import type { SidecarSettings } from "./sidecar_settings.ts";

/** Options of {@linkcode FleetRepeatLimit}. */
export interface FleetRepeatLimitOptions {
  /** Returns the current settings. */
  readonly settings: () => SidecarSettings;
  readonly directory: WorkerDirectory;
  /** Whether the directory is up to date with the platform's store. */
  readonly hasFreshRecords: () => boolean;
  /** Time within which nodes discover a new worker, in milliseconds. */
  readonly propagationMs: number;
}

/**
 * Limits the repeats that the local worker receives, so that all workers of its
 * service together stay within the fleet's limit. A repeat is a request that is
 * sent again to a second worker, and each call which that execution makes.
 *
 * Without an up-to-date directory the number of workers is unknown, and the node
 * uses no part of the base repeats.
 */
export class FleetRepeatLimit {
  /** Budget of the repeats that the local worker may receive. */
  readonly budget: RepeatBudget;
  readonly #options: FleetRepeatLimitOptions;
  readonly #baseRepeats: BaseRepeatShare;

  /** @param options Settings and the directory of the workers. */
  constructor(options: FleetRepeatLimitOptions) {
    this.#options = options;
    const { hasFreshRecords, propagationMs, settings } = options;
    const { windowMs } = settings().repeatLimit;
    const now = () => performance.now();
    this.#baseRepeats = new BaseRepeatShare({
      baseRepeats: () => settings().repeatLimit.baseRepeats,
      windowMs,
      propagationMs,
      now,
    });
    this.budget = new RepeatBudget({
      ratio: () => settings().repeatLimit.ratio,
      baseRepeats: () => hasFreshRecords() ? this.#baseRepeats.value : 0,
      windowMs,
      now,
    });
  }

  /**
   * Records the current number of workers of the service, by which the base
   * repeats are divided; called several times a second.
   */
  updateWorkerCount(): void {
    const { directory, settings } = this.#options;
    const { node, service } = settings();
    const others = directory.ofService(service).filter((record) =>
      record.node !== node
    );
    this.#baseRepeats.recordProcessCount(others.length + 1);
  }
}
