import { type Either, Left, Right } from "purify-ts";
import {
  ANONYMOUS_ORGANISATION,
  type OrganisationPolicy,
  PolicyView,
  type RequestRule,
  type RuleQuery,
  type ServicePolicy,
} from "@oleanderdeck/agreement";
import { DeckError } from "@oleanderdeck/errors";

/** Options of {@linkcode OpenPolicy}. */
export interface OpenPolicyOptions {
  /** Policies by service, as differences from the default policy. */
  readonly services: Readonly<Record<string, Partial<ServicePolicy>>>;
  /** Secrets by organisation; none if absent. */
  readonly secrets?: Readonly<Record<string, string>>;
  /** Returns the differences from the default rule. */
  readonly rule?: (query: RuleQuery) => Partial<RequestRule>;
}

/**
 * Policy view that permits every known organisation to call every service. For
 * tests and benchmarks of the data path.
 */
export class OpenPolicy extends PolicyView {
  readonly #options: OpenPolicyOptions;

  /** @param options Services, organisations and rules. */
  constructor(options: OpenPolicyOptions) {
    super();
    this.#options = options;
  }

  service(name: string): ServicePolicy | undefined {
    const policy = Object.hasOwn(this.#options.services, name)
      ? this.#options.services[name]
      : undefined;
    return policy && {
      service: name,
      defaultTimeoutMs: 5000,
      maximumTimeoutMs: 30_000,
      retries: 3,
      maximumBodyBytes: 16 * 1024 * 1024,
      queueLength: 100,
      progressTimeoutMs: 2000,
      ...policy,
    };
  }

  organisation(name: string): OrganisationPolicy | undefined {
    return this.organisations().find((policy) => policy.organisation === name);
  }

  organisations(): readonly OrganisationPolicy[] {
    return [ANONYMOUS_ORGANISATION, ...Object.keys(this.#options.secrets ?? {})]
      .map((organisation) => ({
        organisation,
        weight: 1,
        callsPerSecond: undefined,
      }));
  }

  authenticate(
    credential: string | undefined,
  ): Either<DeckError, OrganisationPolicy> {
    const [name, secret] = (credential ?? ANONYMOUS_ORGANISATION).split(":");
    const policy = this.organisation(name!);
    if (policy === undefined) return Left(new DeckError("no_agreement"));
    return secret === this.#options.secrets?.[name!]
      ? Right(policy)
      : Left(new DeckError("credential_refused"));
  }

  rule(query: RuleQuery): RequestRule {
    return {
      priority: 2,
      idempotent: true,
      permit: "optional",
      failureCost: 1,
      ...this.#options.rule?.(query),
    };
  }
}
