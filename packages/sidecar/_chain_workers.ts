import {
  type ChannelRunOptions,
  type NestedCall,
  WorkerChannel,
} from "@oleanderdeck/calling";
import type { LoadReport } from "@oleanderdeck/hop";
import { RepeatBudget } from "@oleanderdeck/retries";
import {
  type CallHandle,
  type WorkerCall,
  type WorkerConnections,
  WorkerGate,
  type WorkerResult,
  WorkerTracker,
} from "@oleanderdeck/serving";
import { isSignificantChange } from "./_load_change.ts";
import { TEST_NAMES } from "./_test_fleet.ts";
import { LoadReporter } from "./load_reporter.ts";

/** Time between two nodes, in milliseconds. */
const HOP_MS = 1;

/** Interval of the checks of a node, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Repeats that the worker may receive: a fifth of its calls, and some more. */
const REPEAT_RATIO = 0.2;
const BASE_REPEATS = 20;

/** What a worker does with its calls. */
export type WorkerState = "works" | "dead" | "refuses";

/** Runs that were started within a second, and those that succeeded. */
export interface RunCounts {
  started: number;
  succeeded: number;
}

/** Options of {@linkcode ReplayWorker}. */
export interface ReplayWorkerOptions {
  readonly node: string;
  readonly service: string;
  readonly slots: number;
  /** Work done in a millisecond, in milliseconds of an average worker. */
  readonly pace: number;
  /** Time of the first check, in milliseconds. */
  readonly firstCheckMs: number;
  readonly channels: () => ReturnType<
    ConstructorParameters<typeof LoadReporter>[0]["channels"]
  >;
  /** Does the work of a call; returns a function that cancels it. */
  readonly work: (
    call: WorkerCall,
    worker: ReplayWorker,
    finish: (isSuccess: boolean) => void,
  ) => () => void;
}

/** Node and worker of one host, without sockets. */
export class ReplayWorker {
  readonly node: string;
  readonly service: string;
  readonly gate: WorkerGate;
  /** Counts of each second since the start. */
  readonly counts: RunCounts[] = [];
  state: WorkerState = "works";
  pace: number;
  readonly #options: ReplayWorkerOptions;
  readonly #reporter: LoadReporter;
  readonly #views = new Set<ReplayChannel>();

  constructor(options: ReplayWorkerOptions) {
    this.#options = options;
    this.node = options.node;
    this.service = options.service;
    this.pace = options.pace;
    const tracker = new WorkerTracker();
    tracker.applyHeartbeat({
      workerId: options.node,
      service: options.service,
      address: "10.0.0.1:1",
      slots: options.slots,
      state: "ready",
      sequence: 1,
      startedAt: 1,
    });
    const send: WorkerConnections["send"] = (call, finish) =>
      this.#send(call, finish);
    this.gate = new WorkerGate({
      tracker,
      connections: { send } as WorkerConnections,
      names: TEST_NAMES,
      repeats: new RepeatBudget({
        ratio: () => REPEAT_RATIO,
        baseRepeats: () => BASE_REPEATS,
        windowMs: 10_000,
        now: () => performance.now(),
      }),
    });
    this.#reporter = new LoadReporter({
      gate: this.gate,
      channels: options.channels,
    });
    setTimeout(() => this.#check(), options.firstCheckMs);
  }

  /** Current load report, as it is sent with answers. */
  get load(): LoadReport {
    return this.#reporter.load;
  }

  addView(view: ReplayChannel): void {
    this.#views.add(view);
  }

  recordCall(call: NestedCall): void {
    this.#reporter.recordCall(call);
  }

  #check(): void {
    setTimeout(() => this.#check(), CHECK_INTERVAL_MS);
    if (this.state === "dead") return;
    this.#reporter.update();
    const { load } = this;
    this.#views.forEach((view) => {
      if (isSignificantChange(load, view.lastSentLoad)) view.sendLoad(load);
    });
  }

  #send(call: WorkerCall, finish: (result: WorkerResult) => void): CallHandle {
    if (this.state === "refuses") {
      setTimeout(() => finish(failed("worker_refused")), 1);
      return { cancel: () => undefined };
    }
    const second = Math.floor(performance.now() / 1_000);
    const counts = this.counts[second] ??= { started: 0, succeeded: 0 };
    counts.started++;
    let isDone = false;
    const end = (result: WorkerResult) => {
      if (isDone) return;
      isDone = true;
      stop();
      finish(result);
    };
    const stop = this.#options.work(call, this, (isSuccess) => {
      if (isDone || this.state === "dead") return;
      if (isSuccess) counts.succeeded++;
      end(answered(isSuccess ? 200 : 500));
    });
    return { cancel: () => end(failed("caller_cancelled")) };
  }
}

/** Link of one node to a worker, with the load that the node knows. */
export class ReplayChannel extends WorkerChannel {
  readonly node: string;
  readonly dataCentre = "a";
  readonly roundTripMs = 2 * HOP_MS;
  readonly isOpening = false;
  readonly isUnused = false;
  readonly lastCallAt = Infinity;
  load: LoadReport;
  lastSentLoad: LoadReport;
  unfinishedCalls = 0;
  readonly #worker: ReplayWorker;

  constructor(worker: ReplayWorker) {
    super();
    this.node = worker.node;
    this.#worker = worker;
    this.load = worker.load;
    this.lastSentLoad = this.load;
    worker.addView(this);
  }

  get isReachable(): boolean {
    return this.#worker.state !== "dead";
  }

  sendLoad(load: LoadReport): void {
    this.lastSentLoad = load;
    setTimeout(() => this.load = load, HOP_MS);
  }

  run(call: WorkerCall, { finish }: ChannelRunOptions): CallHandle {
    this.unfinishedCalls++;
    let handle: CallHandle | undefined;
    let isCancelled = false;
    setTimeout(() => {
      if (isCancelled) return this.#answer(failed("caller_cancelled"), finish);
      handle = this.#worker.gate.run(
        { ...call, timeLeftMs: call.timeLeftMs - HOP_MS },
        (result) => this.#answer(result, finish),
      );
    }, HOP_MS);
    return {
      cancel: () => {
        isCancelled = true;
        setTimeout(() => handle?.cancel(), HOP_MS);
      },
    };
  }

  #answer(result: WorkerResult, finish: (result: WorkerResult) => void): void {
    const { load } = this.#worker;
    this.lastSentLoad = load;
    setTimeout(() => {
      this.load = load;
      this.unfinishedCalls--;
      finish(result);
    }, HOP_MS);
  }
}

function answered(status: number): WorkerResult {
  return {
    kind: "answer",
    status,
    headers: [],
    body: Buffer.alloc(0),
    isRefusedBelow: false,
  };
}

function failed(error: "worker_refused" | "caller_cancelled"): WorkerResult {
  return {
    kind: "failure",
    error,
    mayHaveRun: error === "caller_cancelled",
    wasSent: true,
    retryAfterMs: 0,
  };
}
