import xxhash from "xxhash-wasm";
import type { EventFields, EventLog } from "./event_log.ts";
import type { MetricsRegistry } from "./metrics_registry.ts";

/**
 * Events of a request with their meaning. Failures are logged for all requests
 * and take precedence within the limit on lines; other events are logged for a
 * sample of the requests.
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
    text: "This node answered the request itself, with the reason",
  },
  request_repeated: {
    isFailure: true,
    text: "The request is sent to another worker, with the reason",
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
    text:
      "The worker of this host ran a call from another node or from this one",
  },
  call_refused: {
    isFailure: true,
    text:
      "The gate of the worker of this host refused a call and did not send it",
  },
  call_failed: {
    isFailure: true,
    text:
      "A call was sent to the worker of this host, which gave no complete answer",
  },
} as const satisfies Readonly<Record<string, RequestEventText>>;

interface RequestEventText {
  readonly isFailure: boolean;
  readonly text: string;
}

/** Name of an event of a request. */
export type RequestEvent = keyof typeof REQUEST_EVENTS;

/**
 * One of this many chains of requests is logged with all its events. A chain is
 * a request with all calls that result from it.
 */
const SAMPLE_MODULUS = 64;

/** Limits on the lines of a process: the sustained rate, and the burst. */
const LINES_PER_SECOND = 40;
const MAX_BURST_LINES = 120;

/** Share of the burst that is reserved for failures. */
const FAILURE_SHARE = 0.5;

/** Options of {@linkcode RequestLog}. */
export interface RequestLogOptions {
  readonly log: EventLog;
  readonly metrics: MetricsRegistry;
}

/**
 * Writes one line for each decision about a request, within a limit on the
 * lines of a process. Whether a request is in the sample depends only on the
 * first part of its identifier, which all requests of a chain share, so that
 * the lines of a complete chain are found on all nodes.
 */
export class RequestLog {
  readonly #options: RequestLogOptions;
  readonly #hash: (text: string) => number;
  #tokens = MAX_BURST_LINES;
  #refilledAt = performance.now();

  private constructor(
    options: RequestLogOptions,
    hash: (text: string) => number,
  ) {
    this.#options = options;
    this.#hash = hash;
  }

  /**
   * Opens a log after loading the hash function.
   *
   * @param options Log for the lines, and metrics that count those left out.
   */
  static async open(options: RequestLogOptions): Promise<RequestLog> {
    const { h32 } = await xxhash();
    return new RequestLog(options, (text) => h32(text));
  }

  /**
   * Writes a line, if the event is a failure or the request is in the sample.
   *
   * @param event Decision about the request.
   * @param requestId Identifier of the request.
   * @param fields Returns the inputs of the decision; called only if the line
   * is written.
   */
  write(
    event: RequestEvent,
    requestId: string,
    fields: () => EventFields,
  ): void {
    const { isFailure } = REQUEST_EVENTS[event];
    if (!isFailure && !this.#isSampled(requestId)) return;
    const reserve = isFailure ? 0 : MAX_BURST_LINES * FAILURE_SHARE;
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
    this.#tokens = Math.min(MAX_BURST_LINES, this.#tokens + refill);
    this.#refilledAt = now;
    if (this.#tokens < reserve + 1) return false;
    this.#tokens--;
    return true;
  }
}
