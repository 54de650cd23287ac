import type {
  AdmissionControl,
  AdmissionExplanation,
} from "@oleanderdeck/admission";
import {
  type PolicyView,
  PRIORITIES,
  type RequestRule,
  type RuleQuery,
  SHED_KEY_COUNT,
} from "@oleanderdeck/agreement";
import type { ErrorKind } from "@oleanderdeck/errors";
import type { Clock } from "@oleanderdeck/settings";

/** Request to be explained. */
export interface ExplanationQuery extends RuleQuery {
  /** Time that the caller gives, in milliseconds; 0 for the policy's default. */
  readonly timeoutMs: number;
}

/** What decides about a request. */
export interface ExplanationSources {
  readonly view: PolicyView;
  readonly admission: AdmissionControl;
  readonly clock: Clock;
}

function refused(kind: ErrorKind, reason: string): AdmissionExplanation {
  return { refusal: kind, reasons: [reason] };
}

function describeRule(rule: RequestRule): readonly string[] {
  const repetition = rule.idempotent
    ? "The request is idempotent and may be sent again"
    : rule.permit === "required"
    ? "The request is non-idempotent and needs a permit"
    : "The request is non-idempotent and may bring a permit";
  return [`The priority is ${PRIORITIES[rule.priority]}`, repetition];
}

/**
 * Explains a root request for all shed keys: a service under pressure admits
 * only the requests with low keys.
 */
function explainKeys(
  explain: (shedKey: number) => AdmissionExplanation,
): AdmissionExplanation {
  const lowest = explain(0);
  if (lowest.refusal !== undefined) return lowest;
  const highest = explain(SHED_KEY_COUNT - 1);
  if (highest.refusal === undefined) return highest;
  let admitted = 0;
  let shed = SHED_KEY_COUNT - 1;
  while (shed - admitted > 1) {
    const middle = Math.floor((admitted + shed) / 2);
    if (explain(middle).refusal === undefined) admitted = middle;
    else shed = middle;
  }
  const share =
    `${shed} of ${SHED_KEY_COUNT} shed keys are admitted, the others ` +
    `are rejected as ${highest.refusal}`;
  return { refusal: undefined, reasons: [...highest.reasons, share] };
}

/**
 * Tells whether a root request would be admitted by this node now, and why.
 *
 * @param query The request.
 * @param sources Policy, admission and clock of the node.
 */
export function explainRequest(
  query: ExplanationQuery,
  sources: ExplanationSources,
): AdmissionExplanation {
  const { view, admission, clock } = sources;
  const { organisation, service } = query;
  if (view.organisation(organisation) === undefined) {
    return refused(
      "no_agreement",
      `The organisation ${organisation} has no agreement`,
    );
  }
  const policy = view.service(service);
  if (policy === undefined) {
    return refused("no_such_service", `The service ${service} has no policy`);
  }
  const rule = view.rule(query);
  const timeoutMs = Math.min(
    query.timeoutMs > 0 ? query.timeoutMs : policy.defaultTimeoutMs,
    policy.maximumTimeoutMs,
  );
  const deadline = clock.now() + timeoutMs;
  const explanation = explainKeys((shedKey) =>
    admission.explain({
      service,
      organisation,
      priority: rule.priority,
      shedKey,
      deadline,
      excludedNodes: [],
      countsForLimit: true,
      forwarded: false,
      callingService: undefined,
    })
  );
  return {
    refusal: explanation.refusal,
    reasons: [
      ...describeRule(rule),
      `The timeout is ${timeoutMs} ms`,
      ...explanation.reasons,
    ],
  };
}
