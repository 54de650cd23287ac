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
import { documentHandlers, MAX_DOCUMENT_BYTES } from "./document_handlers.ts";
import { errorKindOf, toConnectError } from "./operator_error.ts";
import { OperatorTokens } from "./operator_tokens.ts";
import {
  type SystemHandlerOptions,
  systemHandlers,
} from "./system_handlers.ts";

/** Options of {@linkcode operatorRoutes}. */
export interface OperatorRoutesOptions extends SystemHandlerOptions {
  /** Accepted tokens. If there are none, all requests are refused. */
  readonly tokens: readonly OperatorToken[];
  /** Logs each change, failed change, internal error and refused token. */
  readonly log: EventLog;
}

/** Methods that need the role `operator`; all others need the role `viewer`. */
const CHANGING_METHODS: ReadonlySet<string> = new Set([
  "Apply",
  "Delete",
  "Drain",
  "Undrain",
]);

/** Maximum size of the other fields of a request that holds a document. */
const REQUEST_OVERHEAD_BYTES = 64_000;

/** Context key under which a handler finds the token of its request. */
export const OPERATOR_TOKEN_CONTEXT_KEY = createContextKey<
  OperatorToken | undefined
>(
  undefined,
  { description: "operator token" },
);

/** Maximum length of a request's text in a log line, in UTF-16 code units. */
const MAX_LOGGED_TEXT_LENGTH = 100;

function loggedFields(message: object): EventFields {
  const { name, workerAddress, changeId } = message as {
    readonly name?: string;
    readonly workerAddress?: string;
    readonly changeId?: string;
  };
  return {
    subject: (name ?? workerAddress)?.slice(0, MAX_LOGGED_TEXT_LENGTH),
    change_id: changeId?.slice(0, MAX_LOGGED_TEXT_LENGTH),
  };
}

function ensureConnectError(error: unknown): ConnectError {
  if (error instanceof ConnectError) return error;
  if (error instanceof DeckError) return toConnectError(error);
  return toConnectError(new DeckError("internal", { cause: error }));
}

// Checks the token and role of each request, converts errors to RPC errors, and
// logs refused tokens, changes and failures.
function authoriseAndLog(tokens: OperatorTokens, log: EventLog): Interceptor {
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
    request.contextValues.set(OPERATOR_TOKEN_CONTEXT_KEY, token);
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
      const error = ensureConnectError(thrown);
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
 * Returns a function that registers the operator service on a router, as
 * `connectNodeAdapter` expects it.
 *
 * @param options Parts of the node, accepted tokens, and the log.
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
      ...documentHandlers(options.editor),
      ...systemHandlers(options),
    }, {
      interceptors: [
        authoriseAndLog(new OperatorTokens(options.tokens), options.log),
      ],
      readMaxBytes: MAX_DOCUMENT_BYTES + REQUEST_OVERHEAD_BYTES,
    });
  };
}
