import {
  type Agreement,
  MAX_PATH_LENGTH,
  normalisePath,
  type RequestEntry,
} from "./agreement_schema.ts";
import { PRIORITIES, type Priority, type RequestRule } from "./policy_view.ts";

/** Methods whose requests may run more than once unless a rule says otherwise. */
const IDEMPOTENT_METHODS = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
]);

const ANY_METHOD = "*";

/** Rules of one agreement. The rule with the longest path prefix applies. */
export class RuleTable {
  readonly #defaults: Agreement["defaults"];
  /** Rules by service, then by path prefix, then by method. */
  readonly #services: ReadonlyMap<
    string,
    ReadonlyMap<string, ReadonlyMap<string, RequestEntry>>
  >;
  readonly #rules = new Map<string, RequestRule>();

  /**
   * @param entries Rules, no two of them with the same service, method and path.
   * @param defaults Values for what the rules leave open.
   */
  constructor(
    entries: readonly RequestEntry[],
    defaults: Agreement["defaults"],
  ) {
    this.#defaults = defaults;
    const services = new Map<string, Map<string, Map<string, RequestEntry>>>();
    entries.forEach((entry) => {
      const prefixes = services.get(entry.service) ?? new Map();
      services.set(entry.service, prefixes);
      const prefix = normalisePath(entry.path);
      const methods = prefixes.get(prefix) ?? new Map();
      prefixes.set(prefix, methods);
      methods.set(entry.method, entry);
    });
    this.#services = services;
  }

  /**
   * Finds the rule of a request. Among rules with the same prefix, one for the
   * method applies before one for every method.
   *
   * @param service Name of the service.
   * @param method HTTP method in upper case.
   * @param path Path as returned by {@linkcode normalisePath}.
   */
  find(service: string, method: string, path: string): RequestRule {
    const prefixes = this.#services.get(service);
    return this.#resolve(
      prefixes === undefined
        ? undefined
        : findEntry(prefixes, method, path.slice(0, MAX_PATH_LENGTH + 1)),
      method,
    );
  }

  #resolve(entry: RequestEntry | undefined, method: string): RequestRule {
    const idempotent = entry?.idempotent ?? IDEMPOTENT_METHODS.has(method);
    const priority = PRIORITIES.indexOf(
      entry?.priority ?? this.#defaults.priority,
    ) as Priority;
    // A default of `required` is meant for non-idempotent requests only.
    const permit = idempotent
      ? "optional"
      : entry?.permit ?? this.#defaults.permit;
    const failureCost = entry?.failureCost ?? this.#defaults.failureCost;
    const key = `${priority} ${idempotent} ${permit} ${failureCost}`;
    const known = this.#rules.get(key);
    if (known !== undefined) return known;
    const rule: RequestRule = { priority, idempotent, permit, failureCost };
    this.#rules.set(key, rule);
    return rule;
  }
}

function findEntry(
  prefixes: ReadonlyMap<string, ReadonlyMap<string, RequestEntry>>,
  method: string,
  path: string,
): RequestEntry | undefined {
  let prefix = path;
  while (true) {
    const methods = prefixes.get(prefix);
    const entry = methods?.get(method) ?? methods?.get(ANY_METHOD);
    if (entry !== undefined || prefix === "/") return entry;
    const slash = prefix.lastIndexOf("/");
    if (slash < 0) return undefined;
    prefix = slash === 0 ? "/" : prefix.slice(0, slash);
  }
}
