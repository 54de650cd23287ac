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

/** Request whose admission is explained. */
export interface ExplanationQuery extends RuleQuery {
  /** Timeout of the caller in milliseconds; 0 for the default of the policy. */
  readonly timeoutMs: number;
}

/** Parts of a node that decide on the admission of a request. */
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
 * Explains the admission of a root request over all shed keys. The shed key of a
 * request orders it within its priority: a service under pressure admits only
 * the requests with low keys. A binary search finds how many keys are admitted.
 */
function explainForAllShedKeys(
  explain: (shedKey: number) => AdmissionExplanation,
): AdmissionExplanation {
  const lowest = explain(0);
  if (lowest.refusal !== undefined) return lowest;
  const highest = explain(SHED_KEY_COUNT - 1);
  if (highest.refusal === undefined) return highest;
  let highestAdmittedKey = 0;
  let lowestShedKey = SHED_KEY_COUNT - 1;
  while (lowestShedKey - highestAdmittedKey > 1) {
    const middle = Math.floor((highestAdmittedKey + lowestShedKey) / 2);
    if (explain(middle).refusal === undefined) highestAdmittedKey = middle;
    else lowestShedKey = middle;
  }
  const share =
    `${lowestShedKey} of ${SHED_KEY_COUNT} shed keys are admitted, the others ` +
    `are rejected as ${highest.refusal}`;
  return { refusal: undefined, reasons: [...highest.reasons, share] };
}

/**
 * Explains whether this node would admit a root request now, and why.
 *
 * @param query Request to explain.
 * @param sources Policy, admission and clock of the node.
 */
export function explainAdmission(
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
  const explanation = explainForAllShedKeys((shedKey) =>
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
