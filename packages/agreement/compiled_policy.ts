import { hash, timingSafeEqual } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import { DeckError } from "@oleanderdeck/errors";
import type { ValidationIssue } from "@oleanderdeck/settings";
import { type Agreement, normalisePath } from "./agreement_schema.ts";
import { BoundedCache } from "./bounded_cache.ts";
import { parseDocumentName, readDocument } from "./document.ts";
import {
  ANONYMOUS_ORGANISATION,
  type OrganisationPolicy,
  PolicyView,
  type RequestRule,
  type RuleQuery,
  type ServicePolicy,
} from "./policy_view.ts";
import { RuleTable } from "./rule_table.ts";

/** Document from which a {@linkcode CompiledPolicy} is made. */
export interface PolicyDocument {
  readonly name: string;
  readonly version: number;
  /** JSON text; empty when deleted. */
  readonly content: string;
  readonly deleted: boolean;
}

/** Document that could not be compiled. */
export interface RejectedDocument {
  readonly name: string;
  readonly version: number;
  readonly faults: readonly ValidationIssue[];
}

interface OrganisationEntry {
  readonly policy: OrganisationPolicy;
  readonly hashes: readonly Buffer[];
  readonly rules: RuleTable;
}

interface CompiledDocument {
  readonly document: PolicyDocument;
  readonly organisation?: OrganisationEntry;
  readonly service?: ServicePolicy;
  readonly faults: readonly ValidationIssue[];
}

/** Rules kept for repeated look-ups; about 3 MB when all entries are used. */
const RULE_CACHE_ENTRIES = 8192;

/** Credentials kept after a successful check. */
const CREDENTIAL_CACHE_ENTRIES = 1024;

/** Longer paths are looked up each time, so that they cannot fill the memory. */
const LONGEST_CACHED_PATH = 256;

/** Longest credential; no longer text is hashed. */
const LONGEST_CREDENTIAL = 512;

const DEFAULT_RULES = new RuleTable([], {
  priority: "normal",
  permit: "optional",
  failureCost: 1,
});

function compileAgreement(agreement: Agreement): OrganisationEntry {
  return {
    policy: {
      organisation: agreement.organisation,
      weight: agreement.weight,
      callsPerSecond: agreement.callsPerSecond,
    },
    hashes: agreement.credentials.map(({ sha256 }) =>
      Buffer.from(sha256, "hex")
    ),
    rules: new RuleTable(agreement.requests, agreement.defaults),
  };
}

function compileDocument(
  document: PolicyDocument,
  previous: CompiledDocument | undefined,
): CompiledDocument {
  if (
    previous?.document.version === document.version &&
    previous.document.content === document.content &&
    previous.document.deleted === document.deleted
  ) return previous;
  if (document.deleted) return { document, faults: [] };
  // Unknown fields are ignored here, because a newer release may have stored
  // them during a rolling upgrade; they are rejected where documents are stored.
  return readDocument(document.name, document.content, {
    ignoreUnknownFields: true,
  })
    .caseOf<CompiledDocument>({
      // The version before stays in force, because losing an agreement rejects
      // every call of its organisation.
      Left: (faults) => ({ ...previous, document, faults }),
      Right: (value) =>
        parseDocumentName(document.name)!.kind === "agreement"
          ? {
            document,
            organisation: compileAgreement(value as Agreement),
            faults: [],
          }
          : { document, service: value as ServicePolicy, faults: [] },
    });
}

/** Lookup over a set of documents, made by {@linkcode compilePolicy}. */
export class CompiledPolicy extends PolicyView {
  readonly #compiled: ReadonlyMap<string, CompiledDocument>;
  readonly #organisations: ReadonlyMap<string, OrganisationEntry>;
  readonly #services: ReadonlyMap<string, ServicePolicy>;
  readonly #policies: readonly OrganisationPolicy[];
  readonly #rules = new BoundedCache<RequestRule>(RULE_CACHE_ENTRIES);
  readonly #credentials = new BoundedCache<OrganisationPolicy>(
    CREDENTIAL_CACHE_ENTRIES,
  );

  /**
   * @param documents All documents, deleted ones included.
   * @param previous Lookup whose parts are reused for unchanged documents.
   */
  constructor(
    documents: readonly PolicyDocument[],
    previous: CompiledPolicy | undefined,
  ) {
    super();
    const known = previous === undefined ? undefined : previous.#compiled;
    this.#compiled = new Map(
      documents.map((document) => [
        document.name,
        compileDocument(document, known?.get(document.name)),
      ]),
    );
    const parts = [...this.#compiled.values()];
    this.#organisations = new Map(
      parts.flatMap(({ organisation }) =>
        organisation === undefined
          ? []
          : [[organisation.policy.organisation, organisation] as const]
      ),
    );
    this.#services = new Map(
      parts.flatMap(({ service }) =>
        service === undefined ? [] : [[service.service, service] as const]
      ),
    );
    this.#policies = [...this.#organisations.values()]
      .map(({ policy }) => policy);
  }

  /** Documents whose newest version is not in force because it is invalid. */
  rejected(): readonly RejectedDocument[] {
    return [...this.#compiled.values()]
      .filter(({ faults }) => faults.length > 0)
      .map(({ document: { name, version }, faults }) => ({
        name,
        version,
        faults,
      }));
  }

  service(name: string): ServicePolicy | undefined {
    return this.#services.get(name);
  }

  organisation(name: string): OrganisationPolicy | undefined {
    return this.#organisations.get(name)?.policy;
  }

  organisations(): readonly OrganisationPolicy[] {
    return this.#policies;
  }

  authenticate(
    credential: string | undefined,
  ): Either<DeckError, OrganisationPolicy> {
    if (credential === undefined) {
      const policy = this.organisation(ANONYMOUS_ORGANISATION);
      return policy ? Right(policy) : Left(new DeckError("no_agreement"));
    }
    const cached = this.#credentials.get(credential);
    if (cached !== undefined) return Right(cached);
    const colon = credential.indexOf(":");
    if (colon < 1 || credential.length > LONGEST_CREDENTIAL) {
      return Left(new DeckError("credential_refused"));
    }
    const entry = this.#organisations.get(credential.slice(0, colon));
    if (entry === undefined) return Left(new DeckError("no_agreement"));
    const digest = hash("sha256", credential.slice(colon + 1), "buffer");
    // Every hash is compared, so that the time tells nothing about which one
    // was equal.
    const matches = entry.hashes.filter((each) =>
      timingSafeEqual(each, digest)
    );
    if (matches.length === 0) return Left(new DeckError("credential_refused"));
    // Only valid credentials are cached: wrong ones cannot displace them.
    this.#credentials.set(credential, entry.policy);
    return Right(entry.policy);
  }

  rule(query: RuleQuery): RequestRule {
    const { organisation, service, method, path } = query;
    const end = path.indexOf("?");
    const plain = end === -1 ? path : path.slice(0, end);
    if (plain.length > LONGEST_CACHED_PATH) return this.#findRule(query, plain);
    const key = `${organisation} ${service} ${method} ${plain}`;
    const cached = this.#rules.get(key);
    if (cached !== undefined) return cached;
    const rule = this.#findRule(query, plain);
    this.#rules.set(key, rule);
    return rule;
  }

  #findRule(query: RuleQuery, path: string): RequestRule {
    const table = this.#organisations.get(query.organisation)?.rules ??
      DEFAULT_RULES;
    return table.find(query.service, query.method, normalisePath(path));
  }
}

/**
 * Compiles documents to a lookup.
 *
 * @param documents All documents, deleted ones included.
 * @param previous Lookup before the change; unchanged documents are not read
 * again, and an invalid document leaves the part of this lookup in force.
 */
export function compilePolicy(
  documents: readonly PolicyDocument[],
  previous?: CompiledPolicy,
): CompiledPolicy {
  return new CompiledPolicy(documents, previous);
}
