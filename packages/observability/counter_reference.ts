import {
  ERROR_DETAILS,
  ERROR_KINDS,
  type ErrorKind,
} from "@oleanderdeck/errors";
import { RETRY_REASONS, type RetryReason } from "./statsd_metrics.ts";

const REFUSAL_ADVICE: Readonly<Record<ErrorKind, string>> = {
  no_such_service:
    "Callers use a service without a policy: apply one, or correct the callers",
  no_agreement: "An organisation has no agreement: apply one",
  credential_refused:
    "Wrong or removed credential: compare the agreement with what the caller sends",
  malformed_request:
    "The caller breaks the protocol or sends a forged context: find it by its address in the log",
  too_large:
    "Bodies above `maximumBodyBytes`: raise it in the service policy if they are wanted",
  not_ready:
    "The node has no configuration yet: normal for seconds after a start; otherwise check store and seeds",
  no_memory:
    "Large requests or answers fill the memory of the node: fewer at once, or more `memoryMb`",
  permit_required:
    'Normal where the agreement says `permit: "required"`; the caller repeats the request with the permit from the answer',
  permit_expired: "Callers keep permits longer than 10 minutes",
  outcome_unknown:
    "The node that issued a permit is gone: check by hand whether the request was run before sending it again",
  already_run:
    "A repeated request whose answer was too large or too old to be kept: the work is done",
  organisation_limit:
    "The organisation is above `callsPerSecond`: talk to it, or raise the limit",
  configuration_unproven:
    "The node cannot show that its configuration is the latest: look for `proof_lost` in its log, and check links to other nodes and the store",
  too_many_requests_held:
    "A client sends requests ahead or opens connections without end: find it by its address in the log",
  shed_low_priority:
    "Overload: see `oleanderdeck status` for the service with a low threshold, add workers there",
  queue_full:
    "As `shed_low_priority`; a longer `queueLength` only helps with short bursts",
  deadline_too_short:
    "Callers give less time than a request takes: compare timeouts with the service's durations",
  deadline_exceeded:
    "A backend server is slower than the deadline: see its own metrics, look for a slow downstream service",
  downstream_pressure:
    "A downstream service is overloaded: find the furthest one downstream with a low threshold",
  no_worker:
    "No live worker serves: check whether backend servers are registered, drained or cut off",
  worker_refused:
    "The backend server refuses requests by itself: its `slots` are set higher than its capacity",
  worker_replaced:
    "Normal for a moment after a worker was replaced; otherwise look for two nodes with one address",
  retry_limit:
    "Many requests of the service were sent again: look for workers that fail or lose answers",
  worker_failed: "The backend server answers with 500: see its own log",
  no_route: "A host or path that no route covers: correct the callers",
  connection_refused: "The backend server does not listen: restart it",
  connection_lost:
    "The backend server or the link failed during a call: see the member states in the log",
  answer_cut: "As `connection_lost`, after the answer began",
  caller_cancelled:
    "Callers cancel requests; a high count points to late answers",
  draining: "A node is stopping; callers use another one",
  store_unavailable:
    "The platform's store is down: nodes keep their configuration, and changes have to wait",
  conflict:
    "Operators changed a document at the same time: read the stored version and apply the change again",
  invalid_document: "A document is not valid; the answer lists its faults",
  not_found: "A name or an address does not exist",
  not_authorised: "A token has no role for the operation, or is unknown",
  internal:
    "A bug in oleanderdeck: report it with the event of level `error` from the log",
};

const RETRY_ADVICE: Readonly<Record<RetryReason, string>> = {
  worker_refused: "As the refusal of this kind",
  connection_refused:
    "A backend server is gone and its registration has not expired yet",
  connection_lost: "As the refusal of this kind",
  answer_cut: "As the refusal of this kind",
  no_progress:
    "A connection was silent for `progressTimeoutMs`: a device between the hosts dropped its state of the connection",
  shed_by_serving_node:
    "The serving node refused forwarded calls: there are too many callers for their leases, add workers",
};

function row(cells: readonly string[]): string {
  return `| ${cells.join(" | ")} |`;
}

function table(
  heading: readonly string[],
  rows: readonly (readonly string[])[],
): readonly string[] {
  return [row(heading), row(heading.map(() => "---")), ...rows.map(row)];
}

/** Renders the page with all refusal and retry counters in Markdown. */
export function renderCounterReference(): string {
  return [
    "# Counters",
    "",
    "Generated from the tables of error kinds and retry reasons. Every counter has the tag `service`; all metrics have the tags `node` and `data_centre`.",
    "",
    "## Refusals",
    "",
    "Counter `oleanderdeck.refusal.<kind>`. A caller finds the kind in `oleanderdeck-error`; _run_ states whether the request was run, and _retry_ how many milliseconds to wait before sending it again.",
    "",
    ...table(
      ["kind", "status", "run", "retry", "what to do"],
      ERROR_KINDS.map((kind) => {
        const { retryable, retryAfterMs, run, status } = ERROR_DETAILS[kind];
        return [
          `\`${kind}\``,
          String(status),
          run,
          retryable ? String(retryAfterMs) : "no",
          REFUSAL_ADVICE[kind],
        ];
      }),
    ),
    "",
    "## Retries",
    "",
    "Counter `oleanderdeck.retry.<reason>`.",
    "",
    ...table(
      ["reason", "what to do"],
      RETRY_REASONS.map((reason) => [`\`${reason}\``, RETRY_ADVICE[reason]]),
    ),
    "",
  ].join("\n");
}
