import { ERROR_DETAILS, type ErrorKind } from "@oleanderdeck/errors";
import type { HeaderLines, LoadReport } from "@oleanderdeck/hop";
import type {
  CallHandle,
  WorkerFailure,
  WorkerResult,
} from "@oleanderdeck/serving";
import type { WorkerChannel } from "./worker_channel.ts";
import { chooseChannel } from "./worker_choice.ts";

/**
 * Workers that may refuse a call for want of room, unsent, before the caller is
 * told.
 */
const MAX_REFUSALS = 3;

/** Time left below which a call is not sent again, in milliseconds. */
const MIN_RETRY_TIME_MS = 30;

/** Pause that a refused caller is told when no worker named one. */
const DEFAULT_RETRY_AFTER_MS = 500;

/** One request of a caller, read whole. */
export interface CallerRequest {
  readonly requestId: string;
  /** Name of the request's route. */
  readonly route: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderLines;
  readonly body: Buffer;
  readonly service: string;
  readonly isIdempotent: boolean;
  /** Greatest number of workers that the request is sent to. */
  readonly maxAttempts: number;
  readonly latencyTargetMs: number;
  /** Rank of the request; 0 is served first. */
  readonly rank: number;
  /** Whether a request that led to this one was sent again. */
  readonly isRepeat: boolean;
  /** Time of the process at which the caller needs an answer. */
  readonly deadline: number;
}

/** Complete answer of a worker. */
export interface TaskAnswer {
  readonly kind: "answer";
  readonly status: number;
  readonly headers: HeaderLines;
  readonly body: Buffer;
  /** Node beside the worker that answered. */
  readonly worker: string;
}

/** Answer of this node in place of a worker's. */
export interface TaskRefusal {
  readonly kind: "refusal";
  readonly error: ErrorKind;
  readonly status: number;
  readonly retryAfterMs: number;
  /** Node beside the last worker that was chosen; empty if none was. */
  readonly worker: string;
}

/** Final outcome of a request. */
export type TaskResult = TaskAnswer | TaskRefusal;

/** Receives what is decided about a request, for logs and counters. */
export interface TaskObserver {
  /** A worker was chosen. */
  onSent(request: CallerRequest, channel: WorkerChannel): void;
  /** A worker refused or failed the request. */
  onAttemptFailed(
    request: CallerRequest,
    node: string,
    failure: WorkerFailure,
  ): void;
  /** The request goes to another worker after it was sent to one. */
  onRepeat(request: CallerRequest, reason: ErrorKind): void;
}

/** Options of {@linkcode CallTask}. */
export interface CallTaskOptions {
  readonly dataCentre: string;
  /** Ways to the workers of a service at present. */
  readonly channels: (service: string) => readonly WorkerChannel[];
  /** Overload of a service, and of those that calls of a route reach. */
  readonly pressureOf: (service: string, route: string) => number;
  /** Usual size of an answer of a service. */
  readonly answerBytes?: (service: string) => number;
  /** Receives the final outcome once. */
  readonly finish: (result: TaskResult) => void;
  readonly observer?: TaskObserver;
}

/**
 * Carries one request from its caller to a worker. It goes to another worker
 * only where that is safe: after a refusal that proves it has not run, or, if
 * it is idempotent, after a failure, within the attempts of its route and what
 * the gates of the workers let through of repeats.
 */
export class CallTask {
  readonly #request: CallerRequest;
  readonly #options: CallTaskOptions;
  readonly #tried = new Set<string>();
  readonly #timer: NodeJS.Timeout;
  #callHandle: CallHandle | undefined;
  #node = "";
  #attempts = 0;
  /** Attempts after which the request has been sent again. */
  #repeats = 0;
  #refusals = 0;
  #mayHaveRun = false;
  /** Failure of a worker's own, passed on if no other worker gives more. */
  #failedAnswer: TaskAnswer | undefined;
  #isDone = false;

  /**
   * @param request Request of the caller.
   * @param options Workers and receiver of the outcome.
   */
  constructor(request: CallerRequest, options: CallTaskOptions) {
    this.#request = request;
    this.#options = options;
    this.#timer = setTimeout(
      () => this.#expire(),
      Math.max(0, request.deadline - performance.now()),
    );
  }

  /** Whether the outcome has been given. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /** Sends the request to its first worker. */
  start(): void {
    this.#send("no_worker");
  }

  #choose(accepts: (load: LoadReport) => boolean): WorkerChannel | undefined {
    const { body, service } = this.#request;
    return chooseChannel(this.#options.channels(service), {
      dataCentre: this.#options.dataCentre,
      excluded: this.#tried,
      bytes: body.length + (this.#options.answerBytes?.(service) ?? 0),
      accepts,
    });
  }

  // Whether a gate lets the request through, by its last report.
  #isOpenFor(load: LoadReport): boolean {
    const isRepeat = this.#request.isRepeat || this.#attempts > 0;
    return (!isRepeat || load.repeatShare > 0) && this.#isOpenBelow(load);
  }

  // Whether the calls of the run would be let through, if it is a repeat.
  #isOpenBelow({ unrepeatableRoutes }: LoadReport): boolean {
    return this.#attempts === 0 ||
      !unrepeatableRoutes.includes(this.#request.route);
  }

  /** The caller has gone: the worker need not go on. */
  cancel(): void {
    if (this.#isDone) return;
    this.#close();
    this.#callHandle?.cancel();
  }

  #send(lastError: ErrorKind, retryAfterMs = DEFAULT_RETRY_AFTER_MS): void {
    const { requestId, service, deadline } = this.#request;
    const channel = this.#choose((load) => this.#isOpenFor(load)) ??
      this.#choose((load) => this.#isOpenBelow(load));
    if (channel === undefined) return this.#refuse(lastError, retryAfterMs);
    if (this.#attempts > this.#repeats) {
      this.#repeats = this.#attempts;
      this.#options.observer?.onRepeat(this.#request, lastError);
    }
    this.#tried.add(channel.node);
    this.#node = channel.node;
    this.#options.observer?.onSent(this.#request, channel);
    const { method, target, headers, body } = this.#request;
    const { isIdempotent, latencyTargetMs, rank } = this.#request;
    this.#callHandle = channel.run({
      requestId,
      route: this.#request.route,
      method,
      target,
      headers,
      body,
      isIdempotent,
      latencyTargetMs,
      rank,
      isRepeat: this.#request.isRepeat || this.#attempts > 0,
      timeLeftMs: deadline - performance.now(),
    }, { service, finish: (result) => this.#receive(result) });
  }

  #receive(result: WorkerResult): void {
    if (this.#isDone) return;
    if (result.kind === "answer") {
      const answer = { ...result, worker: this.#node };
      if (this.#isWorthRepeating(result.status)) {
        this.#mayHaveRun = true;
        this.#failedAnswer = answer;
        this.#attempts++;
        if (this.#mayRepeat()) return this.#send("worker_failed");
      }
      return this.#finish(answer);
    }
    this.#receiveFailure(result);
  }

  // While a service further down is overloaded, its refusals are what workers
  // fail by, and a repeat would only add to its load.
  #isWorthRepeating(status: number): boolean {
    const { isIdempotent, route, service } = this.#request;
    return isIdempotent && status >= 500 && status !== 504 &&
      this.#options.pressureOf(service, route) === 0;
  }

  #receiveFailure(failure: WorkerFailure): void {
    const { error, mayHaveRun, wasSent, retryAfterMs } = failure;
    this.#options.observer?.onAttemptFailed(this.#request, this.#node, failure);
    this.#mayHaveRun ||= mayHaveRun;
    if (mayHaveRun && !this.#request.isIdempotent) {
      return this.#refuse(error, retryAfterMs);
    }
    if (wasSent) {
      this.#attempts++;
      if (!this.#mayRepeat()) return this.#refuse(error, retryAfterMs);
    } else if (isForWantOfRoom(error) && ++this.#refusals >= MAX_REFUSALS) {
      return this.#refuse(error, retryAfterMs);
    }
    this.#send(error, retryAfterMs);
  }

  #mayRepeat(): boolean {
    const { deadline, maxAttempts } = this.#request;
    return this.#attempts < maxAttempts &&
      deadline - performance.now() > MIN_RETRY_TIME_MS;
  }

  #expire(): void {
    if (this.#isDone) return;
    const callHandle = this.#callHandle;
    this.#finish({
      kind: "refusal",
      error: "deadline_exceeded",
      status: ERROR_DETAILS.deadline_exceeded.status,
      retryAfterMs: 0,
      worker: this.#node,
    });
    callHandle?.cancel();
  }

  #refuse(error: ErrorKind, retryAfterMs: number): void {
    if (this.#failedAnswer !== undefined) {
      return this.#finish(this.#failedAnswer);
    }
    const kind = this.#mayHaveRun ? lostKind(error) : notRunKind(error);
    this.#finish({
      kind: "refusal",
      error: kind,
      status: this.#mayHaveRun ? 502 : 503,
      retryAfterMs: retryAfterMs || DEFAULT_RETRY_AFTER_MS,
      worker: this.#node,
    });
  }

  #finish(result: TaskResult): void {
    this.#close();
    this.#options.finish(result);
  }

  #close(): void {
    this.#isDone = true;
    clearTimeout(this.#timer);
  }
}

function isForWantOfRoom(error: ErrorKind): boolean {
  return error === "queue_full" || error === "retry_limit";
}

function lostKind(error: ErrorKind): ErrorKind {
  return ERROR_DETAILS[error].run === "no" ? "connection_lost" : error;
}

function notRunKind(error: ErrorKind): ErrorKind {
  return ERROR_DETAILS[error].run === "no" ? error : "no_worker";
}
