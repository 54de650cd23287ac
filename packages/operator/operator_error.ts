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

/** Message that explains an error further. */
export interface ErrorDetail<Desc extends DescMessage = DescMessage> {
  readonly desc: Desc;
  readonly value: MessageInitShape<Desc>;
}

/**
 * Finds the status code of connect-es for the name in the error table.
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
 * Turns an error into an RPC answer with the kind in `oleanderdeck-error`.
 *
 * @param error Error of the closed list.
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
 * Reads the error kind of an RPC answer.
 *
 * @param error Error that a connect-es client threw.
 * @returns Undefined when the answer is not from the operator service, for
 * example because the connection was lost.
 */
export function errorKindOf(error: ConnectError): ErrorKind | undefined {
  const kind = error.metadata.get(ERROR_FIELD) ?? "";
  return isErrorKind(kind) ? kind : undefined;
}
