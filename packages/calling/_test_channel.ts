import type { LoadReport } from "@oleanderdeck/hop";
import type {
  CallHandle,
  WorkerCall,
  WorkerResult,
} from "@oleanderdeck/serving";
import { type ChannelRunOptions, WorkerChannel } from "./mod.ts";

/** Load of an idle worker with ten slots. */
export const IDLE: LoadReport = {
  running: 0,
  waiting: 0,
  slots: 10,
  holdMs: 40,
  failureShare: 0,
  pressure: 0,
  routePressures: [],
  repeatShare: 1,
  unrepeatableRoutes: [],
};

/** Channel whose outcomes are set by a test. */
export class TestChannel extends WorkerChannel {
  readonly node: string;
  readonly dataCentre: string;
  load: LoadReport | undefined;
  unfinishedCalls = 0;
  readonly roundTripMs: number;
  isReachable = true;
  isOpening = false;
  isUnused = false;
  lastCallAt = Infinity;
  readonly calls: WorkerCall[] = [];
  readonly cancelled: string[] = [];
  readonly #respond: (call: WorkerCall) => WorkerResult | undefined;

  constructor(
    node: string,
    respond: (call: WorkerCall) => WorkerResult | undefined,
    load: Partial<LoadReport> & {
      readonly dataCentre?: string;
      readonly roundTripMs?: number;
    } = {},
  ) {
    super();
    const { dataCentre = "wa-a", roundTripMs = 1, ...report } = load;
    this.roundTripMs = roundTripMs;
    this.node = node;
    this.dataCentre = dataCentre;
    this.load = { ...IDLE, ...report };
    this.#respond = respond;
  }

  run(call: WorkerCall, { finish }: ChannelRunOptions): CallHandle {
    this.calls.push(call);
    const result = this.#respond(call);
    if (result !== undefined) queueMicrotask(() => finish(result));
    return { cancel: () => this.cancelled.push(call.requestId) };
  }
}

/** Returns a complete answer. */
export function answered(status = 200): WorkerResult {
  return {
    kind: "answer",
    status,
    headers: [],
    body: Buffer.from("ok"),
    isRefusedBelow: false,
  };
}

/** The gate refused the call for lack of capacity. */
export const REFUSED_BY_GATE: WorkerResult = {
  kind: "failure",
  error: "queue_full",
  mayHaveRun: false,
  wasSent: false,
  retryAfterMs: 120,
};

/** The gate refused a repeat, because the limit of repeats is reached. */
export const RETRY_LIMIT: WorkerResult = {
  kind: "failure",
  error: "retry_limit",
  mayHaveRun: false,
  wasSent: false,
  retryAfterMs: 900,
};

/** The worker refused the call. */
export const REFUSED_BY_WORKER: WorkerResult = {
  kind: "failure",
  error: "worker_refused",
  mayHaveRun: false,
  wasSent: true,
  retryAfterMs: 80,
};

/** The link was lost, so the outcome is unknown. */
export const LOST: WorkerResult = {
  kind: "failure",
  error: "connection_lost",
  mayHaveRun: true,
  wasSent: true,
  retryAfterMs: 0,
};

/** No link could be opened, so the call was not sent. */
export const NOT_CONNECTED: WorkerResult = {
  kind: "failure",
  error: "connection_refused",
  mayHaveRun: false,
  wasSent: false,
  retryAfterMs: 0,
};
