import type { Configuration } from "@oleanderdeck/directory";
import type { RoutedHeader } from "./_routed_request.ts";
import {
  type AdmittedCaller,
  CallerAuthenticator,
  type CallerDecision,
  organisationHeaderValue,
} from "./caller_identity.ts";
import type { CallerProxyOptions } from "./caller_proxy_options.ts";

/** Options of {@linkcode CallerIdentification}. */
export type CallerIdentificationOptions = Pick<
  CallerProxyOptions,
  | "isConfigurationPossiblyOutdated"
  | "isConfigurationUnconfirmed"
  | "names"
>;

/** Identifies callers by the configuration in force. */
export class CallerIdentification {
  readonly #options: CallerIdentificationOptions;
  #authenticator: CallerAuthenticator | undefined;

  /** @param options Header names, and how current the configuration is. */
  constructor(options: CallerIdentificationOptions) {
    this.#options = options;
  }

  /** Whether callers belong to organisations. */
  get hasOrganisations(): boolean {
    return this.#authenticator?.hasOrganisations === true;
  }

  /** Applies the organisations and routes of a configuration. */
  apply(configuration: Configuration): void {
    this.#authenticator = new CallerAuthenticator(configuration);
  }

  /**
   * Decides by the configuration in force now, which may be newer than the one when
   * the header came in.
   *
   * @param header Header of a request with its route.
   * @param isNested Whether the worker on this host runs the request that led to it.
   */
  decide(
    { credential, requestId, route }: RoutedHeader,
    isNested: boolean,
  ): CallerDecision {
    const { isConfigurationPossiblyOutdated, isConfigurationUnconfirmed } =
      this.#options;
    if (this.#authenticator === undefined) {
      return { error: "not_ready", keyDigits: undefined };
    }
    return this.#authenticator.decide(
      { credential, requestId, route, isNested },
      () =>
        isConfigurationPossiblyOutdated(true) ||
        isConfigurationUnconfirmed?.() === true,
    );
  }

  /**
   * Returns the header lines that tell a worker of the caller. Without organisations
   * those of the caller are passed on.
   */
  headers(
    { identityFields }: RoutedHeader,
    { organisation }: AdmittedCaller,
  ): readonly string[] {
    if (!this.hasOrganisations) return identityFields;
    const { names } = this.#options;
    return organisation === undefined
      ? []
      : [names.organisation, organisationHeaderValue(organisation)];
  }
}
