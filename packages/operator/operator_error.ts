import { Code, ConnectError } from "@connectrpc/connect";
import type { DescMessage, MessageInitShape } from "@bufbuild/protobuf";
import {
  DeckError,
  ERROR_DETAILS,
  type ErrorKind,
  isErrorKind,
} from "@oleanderdeck/errors";
import {
  ERROR_FIELD,
  RETRY_AFTER_FIELD,
  RUN_FIELD,
} from "@oleanderdeck/protocol";

/** Typed message that is attached to an RPC error as a detail. */
export interface ErrorDetail<Desc extends DescMessage = DescMessage> {
  readonly desc: Desc;
  readonly value: MessageInitShape<Desc>;
}

/**
 * Returns the connect-es status code of an error kind, which the error table
 * gives by name.
 *
 * @param kind Kind of the error.
 */
export function connectCode(kind: ErrorKind): Code {
  const name = ERROR_DETAILS[kind].code.replaceAll(
    /(?:^|_)([a-z])/g,
    (_, letter: string) => letter.toUpperCase(),
  );
  return Code[name as keyof typeof Code];
}

/**
 * Converts an error into an RPC error that carries the kind in the header
 * `oleanderdeck-error`.
 *
 * @param error Error to convert.
 * @param details Typed details, for example `Conflict`.
 */
export function toConnectError(
  error: DeckError,
  details: readonly ErrorDetail[] = [],
): ConnectError {
  const retryAfter = error.retryAfterMs > 0
    ? { [RETRY_AFTER_FIELD]: String(error.retryAfterMs) }
    : {};
  return new ConnectError(
    error.message,
    connectCode(error.kind),
    { [ERROR_FIELD]: error.kind, [RUN_FIELD]: error.run, ...retryAfter },
    [...details],
    error,
  );
}

/**
 * Returns the error kind that an RPC error carries.
 *
 * @param error Error that a connect-es client threw.
 * @returns Undefined when the error does not come from an RPC service of a node,
 * for example because the connection was lost.
 */
export function errorKindOf(error: ConnectError): ErrorKind | undefined {
  const kind = error.metadata.get(ERROR_FIELD) ?? "";
  return isErrorKind(kind) ? kind : undefined;
}
