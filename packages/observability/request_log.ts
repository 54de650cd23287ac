import xxhash from "xxhash-wasm";
import type { EventFields, EventLog } from "./event_log.ts";
import type { MetricsRegistry } from "./metrics_registry.ts";

/**
 * Events of a request with what they say. Those marked as failures are written
 * first; the others are written for a sample of the requests.
 */
export const REQUEST_EVENTS = {
  request_sent: {
    isFailure: false,
    text: "A worker was chosen and the request was sent to its node",
  },
  request_answered: {
    isFailure: false,
    text: "The worker's answer was passed to the caller",
  },
  request_failed: {
    isFailure: true,
    text: "The worker's answer, a failure of its own, was passed to the caller",
  },
  request_refused: {
    isFailure: true,
    text: "The caller got an answer of this node, with the reason",
  },
  request_repeated: {
    isFailure: true,
    text: "The request goes to another worker, with the reason",
  },
  request_passed_over: {
    isFailure: true,
    text: "A worker refused or failed the request, with the reason",
  },
  request_cancelled: {
    isFailure: true,
    text: "The caller closed its connection before the answer",
  },
  call_run: {
    isFailure: false,
    text: "The worker of this host ran a call of another node or this one",
  },
  call_refused: {
    isFailure: true,
    text: "The gate of the worker of this host refused a call, unsent",
  },
  call_failed: {
    isFailure: true,
    text: "The worker of this host was sent a call and gave no whole answer",
  },
} as const satisfies Readonly<Record<string, RequestEventText>>;

interface RequestEventText {
  readonly isFailure: boolean;
  readonly text: string;
}

/** Name of an event of a request. */
export type RequestEvent = keyof typeof REQUEST_EVENTS;

/** One of this many chains of requests is logged in full. */
const SAMPLE_MODULUS = 64;

/** Lines of requests that a process writes in a second, and at once. */
const LINES_PER_SECOND = 40;
const LINES_AT_ONCE = 120;

/** Part of the lines that is kept for failures. */
const FAILURE_SHARE = 0.5;

/** Options of {@linkcode RequestLog}. */
export interface RequestLogOptions {
  readonly log: EventLog;
  readonly metrics: MetricsRegistry;
}

/**
 * Writes one line for each decision about a request, within a bound on the
 * lines of a process. Whether a request is in the sample follows from the first
 * part of its identity, so that the lines of a whole chain are found on all
 * nodes.
 */
export class RequestLog {
  readonly #options: RequestLogOptions;
  readonly #hash: (text: string) => number;
  #tokens = LINES_AT_ONCE;
  #refilledAt = performance.now();

  private constructor(
    options: RequestLogOptions,
    hash: (text: string) => number,
  ) {
    this.#options = options;
    this.#hash = hash;
  }

  /** @param options Where lines and the count of those left out go. */
  static async open(options: RequestLogOptions): Promise<RequestLog> {
    const { h32 } = await xxhash();
    return new RequestLog(options, (text) => h32(text));
  }

  /**
   * Writes a line, if the event is a failure or the request is in the sample.
   *
   * @param event What was decided.
   * @param requestId Identity of the request.
   * @param fields Called for what decided it, only if the line is written.
   */
  write(
    event: RequestEvent,
    requestId: string,
    fields: () => EventFields,
  ): void {
    const { isFailure } = REQUEST_EVENTS[event];
    if (!isFailure && !this.#isSampled(requestId)) return;
    const reserve = isFailure ? 0 : LINES_AT_ONCE * FAILURE_SHARE;
    if (!this.#takeToken(reserve)) {
      this.#options.metrics.count("log_lines_left_out", { event });
      return;
    }
    const line = { request: requestId, ...fields() };
    this.#options.log.write("info", event, line);
  }

  #isSampled(requestId: string): boolean {
    const end = requestId.indexOf(".");
    const root = end < 0 ? requestId : requestId.slice(0, end);
    return this.#hash(root) % SAMPLE_MODULUS === 0;
  }

  #takeToken(reserve: number): boolean {
    const now = performance.now();
    const refill = (now - this.#refilledAt) * LINES_PER_SECOND / 1000;
    this.#tokens = Math.min(LINES_AT_ONCE, this.#tokens + refill);
    this.#refilledAt = now;
    if (this.#tokens < reserve + 1) return false;
    this.#tokens--;
    return true;
  }
}
