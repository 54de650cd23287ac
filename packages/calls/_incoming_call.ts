import type { IncomingMessage } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import type {
  OrganisationPolicy,
  PolicyView,
  Priority,
  RequestRule,
  ServicePolicy,
} from "@oleanderdeck/agreement";
import { DeckError } from "@oleanderdeck/errors";
import {
  type CallContext,
  CONTEXT_FIELD,
  CREDENTIAL_FIELD,
  PEER_FIELD,
  REQUEST_FIELD,
  RETRIES_FIELD,
  TIMEOUT_FIELD,
} from "@oleanderdeck/protocol";
import {
  type ContextCodec,
  type ForwardMode,
  MAXIMUM_DEPTH,
  priorityOf,
} from "./call_context.ts";
import type { CallServerOptions } from "./call_server_options.ts";
import {
  type PartitionedRequestHeaders,
  partitionRequestHeaders,
} from "./_partitioned_headers.ts";

/** Header of a call, with the rule and the policies that apply to it. */
export interface IncomingCall {
  readonly method: string;
  /** Complete request target as received. */
  readonly url: string;
  /** Request target without its first segment, which names the service. */
  readonly pathAndQuery: string;
  readonly service: string;
  readonly organisation: string;
  readonly rule: RequestRule;
  readonly policy: ServicePolicy;
  readonly priority: Priority;
  /** Shed key, 0 to 127, derived from the root identity. */
  readonly shedKey: number;
  /** Depth in the chain of calls; 0 for a root request. */
  readonly depth: number;
  /** Identity of the root request, shared by the calls that it causes. */
  readonly rootId: Uint8Array;
  /** Request identity; undefined if the caller sent none. */
  readonly identity: string | undefined;
  /** Time at which the header was read, on the clock of the node. */
  readonly receivedAt: number;
  /** Time at which the call times out, on the clock of the node. */
  readonly deadline: number;
  /** Retries that the caller allows; undefined if it sets no bound. */
  readonly requestedRetries: number | undefined;
  /**
   * Context received with the call; undefined for a root request. It is the
   * context of the calling request, or of this call if a node forwarded it.
   */
  readonly receivedContext: CallContext | undefined;
  /** Why another node forwarded the call; undefined if none did. */
  readonly forwardMode: ForwardMode | undefined;
  readonly headers: PartitionedRequestHeaders;
  /** Size of the body in bytes; undefined for a chunked body. */
  readonly bodyBytes: number | undefined;
}

const SERVICE_NAME = /^[A-Za-z0-9][\w.-]{0,63}$/;
const IDENTITY = /^[\x21-\x7e]{1,256}$/;
const WHOLE_NUMBER = /^\d{1,9}$/;

/** Maximum length of a request target in characters. */
const MAXIMUM_TARGET_LENGTH = 8192;

/** Maximum number of cached credentials of one policy view. */
const MAX_CACHED_CREDENTIALS = 4096;

/**
 * Reads and validates the header of calls, and looks up organisation, rule and
 * policy.
 */
export class IncomingCallReader {
  readonly #options: CallServerOptions;
  readonly #codec: ContextCodec;
  readonly #identityPrefix: string;
  #credentialView: PolicyView | undefined;
  readonly #credentials = new Map<string, OrganisationPolicy>();
  #sequence = 0;

  /**
   * @param options Dependencies of the call server.
   * @param codec Verifier of contexts and peer fields.
   */
  constructor(options: CallServerOptions, codec: ContextCodec) {
    this.#options = options;
    this.#codec = codec;
    const self = options.members.self();
    this.#identityPrefix = `${self.nodeId}-${self.incarnation.toString(36)}-`;
  }

  /** Generates an identity for a request whose caller sent none. */
  newIdentity(): string {
    return this.#identityPrefix + (++this.#sequence).toString(36);
  }

  /**
   * Reads the header of a call. An error on the left side has the execution
   * status `no`.
   *
   * @param request Request whose body has not been read.
   */
  read(request: IncomingMessage): Either<DeckError, IncomingCall> {
    const view = this.#options.policy();
    if (view === undefined) return Left(new DeckError("not_ready"));
    const url = request.url!;
    if (url.length > MAXIMUM_TARGET_LENGTH) {
      return Left(new DeckError("too_large"));
    }
    const parts = splitTarget(url);
    if (parts === undefined) return malformed("The path is not valid");
    const policy = view.service(parts.service);
    if (policy === undefined) return Left(new DeckError("no_such_service"));
    const headers = partitionRequestHeaders(request.rawHeaders);
    if (headers.hasDuplicateField) return malformed("A field occurs twice");
    const bodyBytes = headers.chunked
      ? undefined
      : Number(headers.contentLength ?? 0);
    if (bodyBytes !== undefined && bodyBytes > policy.maximumBodyBytes) {
      return Left(new DeckError("too_large"));
    }
    const identity = headers.protocolFields?.get(REQUEST_FIELD);
    if (identity !== undefined && !IDENTITY.test(identity)) {
      return malformed("The request identity is not valid");
    }
    const timeoutMs = parseWholeNumber(
      headers.protocolFields?.get(TIMEOUT_FIELD),
    );
    const retries = parseWholeNumber(
      headers.protocolFields?.get(RETRIES_FIELD),
    );
    if (timeoutMs === null || retries === null) {
      return malformed("A field is not a whole number");
    }
    const method = request.method!;
    const receivedAt = this.#options.clock.now();
    return this.#origin(view, headers, { method, url }).map((origin) => {
      const context = origin.context;
      const rootId = context?.rootId ??
        Buffer.from(identity ?? this.newIdentity());
      const rule = view.rule({
        organisation: origin.organisation,
        service: parts.service,
        method,
        path: parts.rulePath,
      });
      const depth = context === undefined
        ? 0
        : origin.mode === undefined
        ? context.depth + 1
        : context.depth;
      return {
        method,
        url,
        pathAndQuery: parts.pathAndQuery,
        service: parts.service,
        organisation: origin.organisation,
        rule,
        policy,
        priority: context === undefined ? rule.priority : priorityOf(context),
        shedKey: context === undefined ? shedKeyOf(rootId) : context.shedKey,
        depth,
        rootId,
        identity,
        receivedAt,
        deadline: receivedAt + Math.min(
          timeoutMs ?? policy.defaultTimeoutMs,
          policy.maximumTimeoutMs,
        ),
        requestedRetries: retries,
        receivedContext: context,
        forwardMode: origin.mode,
        headers,
        bodyBytes,
      };
    });
  }

  #origin(
    view: PolicyView,
    headers: PartitionedRequestHeaders,
    call: { readonly method: string; readonly url: string },
  ): Either<DeckError, Origin> {
    const contextText = headers.protocolFields?.get(CONTEXT_FIELD);
    const peer = headers.protocolFields?.get(PEER_FIELD);
    if (contextText === undefined) {
      if (peer !== undefined) {
        return malformed("A forwarded call has no context");
      }
      return this.#authenticate(
        view,
        headers.protocolFields?.get(CREDENTIAL_FIELD),
      )
        .map((policy) => ({
          organisation: policy.organisation,
          context: undefined,
          mode: undefined,
        }));
    }
    return this.#codec.decode(contextText).chain((context) => {
      const mode = peer === undefined
        ? undefined
        : this.#codec.verifyForward(peer, { context: contextText, ...call });
      if (peer !== undefined && mode === undefined) {
        return malformed<Origin>(
          "The signature of the forwarding node is wrong",
        );
      }
      if (mode === undefined && context.depth >= MAXIMUM_DEPTH) {
        return malformed<Origin>("The call chain is too deep");
      }
      return view.organisation(context.organisation) === undefined
        ? Left(new DeckError("no_agreement"))
        : Right({ organisation: context.organisation, context, mode });
    });
  }

  #authenticate(
    view: PolicyView,
    credential: string | undefined,
  ): Either<DeckError, OrganisationPolicy> {
    if (this.#credentialView !== view) {
      this.#credentials.clear();
      this.#credentialView = view;
    }
    const known = this.#credentials.get(credential ?? "");
    if (known !== undefined) return Right(known);
    return view.authenticate(credential).ifRight((policy) => {
      if (this.#credentials.size >= MAX_CACHED_CREDENTIALS) {
        this.#credentials.clear();
      }
      this.#credentials.set(credential ?? "", policy);
    });
  }
}

/** Authenticated sender of a call. */
interface Origin {
  readonly organisation: string;
  readonly context: CallContext | undefined;
  readonly mode: ForwardMode | undefined;
}

interface TargetParts {
  readonly service: string;
  readonly pathAndQuery: string;
  /** Percent-decoded path for the rule lookup. */
  readonly rulePath: string;
}

/**
 * Splits a request target of the form `/<service>/<path>?<query>`.
 *
 * Dot segments, empty segments, backslashes and hash signs are rejected, also
 * percent-encoded ones, because a backend server might resolve them to another
 * path than the rule lookup does.
 *
 * @returns The parts; undefined if the target is invalid.
 */
export function splitTarget(url: string): TargetParts | undefined {
  if (url.charCodeAt(0) !== 0x2f) return undefined;
  const query = url.indexOf("?");
  const path = query < 0 ? url : url.slice(0, query);
  const slash = path.indexOf("/", 1);
  const service = slash < 0 ? path.slice(1) : path.slice(1, slash);
  if (!SERVICE_NAME.test(service)) return undefined;
  const rest = slash < 0 ? "/" : path.slice(slash);
  const rulePath = rest.includes("%") ? decode(rest) : rest;
  if (rulePath === undefined || /\/\.{0,2}\/|\/\.{1,2}$|[\\#]/.test(rulePath)) {
    return undefined;
  }
  const pathAndQuery = query < 0 ? rest : rest + url.slice(query);
  return { service, pathAndQuery, rulePath };
}

function decode(path: string): string | undefined {
  try {
    return decodeURIComponent(path);
  } catch {
    return undefined;
  }
}

/** Parses an optional field; null if it is not a whole number. */
function parseWholeNumber(text: string | undefined): number | undefined | null {
  if (text === undefined) return undefined;
  return WHOLE_NUMBER.test(text) ? Number(text) : null;
}

/**
 * Derives the shed key, 0 to 127, from a root identity with the FNV-1a hash.
 * All calls of one root request have the same shed key.
 */
export function shedKeyOf(rootId: Uint8Array): number {
  let hash = 0x811c9dc5;
  for (const byte of rootId) hash = Math.imul(hash ^ byte, 0x01000193);
  return ((hash >>> 16) ^ hash) & 127;
}

function malformed<Value = never>(message: string): Either<DeckError, Value> {
  return Left(new DeckError("malformed_request", { message }));
}
