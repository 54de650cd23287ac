import { createHash } from "node:crypto";
import {
  type Configuration,
  needsCredentials,
  type Organisation,
  type Route,
} from "@oleanderdeck/directory";

/** Scheme of a credential with the space behind it, in lower case. */
const SCHEME_PREFIX = "bearer ";

/** Number of hexadecimal digits of a key's hash that are written to logs. */
const LOGGED_DIGITS = 8;

/**
 * Number of credentials whose keys were found and are not hashed again. It
 * covers 1,000 organisations with some keys each.
 */
const MAX_CACHED_CREDENTIALS = 8_192;

/** Longest credential that is cached, in characters, to bound the memory. */
const MAX_CACHED_CHARACTERS = 256;

/** What the caller of a request shows of itself. */
export interface PresentedIdentity {
  /** Value of the credential header; undefined if absent. */
  readonly credential: string | undefined;
  readonly requestId: string;
  readonly route: Route;
  /** Whether the worker on this host runs the request that led to this one. */
  readonly isNested: boolean;
}

/** Caller whose request may run. */
export interface AdmittedCaller {
  readonly error?: undefined;
  /**
   * Organisation of the caller; undefined for nested calls, for callers of
   * public routes without a key, and in deployments without organisations.
   */
  readonly organisation: Organisation | undefined;
  /** First digits of the hash of its key, for logs; undefined without a key. */
  readonly keyDigits: string | undefined;
}

/** Caller whose request is refused. */
export interface RefusedCaller {
  /**
   * `not_ready` where a newer configuration, or a node that was not restarted,
   * might admit the request.
   */
  readonly error: "credential_refused" | "not_ready";
  readonly organisation?: undefined;
  readonly keyDigits: string | undefined;
}

/** Decision about a caller. */
export type CallerDecision = AdmittedCaller | RefusedCaller;

const WITHOUT_ORGANISATION: AdmittedCaller = {
  organisation: undefined,
  keyDigits: undefined,
};

/**
 * Decides by one configuration on behalf of which organisation a request is
 * made, and whether it may run without one. It answers the load of callers that
 * present missing, unknown or withdrawn keys: such a request costs one hash, and
 * that of a known key none.
 */
export class CallerAuthenticator {
  readonly #configuration: Configuration;
  readonly #byKeyHash = new Map<string, AdmittedCaller>();
  /** Callers by credentials that were found, oldest first. */
  readonly #cache = new Map<string, AdmittedCaller>();
  readonly #routes: ReadonlySet<Route>;
  readonly #needsCredentials: boolean;

  /** @param configuration Configuration whose organisations are known. */
  constructor(configuration: Configuration) {
    this.#configuration = configuration;
    this.#routes = new Set(configuration.routes);
    this.#needsCredentials = needsCredentials(configuration);
    for (const organisation of configuration.organisations ?? []) {
      for (const hash of organisation.keyHashes) {
        if (this.#byKeyHash.has(hash)) continue;
        const keyDigits = hash.slice(0, LOGGED_DIGITS);
        this.#byKeyHash.set(hash, { organisation, keyDigits });
      }
    }
  }

  /** Whether callers need credentials. */
  get hasOrganisations(): boolean {
    return this.#needsCredentials;
  }

  /**
   * Decides whether a request may run, and on behalf of which organisation.
   *
   * @param presented What the request shows of its caller.
   * @param mayBeOutdated Returns whether a newer configuration may be in force.
   */
  decide(
    presented: PresentedIdentity,
    mayBeOutdated: () => boolean,
  ): CallerDecision {
    if (!this.hasOrganisations || presented.isNested) {
      return WITHOUT_ORGANISATION;
    }
    const { credential, requestId, route } = presented;
    const known = credential === undefined
      ? undefined
      : this.#cache.get(credential);
    if (known !== undefined) return known;
    const key = credential === undefined ? undefined : keyOf(credential);
    const hash = key === undefined ? undefined : hashOfHeaderValue(key);
    const found = hash === undefined ? undefined : this.#byKeyHash.get(hash);
    if (found !== undefined) {
      this.#keep(credential!, found);
      return found;
    }
    if (this.#isPublic(route)) return WITHOUT_ORGANISATION;
    // The parent of a nested call is not known after a restart of the node. A
    // newer configuration may have the key.
    const isUncertain = hasFormOfNestedCall(requestId) ||
      credential !== undefined && mayBeOutdated();
    return {
      error: isUncertain ? "not_ready" : "credential_refused",
      keyDigits: hash?.slice(0, LOGGED_DIGITS),
    };
  }

  // The route was found when the header came in, by a configuration that may
  // have been replaced while the body was read.
  #isPublic(route: Route): boolean {
    if (this.#routes.has(route)) return route.isPublic === true;
    return this.#configuration.routes.some(({ host, pathPrefix, isPublic }) =>
      isPublic === true && host === route.host &&
      pathPrefix === route.pathPrefix
    );
  }

  #keep(credential: string, caller: AdmittedCaller): void {
    if (credential.length > MAX_CACHED_CHARACTERS) return;
    if (this.#cache.size >= MAX_CACHED_CREDENTIALS) {
      const [oldest] = this.#cache.keys();
      this.#cache.delete(oldest!);
    }
    this.#cache.set(credential, caller);
  }
}

/**
 * Returns the value of the organisation header. Node.js writes header values as
 * Latin-1, so the bytes of the name in UTF-8 are its characters.
 */
export function organisationHeaderValue({ name }: Organisation): string {
  return Buffer.from(name).toString("latin1");
}

// Returns undefined for a credential of another scheme.
function keyOf(credential: string): string | undefined {
  const prefix = credential.slice(0, SCHEME_PREFIX.length).toLowerCase();
  if (prefix !== SCHEME_PREFIX) return undefined;
  const key = credential.slice(SCHEME_PREFIX.length).trim();
  return key === "" ? undefined : key;
}

// Node.js reads header values as Latin-1; the key was hashed as UTF-8.
function hashOfHeaderValue(key: string): string {
  return createHash("sha256").update(key, "latin1").digest("hex");
}

function hasFormOfNestedCall(requestId: string): boolean {
  return requestId.lastIndexOf(".") > 0;
}
