import type { WorkerResult } from "./worker_call.ts";
import type { CallHandle } from "./worker_gate_options.ts";

/** Where an attempt stands; it moves only down this list. */
type AttemptState =
  | { readonly kind: "new" }
  | { readonly kind: "starting"; readonly isCancelled: boolean }
  /** It has an outcome that came before its handle was known. */
  | { readonly kind: "finishing"; readonly result: WorkerResult }
  | { readonly kind: "running"; readonly handle: CallHandle }
  | { readonly kind: "ended" };

/**
 * One run of a call at a gate or a channel, which owns the handle of that run.
 * Its outcome is passed on only when the handle is known, so it makes no
 * difference whether the gate has an outcome before or after it returns. The
 * owner keeps the attempt before it starts it.
 */
export class Attempt {
  readonly #finish: (result: WorkerResult) => void;
  #state: AttemptState = { kind: "new" };

  /** @param finish Called once, with the outcome. */
  constructor(finish: (result: WorkerResult) => void) {
    this.#finish = finish;
  }

  /**
   * Starts the run.
   *
   * @param run Passes the call to the gate or channel, with the receiver of the
   * outcome, and returns its handle.
   * @throws {Error} If the attempt was started before.
   */
  start(run: (finish: (result: WorkerResult) => void) => CallHandle): void {
    if (this.#state.kind !== "new") {
      throw new Error("An attempt is started only once");
    }
    this.#state = { kind: "starting", isCancelled: false };
    this.#onHandle(run((result) => this.#onResult(result)));
  }

  /** Cancels the run unless it has an outcome; see {@linkcode CallHandle}. */
  cancel(): void {
    const state = this.#state;
    if (state.kind === "running") state.handle.cancel();
    else if (state.kind === "starting") {
      this.#state = { kind: "starting", isCancelled: true };
    }
  }

  #onHandle(handle: CallHandle): void {
    const state = this.#state;
    if (state.kind === "finishing") return this.#end(state.result);
    this.#state = { kind: "running", handle };
    if (state.kind === "starting" && state.isCancelled) handle.cancel();
  }

  #onResult(result: WorkerResult): void {
    const { kind } = this.#state;
    if (kind === "starting") this.#state = { kind: "finishing", result };
    else if (kind === "running") this.#end(result);
  }

  #end(result: WorkerResult): void {
    this.#state = { kind: "ended" };
    this.#finish(result);
  }
}
