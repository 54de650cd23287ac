import type { WorkerDirectory } from "@oleanderdeck/directory";
import { BaseRepeatShare, RepeatBudget } from "@oleanderdeck/retries";
import type { SidecarSettings } from "./sidecar_settings.ts";

/** Options of {@linkcode FleetRepeatLimit}. */
export interface FleetRepeatLimitOptions {
  /** Present settings. */
  readonly settings: () => SidecarSettings;
  readonly directory: WorkerDirectory;
  /** Whether the directory follows the platform's store. */
  readonly hasFreshRecords: () => boolean;
  /** Time within which nodes learn of a new worker, in milliseconds. */
  readonly propagationMs: number;
}

/**
 * Part of this node in the bound of the repeats that all workers of its service
 * get together.
 */
export class FleetRepeatLimit {
  /** Repeats that the own worker may get. */
  readonly budget: RepeatBudget;
  readonly #options: FleetRepeatLimitOptions;
  readonly #baseRepeats: BaseRepeatShare;

  /** @param options Settings and the workers of the service. */
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

  /** Notes the present number of workers; called a few times a second. */
  updateWorkerCount(): void {
    const { directory, settings } = this.#options;
    const { node, service } = settings();
    const others = directory.ofService(service).filter((record) =>
      record.node !== node
    );
    this.#baseRepeats.recordProcessCount(others.length + 1);
  }
}
