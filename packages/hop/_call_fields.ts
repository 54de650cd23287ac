import { asNumber } from "./_fields.ts";
import {
  NO_STATEMENT,
  packStatement,
  type StatementFields,
  unpackStatement,
} from "./_statement_fields.ts";
import type { CallFrame } from "./frame.ts";

/** Position of the optional fields in the head of a call. */
const OPTIONAL_FIELDS_START = 13;

/** Returns the optional fields of a call as they are sent at the end of its head. */
export function packOptionalCallFields(
  { admittedShare, statement }: CallFrame,
):
  | readonly []
  | readonly [StatementFields]
  | readonly [StatementFields, number] {
  if (admittedShare !== undefined && admittedShare < 1) {
    return [packStatement(statement ?? NO_STATEMENT), admittedShare];
  }
  return statement === undefined ? [] : [packStatement(statement)];
}

/**
 * Decodes the optional fields of a call.
 *
 * @param head All fields of the head.
 * @throws {TypeError} If a field has another type or value than declared.
 */
export function unpackOptionalCallFields(
  head: readonly unknown[],
): Pick<CallFrame, "statement" | "admittedShare"> {
  const [stated, share] = head.slice(OPTIONAL_FIELDS_START);
  const statement = stated === undefined ? undefined : unpackStatement(stated);
  return {
    ...(statement !== undefined && statement.workerId !== "" && { statement }),
    ...(share !== undefined && { admittedShare: unpackShare(share) }),
  };
}

function unpackShare(value: unknown): number {
  const share = asNumber(value);
  if (share > 0 && share <= 1) return share;
  throw new TypeError(`Field is not a share above 0: ${share}`);
}
