import type {
  CallerProxyObserver,
  CallerRequest,
  ClientLimit,
  ProxiedAnswer,
  ProxyRefusal,
  WorkerChannel,
} from "@oleanderdeck/calling";
import type { ErrorKind } from "@oleanderdeck/errors";
import type { LoadReport } from "@oleanderdeck/hop";
import type {
  EventFields,
  EventLog,
  MetricsRegistry,
  RequestLog,
} from "@oleanderdeck/observability";
import type {
  GateObserver,
  WorkerCall,
  WorkerFailure,
  WorkerResult,
} from "@oleanderdeck/serving";
import { ClientLimitLog } from "./client_limit_log.ts";
import { RepeatCounts } from "./repeat_counts.ts";

/** Options of {@linkcode RequestObserver}. */
export interface RequestObserverOptions {
  readonly log: EventLog;
  readonly requests: RequestLog;
  readonly metrics: MetricsRegistry;
}

/** Records the decisions of a node about requests in its logs and metrics. */
export class RequestObserver implements CallerProxyObserver, GateObserver {
  readonly #options: RequestObserverOptions;
  readonly #repeatCounts: RepeatCounts;
  readonly #clientLimits: ClientLimitLog;

  /** @param options Logs and metrics. */
  constructor(options: RequestObserverOptions) {
    this.#options = options;
    this.#repeatCounts = new RepeatCounts(options);
    this.#clientLimits = new ClientLimitLog(options);
  }

  onClientLimit(limit: ClientLimit): void {
    this.#clientLimits.record(limit);
  }

  onRunning({ isRepeat }: WorkerCall): void {
    this.#repeatCounts.increment(isRepeat ? "repeat" : "first");
  }

  onRepeatRefused(): void {
    this.#repeatCounts.increment("refused");
  }

  onLimitChanged(
    worker: string,
    requestsPerSecond: number | undefined,
  ): void {
    this.#options.log.write("info", "worker_limit", {
      worker,
      requests_per_second: requestsPerSecond ?? "none",
    });
  }

  onLeaving(worker: string): void {
    this.#options.log.write("info", "worker_leaving", {
      worker,
      said_in: "answer",
    });
  }

  onMalformedLimit(worker: string, limit: string): void {
    this.#options.log.write("warn", "worker_limit_malformed", {
      worker,
      limit,
    });
  }

  onSent(request: CallerRequest, { node, load }: WorkerChannel): void {
    this.#options.requests.write("request_sent", request.requestId, () => ({
      service: request.service,
      worker: node,
      rank: request.rank,
      ...callerFields(request),
      ...(load && { running: load.running, waiting: load.waiting }),
      ...(load?.pace !== undefined && { pace: load.pace }),
      left_ms: Math.round(request.deadline - performance.now()),
    }));
  }

  onAttemptFailed(
    request: CallerRequest,
    node: string,
    failure: WorkerFailure,
  ): void {
    const { requests } = this.#options;
    requests.write("request_passed_over", request.requestId, () => ({
      service: request.service,
      worker: node,
      reason: failure.error,
      may_have_run: failure.mayHaveRun,
    }));
  }

  onRepeat(request: CallerRequest, reason: ErrorKind): void {
    const { metrics, requests } = this.#options;
    const { requestId, service } = request;
    metrics.count("retries", { reason, service });
    requests.write("request_repeated", requestId, () => ({ service, reason }));
  }

  onAnswered(request: CallerRequest, answer: ProxiedAnswer): void {
    const { metrics, requests } = this.#options;
    const { rank, requestId, service } = request;
    metrics.observe("answer_ms", answer.elapsedMs, {
      service,
      rank,
      outcome: `${Math.floor(answer.status / 100)}xx`,
    });
    const event = answer.status >= 500 ? "request_failed" : "request_answered";
    requests.write(event, requestId, () => ({
      service,
      worker: answer.worker,
      status: answer.status,
      ...callerFields(request),
      elapsed_ms: answer.elapsedMs,
    }));
  }

  onRefused(refusal: ProxyRefusal): void {
    const { metrics, requests } = this.#options;
    const { elapsedMs, error: reason, requestId, service, status } = refusal;
    metrics.count("refusals", { reason, service });
    requests.write("request_refused", requestId, () => ({
      service,
      ...(refusal.worker !== "" && { worker: refusal.worker }),
      reason,
      status,
      ...callerFields(refusal),
      ...(refusal.admittedShare !== undefined && {
        admitted_share: refusal.admittedShare.toFixed(2),
      }),
      retry_after_ms: refusal.retryAfterMs,
      elapsed_ms: elapsedMs,
    }));
  }

  onCancelled({ requestId, service }: CallerRequest): void {
    const { metrics, requests } = this.#options;
    metrics.count("cancellations", { service });
    requests.write("request_cancelled", requestId, () => ({ service }));
  }

  /** Logs the repeats at the local worker since the last call of this method. */
  logRepeatCounts(): void {
    this.#repeatCounts.logAndReset();
  }

  /**
   * Records the outcome of a call at the local worker.
   *
   * @param call Rank and identity of the call.
   * @param result Response of the worker, or the reason for which there is none.
   * @param load Load of the worker after the call.
   */
  onWorkerResult(
    { rank, requestId }: Pick<WorkerCall, "rank" | "requestId">,
    result: WorkerResult,
    load: LoadReport,
  ): void {
    const { metrics, requests } = this.#options;
    if (result.kind === "answer") {
      return requests.write("call_run", requestId, () => ({
        status: result.status,
        rank,
      }));
    }
    const { error: reason, mayHaveRun, wasSent } = result;
    metrics.count("worker_failures", { reason });
    requests.write(wasSent ? "call_failed" : "call_refused", requestId, () => ({
      reason,
      rank,
      may_have_run: mayHaveRun,
      running: load.running,
      waiting: load.waiting,
      slots: load.slots,
      hold_ms: load.holdMs,
    }));
  }
}

// Names the organisation of a caller, and the start of its key's hash.
function callerFields(
  { organisation, keyDigits }: Pick<ProxyRefusal, "organisation" | "keyDigits">,
): EventFields {
  return {
    ...(organisation !== undefined && { organisation }),
    ...(keyDigits !== undefined && { key: keyDigits }),
  };
}
