import { ERROR_DETAILS, type ErrorKind } from "@oleanderdeck/errors";
import type { HeaderList, LoadReport } from "@oleanderdeck/hop";
import {
  Attempt,
  type MemoryReservation,
  type WorkerAnswer,
  type WorkerFailure,
  type WorkerResult,
} from "@oleanderdeck/serving";
import type { WorkerChannel } from "./worker_channel.ts";
import { type ChannelChoiceOptions, chooseChannel } from "./worker_choice.ts";

/**
 * Number of gates that may refuse a request for lack of capacity before the
 * refusal is returned to the caller.
 */
const MAX_CAPACITY_REFUSALS = 3;

/**
 * Number of times that a request is sent to each of its workers while they
 * refuse it. A worker that rejects part of its calls runs one of three mostly.
 */
const MAX_SENDS_PER_WORKER = 3;

/** Time before the deadline that a repeat needs at least, in milliseconds. */
const MIN_REPEAT_TIME_MS = 30;

/**
 * Retry delay returned to the caller when no worker stated one, in
 * milliseconds.
 */
const DEFAULT_RETRY_AFTER_MS = 500;

/** Request of a caller with its complete body. */
export interface CallerRequest {
  readonly requestId: string;
  /** Name of the request's route. */
  readonly route: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly service: string;
  readonly isIdempotent: boolean;
  /** Maximum number of workers that the request is sent to. */
  readonly maxAttempts: number;
  /** Time within which an answer has its full value, in milliseconds. */
  readonly latencyTargetMs: number;
  /** Position of the request in the priority order; 0 is served first. */
  readonly rank: number;
  /** Whether a request that led to this one was sent to a second worker. */
  readonly isRepeat: boolean;
  /** See {@linkcode WorkerCall}. */
  readonly admittedShare?: number | undefined;
  /** Time by which the caller needs an answer, as of `performance.now()`. */
  readonly deadline: number;
  /**
   * Name of the organisation on whose behalf the request is made; undefined for
   * nested calls and for callers without one.
   */
  readonly organisation?: string | undefined;
  /** First digits of the hash of the caller's key, for logs. */
  readonly keyDigits?: string | undefined;
}

/** Complete answer of a worker. */
export interface TaskAnswer {
  readonly kind: "answer";
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** See {@linkcode WorkerAnswer}. */
  readonly isRefusedBelow: boolean;
  /** See {@linkcode WorkerAnswer}. */
  readonly memory?: MemoryReservation | undefined;
  /** Name of the node on the host of the worker that answered. */
  readonly worker: string;
}

/** Error answer that this node returns in place of a worker's answer. */
export interface TaskRefusal {
  readonly kind: "refusal";
  readonly error: ErrorKind;
  readonly status: number;
  /** Time for the caller to wait before a retry, in milliseconds. */
  readonly retryAfterMs: number;
  /**
   * Name of the node on the host of the last chosen worker; empty if none was
   * chosen.
   */
  readonly worker: string;
}

/** Final outcome of a request. */
export type TaskResult = TaskAnswer | TaskRefusal;

/** Receives the events of a request, for logs and counters. */
export interface TaskObserver {
  /** Called before the request is sent to the chosen worker. */
  onSent(request: CallerRequest, channel: WorkerChannel): void;
  /** Called when an attempt at a worker was refused or has failed. */
  onAttemptFailed(
    request: CallerRequest,
    node: string,
    failure: WorkerFailure,
  ): void;
  /**
   * Called when a request that was already sent to one worker is about to be
   * sent to another.
   */
  onRepeat(request: CallerRequest, reason: ErrorKind): void;
}

/** Options of {@linkcode CallTask}. */
export interface CallTaskOptions {
  readonly dataCentre: string;
  /** Returns the channels to the current workers of a service. */
  readonly channels: (service: string) => readonly WorkerChannel[];
  /**
   * Returns the pressure, 0 to 1: the overload of a service and of the services
   * that calls of a route to it reach.
   */
  readonly pressureOf: (service: string, route: string) => number;
  /** Returns the expected size of an answer of a service, in bytes. */
  readonly answerBytes?: (service: string) => number;
  /**
   * Whether the request may be sent now; checked before each time that it is sent
   * to a worker's node. Always if absent.
   */
  readonly maySend?: () => boolean;
  /** Called once with the final outcome, unless the task is cancelled. */
  readonly finish: (result: TaskResult) => void;
  readonly observer?: TaskObserver;
}

/**
 * Sends the request of a caller to a worker, and to further workers only where
 * that is safe: after a refusal which proves that the request has not run, or,
 * if the request is idempotent, after a failure. Repeats are limited by the
 * route's maximum number of attempts and by the gates of the workers.
 */
export class CallTask {
  readonly #request: CallerRequest;
  readonly #options: CallTaskOptions;
  readonly #triedNodes = new Set<string>();
  /** Nodes of the workers that the request was sent to. */
  readonly #sentNodes = new Set<string>();
  /** Nodes of the workers that have refused the request without running it. */
  readonly #refusingNodes = new Set<string>();
  readonly #timer: NodeJS.Timeout;
  /** The last attempt; each begins when the one before has its outcome. */
  #attempt: Attempt | undefined;
  #node = "";
  /** Attempts that reached a worker and have ended without success. */
  #sentAttempts = 0;
  /** Value of `#sentAttempts` at the last call of `onRepeat`. */
  #reportedRepeats = 0;
  #capacityRefusals = 0;
  #mayHaveRun = false;
  #hasWaitedForLink = false;
  /** Error answer of a worker, returned if no other worker answers. */
  #errorAnswer: TaskAnswer | undefined;
  #isDone = false;

  /**
   * @param request Request of the caller.
   * @param options Workers and receivers of the outcome and events.
   */
  constructor(request: CallerRequest, options: CallTaskOptions) {
    this.#request = request;
    this.#options = options;
    this.#timer = setTimeout(
      () => this.#expire(),
      Math.max(0, request.deadline - performance.now()),
    );
  }

  /** Whether the request has its final outcome or was cancelled. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /** Sends the request to its first worker. */
  start(): void {
    this.#send("no_worker");
  }

  // A worker that has not been tried; once the request was sent to as many as
  // there are or the route allows, one that has refused it.
  #choose(
    accepts: (load: LoadReport) => boolean,
    { mayWaitForLink = false } = {},
  ): WorkerChannel | undefined {
    const { maxAttempts, service } = this.#request;
    const channels = this.#options.channels(service);
    if (this.#sentNodes.size < Math.min(maxAttempts, channels.length)) {
      return this.#chooseFrom(channels, {
        excluded: this.#triedNodes,
        accepts,
        mayWaitForLink,
      });
    }
    const refusing = channels.filter(({ node }) =>
      this.#refusingNodes.has(node)
    );
    const excluded = new Set(refusing.length > 1 ? [this.#node] : []);
    return this.#chooseFrom(refusing, { excluded, accepts, mayWaitForLink });
  }

  // Where no worker can be reached, the call waits for a link that is being
  // opened, but only once.
  #chooseOpening(): WorkerChannel | undefined {
    if (this.#hasWaitedForLink) return undefined;
    this.#hasWaitedForLink = true;
    return this.#choose(
      (load) => this.#mayAdmitNestedCalls(load),
      { mayWaitForLink: true },
    );
  }

  #chooseFrom(
    channels: readonly WorkerChannel[],
    options: Pick<
      ChannelChoiceOptions,
      "excluded" | "accepts" | "mayWaitForLink"
    >,
  ): WorkerChannel | undefined {
    const { body, isIdempotent, service } = this.#request;
    return chooseChannel(channels, {
      mayProbe: isIdempotent && this.#sentAttempts === 0,
      dataCentre: this.#options.dataCentre,
      bytes: body.length + (this.#options.answerBytes?.(service) ?? 0),
      ...options,
    });
  }

  // Whether the gate is expected to admit the request, by its last load report.
  #mayAdmitRequest(load: LoadReport): boolean {
    const isRepeat = this.#request.isRepeat || this.#sentAttempts > 0;
    return (!isRepeat || load.repeatShare > 0) &&
      this.#mayAdmitNestedCalls(load);
  }

  // Whether the calls that the execution makes are expected to be admitted if
  // the request is a repeat.
  #mayAdmitNestedCalls({ unrepeatableRoutes }: LoadReport): boolean {
    return this.#sentAttempts === 0 ||
      !unrepeatableRoutes.includes(this.#request.route);
  }

  /** Cancels the request, because the caller no longer waits for the answer. */
  cancel(): void {
    if (this.#isDone) return;
    this.#close();
    this.#attempt?.cancel();
  }

  #send(lastError: ErrorKind, retryAfterMs = DEFAULT_RETRY_AFTER_MS): void {
    const { service, deadline } = this.#request;
    const { maySend } = this.#options;
    if (maySend?.() === false) {
      return this.#refuse("configuration_unproven", DEFAULT_RETRY_AFTER_MS);
    }
    const channel = this.#choose((load) => this.#mayAdmitRequest(load)) ??
      this.#choose((load) => this.#mayAdmitNestedCalls(load)) ??
      this.#chooseOpening();
    if (channel === undefined) return this.#refuse(lastError, retryAfterMs);
    if (this.#sentAttempts > this.#reportedRepeats) {
      this.#reportedRepeats = this.#sentAttempts;
      this.#options.observer?.onRepeat(this.#request, lastError);
    }
    this.#triedNodes.add(channel.node);
    this.#node = channel.node;
    this.#options.observer?.onSent(this.#request, channel);
    const call = {
      ...this.#request,
      isRepeat: this.#request.isRepeat || this.#sentAttempts > 0,
      timeLeftMs: deadline - performance.now(),
    };
    this.#attempt = new Attempt((result) => this.#receive(result));
    this.#attempt.start((finish) =>
      channel.run(call, { service, finish, maySend })
    );
  }

  #receive(result: WorkerResult): void {
    if (this.#isDone) return;
    if (result.kind === "answer") {
      const answer = { ...result, worker: this.#node };
      if (this.#isWorthRepeating(result)) {
        this.#mayHaveRun = true;
        this.#errorAnswer = answer;
        this.#recordSent("worker_failed");
        if (this.#mayRepeat()) return this.#send("worker_failed");
      }
      return this.#finish(answer);
    }
    this.#receiveFailure(result);
  }

  // Where a call below was refused, or a service that the request reaches is
  // overloaded, a repeat on this level would mostly fail again, and each level
  // of the chain would multiply the calls of those below.
  #isWorthRepeating({ isRefusedBelow, status }: WorkerAnswer): boolean {
    const { isIdempotent, route, service } = this.#request;
    return isIdempotent && status >= 500 && status !== 504 &&
      !isRefusedBelow && this.#options.pressureOf(service, route) === 0;
  }

  #receiveFailure(failure: WorkerFailure): void {
    const { error, mayHaveRun, wasSent, retryAfterMs } = failure;
    this.#options.observer?.onAttemptFailed(this.#request, this.#node, failure);
    this.#mayHaveRun ||= mayHaveRun;
    const isFinal = mayHaveRun && !this.#request.isIdempotent ||
      error === "malformed_request";
    if (isFinal) return this.#refuse(error, retryAfterMs);
    if (wasSent) {
      this.#recordSent(error);
      if (!this.#mayRepeat()) return this.#refuse(error, retryAfterMs);
    } else if (
      isCapacityRefusal(error) &&
      ++this.#capacityRefusals >= MAX_CAPACITY_REFUSALS
    ) {
      return this.#refuse(error, retryAfterMs);
    }
    this.#send(error, retryAfterMs);
  }

  #recordSent(error: ErrorKind): void {
    this.#sentAttempts++;
    this.#sentNodes.add(this.#node);
    if (error === "worker_refused") this.#refusingNodes.add(this.#node);
    else this.#refusingNodes.delete(this.#node);
  }

  #mayRepeat(): boolean {
    const { deadline, maxAttempts } = this.#request;
    const hasWorker = this.#sentNodes.size < maxAttempts ||
      this.#refusingNodes.size > 0;
    return hasWorker &&
      this.#sentAttempts < maxAttempts * MAX_SENDS_PER_WORKER &&
      deadline - performance.now() > MIN_REPEAT_TIME_MS;
  }

  #expire(): void {
    if (this.#isDone) return;
    this.#finish({
      kind: "refusal",
      error: "deadline_exceeded",
      status: ERROR_DETAILS.deadline_exceeded.status,
      retryAfterMs: 0,
      worker: this.#node,
    });
    this.#attempt?.cancel();
  }

  #refuse(error: ErrorKind, retryAfterMs: number): void {
    if (this.#errorAnswer !== undefined) {
      return this.#finish(this.#errorAnswer);
    }
    const kind = this.#mayHaveRun
      ? errorIfPossiblyRun(error)
      : errorIfNotRun(error);
    this.#finish({
      kind: "refusal",
      error: kind,
      status: this.#mayHaveRun
        ? 502
        : kind === "malformed_request"
        ? ERROR_DETAILS[kind].status
        : 503,
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

function isCapacityRefusal(error: ErrorKind): boolean {
  return error === "queue_full" || error === "retry_limit";
}

function errorIfPossiblyRun(error: ErrorKind): ErrorKind {
  return ERROR_DETAILS[error].run === "no" ? "connection_lost" : error;
}

function errorIfNotRun(error: ErrorKind): ErrorKind {
  return ERROR_DETAILS[error].run === "no" ? error : "no_worker";
}
