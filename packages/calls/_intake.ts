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
import { type RequestLines, sortRequestLines } from "./_header_lines.ts";

/** Everything that is known about a call before it is admitted. */
export interface Intake {
  readonly method: string;
  /** Whole request target as received. */
  readonly url: string;
  /** Rest of the target after the service segment, with the query. */
  readonly target: string;
  readonly service: string;
  readonly organisation: string;
  readonly rule: RequestRule;
  readonly policy: ServicePolicy;
  readonly priority: Priority;
  readonly shedKey: number;
  readonly depth: number;
  readonly rootId: Uint8Array;
  /** Request identity; undefined when the caller sends none. */
  readonly identity: string | undefined;
  /** Time on the clock of the node at which the header was read. */
  readonly receivedAt: number;
  /** Time on the clock of the node. */
  readonly deadline: number;
  readonly requestedRetries: number | undefined;
  /** Context addressed to this node; undefined for a root request. */
  readonly parent: CallContext | undefined;
  /** How another node forwarded the call; undefined otherwise. */
  readonly mode: ForwardMode | undefined;
  readonly lines: RequestLines;
  /** Size of the body in bytes; undefined for a chunked body. */
  readonly bodyBytes: number | undefined;
}

const SERVICE_NAME = /^[A-Za-z0-9][\w.-]{0,63}$/;
const IDENTITY = /^[\x21-\x7e]{1,256}$/;
const WHOLE_NUMBER = /^\d{1,9}$/;
const MAXIMUM_TARGET_LENGTH = 8192;

/** Credentials whose organisation is remembered per policy view. */
const CACHED_CREDENTIALS = 4096;

/** Reads the fields of calls and finds organisation, rule and policy. */
export class IntakeReader {
  readonly #options: CallServerOptions;
  readonly #codec: ContextCodec;
  readonly #identityPrefix: string;
  #credentialView: PolicyView | undefined;
  readonly #credentials = new Map<string, OrganisationPolicy>();
  #sequence = 0;

  /**
   * @param options Views of the node.
   * @param codec Verifies contexts and peer fields.
   */
  constructor(options: CallServerOptions, codec: ContextCodec) {
    this.#options = options;
    this.#codec = codec;
    const self = options.members.self();
    this.#identityPrefix = `${self.nodeId}-${self.incarnation.toString(36)}-`;
  }

  /** Makes an identity for a request that brings none. */
  newIdentity(): string {
    return this.#identityPrefix + (++this.#sequence).toString(36);
  }

  /**
   * Reads a call. The error on the left side has run `no`.
   *
   * @param request Request whose body has not been touched.
   */
  read(request: IncomingMessage): Either<DeckError, Intake> {
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
    const lines = sortRequestLines(request.rawHeaders);
    if (lines.repeated) return malformed("A field occurs twice");
    const bodyBytes = lines.chunked
      ? undefined
      : Number(lines.contentLength ?? 0);
    if (bodyBytes !== undefined && bodyBytes > policy.maximumBodyBytes) {
      return Left(new DeckError("too_large"));
    }
    const identity = lines.own?.get(REQUEST_FIELD);
    if (identity !== undefined && !IDENTITY.test(identity)) {
      return malformed("The request identity is not valid");
    }
    const timeoutMs = wholeNumber(lines.own?.get(TIMEOUT_FIELD));
    const retries = wholeNumber(lines.own?.get(RETRIES_FIELD));
    if (timeoutMs === null || retries === null) {
      return malformed("A field is not a whole number");
    }
    const method = request.method!;
    const receivedAt = this.#options.clock.now();
    return this.#origin(view, lines, { method, url }).map((origin) => {
      const root = origin.context;
      const rootId = root?.rootId ??
        Buffer.from(identity ?? this.newIdentity());
      const rule = view.rule({
        organisation: origin.organisation,
        service: parts.service,
        method,
        path: parts.rulePath,
      });
      const depth = root === undefined
        ? 0
        : origin.mode === undefined
        ? root.depth + 1
        : root.depth;
      return {
        method,
        url,
        target: parts.target,
        service: parts.service,
        organisation: origin.organisation,
        rule,
        policy,
        priority: root === undefined ? rule.priority : priorityOf(root),
        shedKey: root === undefined ? shedKeyOf(rootId) : root.shedKey,
        depth,
        rootId,
        identity,
        receivedAt,
        deadline: receivedAt + Math.min(
          timeoutMs ?? policy.defaultTimeoutMs,
          policy.maximumTimeoutMs,
        ),
        requestedRetries: retries,
        parent: root,
        mode: origin.mode,
        lines,
        bodyBytes,
      };
    });
  }

  #origin(
    view: PolicyView,
    lines: RequestLines,
    call: { readonly method: string; readonly url: string },
  ): Either<DeckError, Origin> {
    const contextText = lines.own?.get(CONTEXT_FIELD);
    const peer = lines.own?.get(PEER_FIELD);
    if (contextText === undefined) {
      if (peer !== undefined) {
        return malformed("A forwarded call has no context");
      }
      return this.#authenticate(view, lines.own?.get(CREDENTIAL_FIELD))
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
      if (this.#credentials.size >= CACHED_CREDENTIALS) {
        this.#credentials.clear();
      }
      this.#credentials.set(credential ?? "", policy);
    });
  }
}

interface Origin {
  readonly organisation: string;
  readonly context: CallContext | undefined;
  readonly mode: ForwardMode | undefined;
}

interface TargetParts {
  readonly service: string;
  readonly target: string;
  /** Decoded path for the lookup of the rule. */
  readonly rulePath: string;
}

/**
 * Splits `/<service>/<path>?<query>`. Dot segments and doubled slashes are
 * refused, because a backend server might read them as another path than the
 * rule lookup does.
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
  const target = query < 0 ? rest : rest + url.slice(query);
  return { service, target, rulePath };
}

function decode(path: string): string | undefined {
  try {
    return decodeURIComponent(path);
  } catch {
    return undefined;
  }
}

/** Reads an optional field; null when it is not a whole number. */
function wholeNumber(text: string | undefined): number | undefined | null {
  if (text === undefined) return undefined;
  return WHOLE_NUMBER.test(text) ? Number(text) : null;
}

/** Derives the shed key, 0 to 127, from a root identity by FNV-1a. */
export function shedKeyOf(rootId: Uint8Array): number {
  let hash = 0x811c9dc5;
  for (const byte of rootId) hash = Math.imul(hash ^ byte, 0x01000193);
  return ((hash >>> 16) ^ hash) & 127;
}

function malformed<Value = never>(message: string): Either<DeckError, Value> {
  return Left(new DeckError("malformed_request", { message }));
}
