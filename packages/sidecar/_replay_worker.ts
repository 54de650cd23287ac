import type { LoadReport } from "@oleanderdeck/hop";
import type { EventQueue } from "./_replay_event_queue.ts";

/** Outcome of a call at a worker. */
export type ReplayOutcomeKind = "answered" | "refused" | "failed";

/** Estimates that the gate of a worker makes from its answers. */
export interface GateModel {
  readonly holdMs: number;
  readonly failureShare: number;
  readonly pace: number | undefined;
  recordAnswer(heldMs: number, isFailure: boolean): void;
  /** Called for a new incarnation of the worker. */
  reset(slots: number): void;
}

/** Call at a simulated worker. */
export interface ReplayCall {
  readonly workMs: number;
  readonly targetMs: number;
  readonly finish: (
    outcome: ReplayOutcomeKind,
    report: LoadReport | undefined,
  ) => void;
}

/** Options of {@linkcode SimulatedWorker}. */
export interface SimulatedWorkerOptions {
  readonly queue: EventQueue;
  readonly random: () => number;
  readonly seconds: number;
  readonly slots: number;
  readonly speed: number;
  readonly gate: GateModel;
}

const STALL_STEP_MS = 600;
const STALL_SHARE = 0.15;
const STALL_FACTOR = 1 / 2.5;
const COLD_FACTOR = 0.5;
const NEARLY_FULL = 0.95;
const NEARLY_FULL_FACTOR = 1.3;
const FAST_FAILURE_MS = 5;

/** Share of the latency target for which a call waits for a slot. */
const WAIT_SHARE = 0.3;

/** Worker with the gate in front of it. */
export class SimulatedWorker {
  readonly slots: number;
  readonly speed: number;
  /** Further factor of the speed. */
  slowdown = 1;
  /** Whether all calls fail at once. */
  isFailing = false;
  /** Whether calls are accepted; the running ones go on. */
  isAccepting = true;
  isRunning = true;
  readonly #options: SimulatedWorkerOptions;
  readonly #isStalled: readonly boolean[];
  #running = 0;
  #incarnation = 0;
  #coldUntil = 0;
  #waiting: { readonly call: ReplayCall; readonly arrivedAt: number }[] = [];
  #lost: (() => void)[] = [];

  constructor(options: SimulatedWorkerOptions) {
    this.#options = options;
    this.slots = options.slots;
    this.speed = options.speed;
    this.#isStalled = Array.from(
      { length: Math.ceil((options.seconds + 30) * 1_000 / STALL_STEP_MS) },
      () => options.random() < STALL_SHARE,
    );
    options.gate.reset(this.slots);
  }

  report(): LoadReport {
    const { gate } = this.#options;
    return {
      running: this.#running,
      waiting: this.#waiting.length,
      slots: this.isAccepting ? this.slots : 0,
      holdMs: Math.round(gate.holdMs),
      failureShare: Math.round(gate.failureShare * 100) / 100,
      pressure: 0,
      routePressures: [],
      repeatShare: 1,
      unrepeatableRoutes: [],
      ...(gate.pace !== undefined && { pace: gate.pace }),
    };
  }

  run(call: ReplayCall): void {
    if (!this.isRunning) return call.finish("failed", undefined);
    if (!this.isAccepting) return call.finish("refused", this.report());
    if (this.#waiting.length === 0 && this.#running < this.slots) {
      return this.#start(call);
    }
    const ahead = this.#waiting.length + this.#running + 1 - this.slots;
    const waitMs = ahead * this.#options.gate.holdMs / this.slots;
    if (waitMs > WAIT_SHARE * call.targetMs) {
      return call.finish("refused", this.report());
    }
    this.#waiting.push({ call, arrivedAt: this.#options.queue.now });
  }

  /** Ends the worker with its calls. */
  stop(): void {
    this.isRunning = false;
    this.#incarnation++;
    const lost = this.#lost;
    const waiting = this.#waiting;
    this.#lost = [];
    this.#waiting = [];
    this.#running = 0;
    lost.forEach((lose) => lose());
    waiting.forEach(({ call }) => call.finish("failed", undefined));
  }

  /** Starts a new incarnation. */
  start(coldMs: number): void {
    this.isRunning = true;
    this.isAccepting = true;
    this.#coldUntil = this.#options.queue.now + coldMs;
    this.#options.gate.reset(this.slots);
  }

  #start(call: ReplayCall): void {
    const { gate, queue } = this.#options;
    const incarnation = this.#incarnation;
    this.#running++;
    const isFailing = this.isFailing;
    const heldMs = isFailing ? FAST_FAILURE_MS : this.#durationMs(call.workMs);
    let isLost = false;
    const lose = () => {
      isLost = true;
      call.finish("failed", undefined);
    };
    this.#lost.push(lose);
    queue.after(heldMs, () => {
      if (isLost || incarnation !== this.#incarnation) return;
      const position = this.#lost.indexOf(lose);
      this.#lost[position] = this.#lost.at(-1)!;
      this.#lost.pop();
      this.#running--;
      gate.recordAnswer(heldMs, isFailing);
      call.finish(isFailing ? "failed" : "answered", this.report());
      this.#startWaiting();
    });
  }

  #startWaiting(): void {
    while (this.#running < this.slots) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      const { call, arrivedAt } = next;
      const waitedMs = this.#options.queue.now - arrivedAt;
      if (waitedMs > WAIT_SHARE * call.targetMs) {
        call.finish("refused", this.report());
      } else this.#start(call);
    }
  }

  // Works through the steps with and without stalls.
  #durationMs(workMs: number): number {
    const { now } = this.#options.queue;
    const isNearlyFull = this.#running > NEARLY_FULL * this.slots;
    let left = workMs * (isNearlyFull ? NEARLY_FULL_FACTOR : 1) *
      this.slowdown / this.speed;
    let at = now;
    for (;;) {
      const step = Math.floor(at / STALL_STEP_MS);
      const rate = (this.#isStalled[step] ? STALL_FACTOR : 1) *
        (at < this.#coldUntil ? COLD_FACTOR : 1);
      const stepEnd = (step + 1) * STALL_STEP_MS;
      const end = at < this.#coldUntil && this.#coldUntil < stepEnd
        ? this.#coldUntil
        : stepEnd;
      const done = (end - at) * rate;
      if (done >= left) return at + left / rate - now;
      left -= done;
      at = end + 1e-6;
    }
  }
}
