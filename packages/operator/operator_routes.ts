import {
  ConnectError,
  type ConnectRouter,
  createContextKey,
  type Interceptor,
} from "@connectrpc/connect";
import { DeckError } from "@oleanderdeck/errors";
import type { EventFields, EventLog } from "@oleanderdeck/observability";
import { OperatorService } from "@oleanderdeck/protocol";
import type { OperatorRole, OperatorToken } from "@oleanderdeck/settings";
import { documentCalls, MAX_DOCUMENT_BYTES } from "./document_calls.ts";
import { errorKindOf, toConnectError } from "./operator_error.ts";
import { OperatorTokens } from "./operator_tokens.ts";
import { systemCalls, type SystemSources } from "./system_calls.ts";

/** Options of {@linkcode operatorRoutes}. */
export interface OperatorRoutesOptions extends SystemSources {
  /** Tokens of the settings; nobody has access when there are none. */
  readonly tokens: readonly OperatorToken[];
  /** Receives one event for each change and each rejected token. */
  readonly log: EventLog;
}

/** Methods that change something; all others need the role `viewer`. */
const CHANGING_METHODS: ReadonlySet<string> = new Set([
  "Apply",
  "Delete",
  "Drain",
  "Undrain",
]);

/** Room for the fields beside the document in a request. */
const REQUEST_OVERHEAD_BYTES = 64_000;

/** Holder of the token of a call. */
export const OPERATOR_KEY = createContextKey<OperatorToken | undefined>(
  undefined,
  { description: "operator token" },
);

/** Longest text from a request in a line of the log. */
const LONGEST_LOGGED_TEXT = 100;

function loggedFields(message: object): EventFields {
  const { name, workerAddress, changeId } = message as {
    readonly name?: string;
    readonly workerAddress?: string;
    readonly changeId?: string;
  };
  return {
    subject: (name ?? workerAddress)?.slice(0, LONGEST_LOGGED_TEXT),
    change_id: changeId?.slice(0, LONGEST_LOGGED_TEXT),
  };
}

function toAnswer(error: unknown): ConnectError {
  if (error instanceof ConnectError) return error;
  if (error instanceof DeckError) return toConnectError(error);
  return toConnectError(new DeckError("internal", { cause: error }));
}

function guard(tokens: OperatorTokens, log: EventLog): Interceptor {
  return (next) => async (request) => {
    const method = request.method.name;
    const isChange = CHANGING_METHODS.has(method);
    const role: OperatorRole = isChange ? "operator" : "viewer";
    const access = tokens.authorise(request.header.get("authorization"), role);
    if (access.isLeft()) {
      const error = access.extract() as DeckError;
      log.write("warn", "operator_rejected", { method, kind: error.kind });
      throw toConnectError(error);
    }
    const token = access.unsafeCoerce();
    request.contextValues.set(OPERATOR_KEY, token);
    const fields = {
      method,
      operator: token.name,
      ...(request.stream ? {} : loggedFields(request.message)),
    };
    try {
      const response = await next(request);
      if (isChange) log.write("info", "operator_change", fields);
      return response;
    } catch (thrown) {
      const error = toAnswer(thrown);
      const kind = errorKindOf(error);
      if (isChange || kind === "internal") {
        log.write(kind === "internal" ? "error" : "info", "operator_failure", {
          ...fields,
          kind,
          cause: kind === "internal" ? String(thrown) : undefined,
        });
      }
      throw error;
    }
  };
}

/**
 * Makes the routes of the operator service for `connectNodeAdapter`.
 *
 * @param options Parts of the node, tokens and log.
 *
 * @example
 * ```ts
 * const handler = connectNodeAdapter({ routes: operatorRoutes(options) });
 * const server = http2.createServer(handler);
 * ```
 */
export function operatorRoutes(
  options: OperatorRoutesOptions,
): (router: ConnectRouter) => void {
  return (router) => {
    router.service(OperatorService, {
      ...documentCalls(options.editor),
      ...systemCalls(options),
    }, {
      interceptors: [guard(new OperatorTokens(options.tokens), options.log)],
      readMaxBytes: MAX_DOCUMENT_BYTES + REQUEST_OVERHEAD_BYTES,
    });
  };
}
