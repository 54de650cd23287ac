/** Whether the request of a failed call was run by a backend server. */
export type ExecutionStatus = "no" | "yes" | "unknown";

/** Details of an error kind that are reported to callers and operators. */
export interface ErrorDetails {
  /** HTTP status code of the answer to a caller. */
  readonly status: number;
  /** Name of the connect-es status code for RPC answers. */
  readonly code: string;
  /** Whether the request was run. */
  readonly run: ExecutionStatus;
  /** Whether the same request may succeed when it is repeated. */
  readonly retryable: boolean;
  /**
   * Time to wait before a retry, in milliseconds; 0 if the kind is not
   * retryable or needs no wait.
   */
  readonly retryAfterMs: number;
  /** Default text, a sentence without a full stop. */
  readonly text: string;
}

function details(
  status: number,
  code: string,
  run: ExecutionStatus,
  retryAfterMs: number | undefined,
  text: string,
): ErrorDetails {
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
 * The closed list of error kinds with the details of each.
 *
 * A kind that is raised after bytes were sent to a backend server has the
 * execution status `unknown`, unless the backend server reported whether it ran
 * the request.
 */
export const ERROR_DETAILS = {
  no_such_service: details(
    404,
    "not_found",
    "no",
    undefined,
    "The service has no policy",
  ),
  no_agreement: details(
    403,
    "permission_denied",
    "no",
    undefined,
    "The organisation has no agreement",
  ),
  credential_refused: details(
    401,
    "unauthenticated",
    "no",
    undefined,
    "The credential is not valid",
  ),
  malformed_request: details(
    400,
    "invalid_argument",
    "no",
    undefined,
    "The request is malformed",
  ),
  too_large: details(
    413,
    "invalid_argument",
    "no",
    undefined,
    "The request is too large",
  ),
  not_ready: details(503, "unavailable", "no", 500, "The node is not ready"),
  no_memory: details(
    503,
    "unavailable",
    "no",
    1000,
    "The node has no memory left for the request",
  ),
  permit_required: details(
    428,
    "failed_precondition",
    "no",
    0,
    "The request needs a permit",
  ),
  permit_expired: details(
    410,
    "failed_precondition",
    "no",
    undefined,
    "The permit has expired and was never used",
  ),
  outcome_unknown: details(
    502,
    "unknown",
    "unknown",
    undefined,
    "The outcome of the request is unknown",
  ),
  already_run: details(
    409,
    "already_exists",
    "yes",
    undefined,
    "The request was run and its answer is no longer held",
  ),
  organisation_limit: details(
    429,
    "resource_exhausted",
    "no",
    1000,
    "The organisation is above its agreed limit",
  ),
  configuration_unproven: details(
    503,
    "unavailable",
    "no",
    1000,
    "The node has no proof that its configuration is the latest",
  ),
  too_many_requests_held: details(
    503,
    "unavailable",
    "no",
    1000,
    "The caller holds too many requests or connections at this node",
  ),
  shed_low_priority: details(
    503,
    "unavailable",
    "no",
    500,
    "The request was shed in favour of more important work",
  ),
  queue_full: details(503, "unavailable", "no", 200, "The wait queue is full"),
  deadline_too_short: details(
    504,
    "deadline_exceeded",
    "no",
    undefined,
    "The time left is shorter than the expected duration",
  ),
  deadline_exceeded: details(
    504,
    "deadline_exceeded",
    "unknown",
    undefined,
    "The deadline passed",
  ),
  downstream_pressure: details(
    503,
    "unavailable",
    "no",
    500,
    "A service further down is overloaded",
  ),
  no_worker: details(
    503,
    "unavailable",
    "no",
    500,
    "No worker of the service is available",
  ),
  worker_refused: details(
    503,
    "unavailable",
    "no",
    200,
    "The backend server refused the request before running it",
  ),
  worker_replaced: details(
    503,
    "unavailable",
    "no",
    200,
    "Another worker answers at the address of the worker",
  ),
  retry_limit: details(
    503,
    "unavailable",
    "no",
    1000,
    "The repeats of the service have reached their bound",
  ),
  worker_failed: details(
    500,
    "internal",
    "yes",
    undefined,
    "The backend server failed the request",
  ),
  no_route: details(
    404,
    "not_found",
    "no",
    undefined,
    "No route matches the request",
  ),
  connection_refused: details(
    502,
    "unavailable",
    "no",
    100,
    "No connection to the backend server could be opened",
  ),
  connection_lost: details(
    502,
    "unavailable",
    "unknown",
    100,
    "The connection to the backend server was lost",
  ),
  answer_cut: details(
    502,
    "data_loss",
    "unknown",
    100,
    "The answer of the backend server was cut off",
  ),
  caller_cancelled: details(
    499,
    "canceled",
    "unknown",
    undefined,
    "The caller cancelled the request",
  ),
  draining: details(503, "unavailable", "no", 100, "The node is stopping"),
  store_unavailable: details(
    503,
    "unavailable",
    "no",
    1000,
    "The platform's store is not available",
  ),
  conflict: details(
    409,
    "aborted",
    "no",
    undefined,
    "The stored version is not the expected version",
  ),
  invalid_document: details(
    422,
    "invalid_argument",
    "no",
    undefined,
    "The document is not valid",
  ),
  not_found: details(404, "not_found", "no", undefined, "Nothing was found"),
  not_authorised: details(
    403,
    "permission_denied",
    "no",
    undefined,
    "The role does not allow this operation",
  ),
  internal: details(
    500,
    "internal",
    "unknown",
    undefined,
    "An internal error occurred",
  ),
} as const satisfies Readonly<Record<string, ErrorDetails>>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof ERROR_DETAILS;

/** All error kinds, for counters and documentation. */
export const ERROR_KINDS = Object.keys(ERROR_DETAILS) as readonly ErrorKind[];

/**
 * Returns whether a text is the name of an error kind.
 *
 * @param text Text received from another process.
 */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_DETAILS, text);
}
