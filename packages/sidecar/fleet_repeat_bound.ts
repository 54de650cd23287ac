import type { WorkerDirectory } from "@oleanderdeck/directory";
import { ConstantShare, RepeatBudget } from "@oleanderdeck/retries";
import type { SidecarSettings } from "./sidecar_settings.ts";

/** Options of {@linkcode FleetRepeatBound}. */
export interface FleetRepeatBoundOptions {
  /** Present settings. */
  readonly settings: () => SidecarSettings;
  readonly directory: WorkerDirectory;
  /** Whether the directory follows the platform's store. */
  readonly hasRecords: () => boolean;
  /** Time within which nodes learn of a new worker, in milliseconds. */
  readonly noticeMs: number;
}

/**
 * Part of this node in the bound of the repeats that all workers of its service
 * get together.
 */
export class FleetRepeatBound {
  /** Repeats that the own worker may get. */
  readonly budget: RepeatBudget;
  readonly #options: FleetRepeatBoundOptions;
  readonly #constant: ConstantShare;

  /** @param options Settings and the workers of the service. */
  constructor(options: FleetRepeatBoundOptions) {
    this.#options = options;
    const { hasRecords, noticeMs, settings } = options;
    const { windowMs } = settings().retries;
    const now = () => performance.now();
    this.#constant = new ConstantShare({
      constant: () => settings().retries.constant,
      windowMs,
      noticeMs,
      now,
    });
    this.budget = new RepeatBudget({
      ratio: () => settings().retries.ratio,
      constant: () => hasRecords() ? this.#constant.value : 0,
      windowMs,
      now,
    });
  }

  /** Notes the present number of workers; called a few times a second. */
  check(): void {
    const { directory, settings } = this.#options;
    const { node, service } = settings();
    const others = directory.ofService(service).filter((record) =>
      record.node !== node
    );
    this.#constant.note(others.length + 1);
  }
}
