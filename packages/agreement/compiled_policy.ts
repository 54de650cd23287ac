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

/** Stored document that {@linkcode compilePolicy} compiles. */
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

interface CompiledAgreement {
  readonly policy: OrganisationPolicy;
  /** SHA-256 hashes of the secrets. */
  readonly credentialHashes: readonly Buffer[];
  readonly rules: RuleTable;
}

/**
 * Newest version of a document and what it was compiled to. If it is invalid,
 * `faults` is not empty and the result is that of the last valid version.
 */
interface CompiledDocument {
  readonly document: PolicyDocument;
  readonly organisation?: CompiledAgreement;
  readonly service?: ServicePolicy;
  readonly faults: readonly ValidationIssue[];
}

/** Capacity of the cache of looked-up rules, about 3 MB when full. */
const RULE_CACHE_ENTRIES = 8192;

/** Capacity of the cache of successfully authenticated credentials. */
const CREDENTIAL_CACHE_ENTRIES = 1024;

/** Maximum length of a cached path, in UTF-16 code units; bounds the memory. */
const MAX_CACHED_PATH_LENGTH = 256;

/**
 * Maximum length of a credential, in UTF-16 code units. A longer one is refused
 * before it is hashed.
 */
const MAX_CREDENTIAL_LENGTH = 512;

const DEFAULT_RULES = new RuleTable([], {
  priority: "normal",
  permit: "optional",
  failureCost: 1,
});

function compileAgreement(agreement: Agreement): CompiledAgreement {
  return {
    policy: {
      organisation: agreement.organisation,
      weight: agreement.weight,
      callsPerSecond: agreement.callsPerSecond,
    },
    credentialHashes: agreement.credentials.map(({ sha256 }) =>
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
  // them during a rolling upgrade. They are rejected when a document is stored.
  return readDocument(document.name, document.content, {
    ignoreUnknownFields: true,
  })
    .caseOf<CompiledDocument>({
      // The last valid version stays in use, because without its agreement all
      // calls of an organisation would be rejected.
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

/** Policies and rules of a set of documents, see {@linkcode compilePolicy}. */
export class CompiledPolicy extends PolicyView {
  readonly #compiledDocuments: ReadonlyMap<string, CompiledDocument>;
  readonly #organisations: ReadonlyMap<string, CompiledAgreement>;
  readonly #services: ReadonlyMap<string, ServicePolicy>;
  readonly #organisationPolicies: readonly OrganisationPolicy[];
  readonly #ruleCache = new BoundedCache<RequestRule>(RULE_CACHE_ENTRIES);
  readonly #credentialCache = new BoundedCache<OrganisationPolicy>(
    CREDENTIAL_CACHE_ENTRIES,
  );

  /**
   * @param documents All documents, deleted ones included.
   * @param previous Compiled policy whose results are reused for documents that
   * are unchanged or invalid.
   */
  constructor(
    documents: readonly PolicyDocument[],
    previous: CompiledPolicy | undefined,
  ) {
    super();
    const previousDocuments = previous === undefined
      ? undefined
      : previous.#compiledDocuments;
    this.#compiledDocuments = new Map(
      documents.map((document) => [
        document.name,
        compileDocument(document, previousDocuments?.get(document.name)),
      ]),
    );
    const compiledDocuments = [...this.#compiledDocuments.values()];
    this.#organisations = new Map(
      compiledDocuments.flatMap(({ organisation }) =>
        organisation === undefined
          ? []
          : [[organisation.policy.organisation, organisation] as const]
      ),
    );
    this.#services = new Map(
      compiledDocuments.flatMap(({ service }) =>
        service === undefined ? [] : [[service.service, service] as const]
      ),
    );
    this.#organisationPolicies = [...this.#organisations.values()]
      .map(({ policy }) => policy);
  }

  /** Returns the documents whose newest version is unused because invalid. */
  rejected(): readonly RejectedDocument[] {
    return [...this.#compiledDocuments.values()]
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
    return this.#organisationPolicies;
  }

  authenticate(
    credential: string | undefined,
  ): Either<DeckError, OrganisationPolicy> {
    if (credential === undefined) {
      const policy = this.organisation(ANONYMOUS_ORGANISATION);
      return policy ? Right(policy) : Left(new DeckError("no_agreement"));
    }
    const cached = this.#credentialCache.get(credential);
    if (cached !== undefined) return Right(cached);
    const colon = credential.indexOf(":");
    if (colon < 1 || credential.length > MAX_CREDENTIAL_LENGTH) {
      return Left(new DeckError("credential_refused"));
    }
    const entry = this.#organisations.get(credential.slice(0, colon));
    if (entry === undefined) return Left(new DeckError("no_agreement"));
    const digest = hash("sha256", credential.slice(colon + 1), "buffer");
    // Compares with every hash, so that the response time does not reveal which
    // one matched.
    const matches = entry.credentialHashes.filter((each) =>
      timingSafeEqual(each, digest)
    );
    if (matches.length === 0) return Left(new DeckError("credential_refused"));
    // Only valid credentials are cached, so that invalid ones can't evict them.
    this.#credentialCache.set(credential, entry.policy);
    return Right(entry.policy);
  }

  rule(query: RuleQuery): RequestRule {
    const { organisation, service, method, path } = query;
    const end = path.indexOf("?");
    const pathname = end === -1 ? path : path.slice(0, end);
    if (pathname.length > MAX_CACHED_PATH_LENGTH) {
      return this.#findRule(query, pathname);
    }
    const key = `${organisation} ${service} ${method} ${pathname}`;
    const cached = this.#ruleCache.get(key);
    if (cached !== undefined) return cached;
    const rule = this.#findRule(query, pathname);
    this.#ruleCache.set(key, rule);
    return rule;
  }

  #findRule(query: RuleQuery, path: string): RequestRule {
    const table = this.#organisations.get(query.organisation)?.rules ??
      DEFAULT_RULES;
    return table.find(query.service, query.method, normalisePath(path));
  }
}

/**
 * Compiles documents for the lookup of policies and rules.
 *
 * @param documents All documents, deleted ones included.
 * @param previous Compiled policy before the change. Unchanged documents are
 * not parsed again, and for an invalid document its last valid version stays in
 * use.
 */
export function compilePolicy(
  documents: readonly PolicyDocument[],
  previous?: CompiledPolicy,
): CompiledPolicy {
  return new CompiledPolicy(documents, previous);
}
