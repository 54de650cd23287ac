/** Whether the request of a failed call was run by a backend server. */
export type Run = "no" | "yes" | "unknown";

/** What a caller and an operator are told about an error of one kind. */
export interface ErrorAnswer {
  /** HTTP status code of the answer to a caller. */
  readonly status: number;
  /** Name of the connect-es status code for RPC answers. */
  readonly code: string;
  /** Whether the request was run. */
  readonly run: Run;
  /** Whether the same request may succeed when it is repeated. */
  readonly retryable: boolean;
  /** Time to wait before a retry, in milliseconds; 0 when not retryable. */
  readonly retryAfterMs: number;
  /** Default text, a sentence without a full stop. */
  readonly text: string;
}

function answer(
  status: number,
  code: string,
  run: Run,
  retryAfterMs: number | undefined,
  text: string,
): ErrorAnswer {
  return {
    status,
    code,
    run,
    retryable: retryAfterMs !== undefined,
    retryAfterMs: retryAfterMs ?? 0,
    text,
  };
}

/**
 * The closed list of error kinds with the answer for each.
 *
 * A kind that is raised after bytes were sent to a backend server has run
 * `unknown` unless the backend server said otherwise.
 */
export const ERROR_ANSWERS = {
  no_such_service: answer(
    404,
    "not_found",
    "no",
    undefined,
    "The service has no policy",
  ),
  no_agreement: answer(
    403,
    "permission_denied",
    "no",
    undefined,
    "The organisation has no agreement",
  ),
  credential_refused: answer(
    401,
    "unauthenticated",
    "no",
    undefined,
    "The credential is not valid",
  ),
  malformed_request: answer(
    400,
    "invalid_argument",
    "no",
    undefined,
    "The request is malformed",
  ),
  too_large: answer(
    413,
    "invalid_argument",
    "no",
    undefined,
    "The request is too large",
  ),
  not_ready: answer(503, "unavailable", "no", 500, "The node is not ready"),
  permit_required: answer(
    428,
    "failed_precondition",
    "no",
    0,
    "The request needs a permit",
  ),
  permit_expired: answer(
    410,
    "failed_precondition",
    "no",
    undefined,
    "The permit has expired and was never used",
  ),
  outcome_unknown: answer(
    502,
    "unknown",
    "unknown",
    undefined,
    "The outcome of the request is unknown",
  ),
  already_run: answer(
    409,
    "already_exists",
    "yes",
    undefined,
    "The request was run and its answer is no longer held",
  ),
  organisation_limit: answer(
    429,
    "resource_exhausted",
    "no",
    1000,
    "The organisation is above its agreed limit",
  ),
  shed_low_priority: answer(
    503,
    "unavailable",
    "no",
    500,
    "The request was shed in favour of more important work",
  ),
  queue_full: answer(503, "unavailable", "no", 200, "The wait queue is full"),
  deadline_too_short: answer(
    504,
    "deadline_exceeded",
    "no",
    undefined,
    "The time left is shorter than the expected duration",
  ),
  deadline_exceeded: answer(
    504,
    "deadline_exceeded",
    "unknown",
    undefined,
    "The deadline passed",
  ),
  downstream_pressure: answer(
    503,
    "unavailable",
    "no",
    500,
    "A service further down is overloaded",
  ),
  no_worker: answer(
    503,
    "unavailable",
    "no",
    500,
    "No worker of the service is available",
  ),
  worker_refused: answer(
    503,
    "unavailable",
    "no",
    200,
    "The backend server refused the request before running it",
  ),
  worker_replaced: answer(
    503,
    "unavailable",
    "no",
    200,
    "Another worker answers at the address of the worker",
  ),
  retry_limit: answer(
    503,
    "unavailable",
    "no",
    1000,
    "The repeats of the service have reached their bound",
  ),
  worker_failed: answer(
    500,
    "internal",
    "yes",
    undefined,
    "The backend server failed the request",
  ),
  no_route: answer(
    404,
    "not_found",
    "no",
    undefined,
    "No route matches the request",
  ),
  connection_refused: answer(
    502,
    "unavailable",
    "no",
    100,
    "No connection to the backend server could be opened",
  ),
  connection_lost: answer(
    502,
    "unavailable",
    "unknown",
    100,
    "The connection to the backend server was lost",
  ),
  answer_cut: answer(
    502,
    "data_loss",
    "unknown",
    100,
    "The answer of the backend server was cut off",
  ),
  caller_cancelled: answer(
    499,
    "canceled",
    "unknown",
    undefined,
    "The caller cancelled the request",
  ),
  draining: answer(503, "unavailable", "no", 100, "The node is stopping"),
  store_unavailable: answer(
    503,
    "unavailable",
    "no",
    1000,
    "The platform's store is not available",
  ),
  conflict: answer(
    409,
    "aborted",
    "no",
    undefined,
    "The stored version is not the expected version",
  ),
  invalid_document: answer(
    422,
    "invalid_argument",
    "no",
    undefined,
    "The document is not valid",
  ),
  not_found: answer(404, "not_found", "no", undefined, "Nothing was found"),
  not_authorised: answer(
    403,
    "permission_denied",
    "no",
    undefined,
    "The role does not allow this operation",
  ),
  internal: answer(
    500,
    "internal",
    "unknown",
    undefined,
    "An internal error occurred",
  ),
} as const satisfies Readonly<Record<string, ErrorAnswer>>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof ERROR_ANSWERS;

/** All error kinds, for counters and documentation. */
export const ERROR_KINDS = Object.keys(ERROR_ANSWERS) as readonly ErrorKind[];

/**
 * Tells whether a text is an error kind.
 *
 * @param text Text received from another process.
 */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_ANSWERS, text);
}
