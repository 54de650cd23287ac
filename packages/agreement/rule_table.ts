import {
  type Agreement,
  MAX_PATH_LENGTH,
  normalisePath,
  type RuleDefinition,
} from "./agreement_schema.ts";
import { PRIORITIES, type Priority, type RequestRule } from "./policy_view.ts";

/** Methods whose requests are idempotent unless a rule specifies otherwise. */
const IDEMPOTENT_METHODS = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
]);

const ANY_METHOD = "*";

/** Rules of one agreement; the one with the longest matching prefix applies. */
export class RuleTable {
  readonly #defaults: Agreement["defaults"];
  /** Rules as written, by service, then by path prefix, then by method. */
  readonly #definitions: ReadonlyMap<
    string,
    ReadonlyMap<string, ReadonlyMap<string, RuleDefinition>>
  >;
  readonly #resolvedRules = new Map<string, RequestRule>();

  /**
   * @param definitions Rules as written, no two of them with the same service,
   * method and path.
   * @param defaults Values for fields that are absent from a rule.
   */
  constructor(
    definitions: readonly RuleDefinition[],
    defaults: Agreement["defaults"],
  ) {
    this.#defaults = defaults;
    const services = new Map<
      string,
      Map<string, Map<string, RuleDefinition>>
    >();
    definitions.forEach((definition) => {
      const prefixes = services.get(definition.service) ?? new Map();
      services.set(definition.service, prefixes);
      const prefix = normalisePath(definition.path);
      const methods = prefixes.get(prefix) ?? new Map();
      prefixes.set(prefix, methods);
      methods.set(definition.method, definition);
    });
    this.#definitions = services;
  }

  /**
   * Returns the rule of a request. Among rules with the same path prefix, one
   * for the method takes precedence over one for every method. A request
   * without a matching rule has the default values.
   *
   * @param service Name of the service.
   * @param method HTTP method in upper case.
   * @param path Path as returned by {@linkcode normalisePath}.
   */
  find(service: string, method: string, path: string): RequestRule {
    const prefixes = this.#definitions.get(service);
    return this.#resolve(
      prefixes === undefined
        ? undefined
        : findDefinition(prefixes, method, path.slice(0, MAX_PATH_LENGTH + 1)),
      method,
    );
  }

  #resolve(
    definition: RuleDefinition | undefined,
    method: string,
  ): RequestRule {
    const idempotent = definition?.idempotent ?? IDEMPOTENT_METHODS.has(method);
    const priority = PRIORITIES.indexOf(
      definition?.priority ?? this.#defaults.priority,
    ) as Priority;
    // A default of `required` applies to non-idempotent requests only.
    const permit = idempotent
      ? "optional"
      : definition?.permit ?? this.#defaults.permit;
    const failureCost = definition?.failureCost ?? this.#defaults.failureCost;
    const key = `${priority} ${idempotent} ${permit} ${failureCost}`;
    const cached = this.#resolvedRules.get(key);
    if (cached !== undefined) return cached;
    const rule: RequestRule = { priority, idempotent, permit, failureCost };
    this.#resolvedRules.set(key, rule);
    return rule;
  }
}

function findDefinition(
  prefixes: ReadonlyMap<string, ReadonlyMap<string, RuleDefinition>>,
  method: string,
  path: string,
): RuleDefinition | undefined {
  let prefix = path;
  while (true) {
    const methods = prefixes.get(prefix);
    const definition = methods?.get(method) ?? methods?.get(ANY_METHOD);
    if (definition !== undefined || prefix === "/") return definition;
    const slash = prefix.lastIndexOf("/");
    if (slash < 0) return undefined;
    prefix = slash === 0 ? "/" : prefix.slice(0, slash);
  }
}
