/** Prefix of every HTTP header field that this project defines. */
export const FIELD_PREFIX = "oleanderdeck-";

/** Credential of the calling organisation: `<organisation>:<secret>`. */
export const CREDENTIAL_FIELD = "oleanderdeck-credential";

/** Identity of a request; a permit for a non-idempotent request. */
export const REQUEST_FIELD = "oleanderdeck-request";

/** Time remaining until the deadline of the request, in milliseconds. */
export const TIMEOUT_FIELD = "oleanderdeck-timeout-ms";

/** Retry allowance that the caller requests. */
export const RETRIES_FIELD = "oleanderdeck-retries";

/** Signed call context, copied by backend servers into their own calls. */
export const CONTEXT_FIELD = "oleanderdeck-context";

/** Number of this attempt, starting at 1. */
export const ATTEMPT_FIELD = "oleanderdeck-attempt";

/** Fencing token: `<serving incarnation>.<lease epoch>`. */
export const FENCE_FIELD = "oleanderdeck-fence";

/** Whether the request was executed: `no`, `yes` or `unknown`. */
export const RUN_FIELD = "oleanderdeck-run";

/** Error kind of a refusal. */
export const ERROR_FIELD = "oleanderdeck-error";

/** Time to wait before a retry, in milliseconds. */
export const RETRY_AFTER_FIELD = "oleanderdeck-retry-after-ms";

/** Admission threshold of the service that responds to a forwarded call. */
export const PRESSURE_FIELD = "oleanderdeck-pressure";

/** Number of retries that were lent with a forwarded call and not used. */
export const UNUSED_RETRIES_FIELD = "oleanderdeck-unused-retries";

/** Signature of the node that forwards a call. */
export const PEER_FIELD = "oleanderdeck-peer";

/** First path segment of the local control endpoints on the call port. */
export const CONTROL_PREFIX = "/oleanderdeck/v1/";
