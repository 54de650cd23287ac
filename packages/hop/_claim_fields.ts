import { asCount, asList, asText } from "./_fields.ts";
import type { ClaimFrame, HelloFrame } from "./frame.ts";

/** Maximum length of the identity of a process or link, in characters. */
const MAX_IDENTITY_CHARACTERS = 64;

/** Maximum number of links that a claim names. */
export const MAX_CLAIMED_LINKS = 8;

/** Maximum number of calls that a claim names. */
export const MAX_CLAIMED_CALLS = 10_000;

/** Stands for an identity that is absent where further fields follow. */
const ABSENT = "";

type Identities = Pick<
  HelloFrame,
  "processId" | "linkId" | "protocolRevision"
>;

/** Returns the fields of a hello frame that earlier releases do not have. */
export function packIdentities(
  { processId, linkId, protocolRevision }: Identities,
): readonly (string | number)[] {
  if (processId === undefined) return [];
  if (protocolRevision !== undefined) {
    return [processId, linkId ?? ABSENT, protocolRevision];
  }
  return linkId === undefined ? [processId] : [processId, linkId];
}

/**
 * Decodes the fields of a hello frame that earlier releases do not have.
 *
 * @throws {TypeError} If a field has another type or is too long.
 */
export function unpackIdentities(
  processId: unknown,
  linkId: unknown,
  protocolRevision?: unknown,
): Identities {
  const hasLinkId = linkId !== undefined && linkId !== ABSENT;
  return {
    ...(processId !== undefined && { processId: asIdentity(processId) }),
    ...(hasLinkId && { linkId: asIdentity(linkId) }),
    ...(protocolRevision !== undefined && {
      protocolRevision: asCount(protocolRevision, Number.MAX_SAFE_INTEGER),
    }),
  };
}

/**
 * Decodes the fields of a claim.
 *
 * @throws {TypeError} If a field has another type or too many entries.
 */
export function unpackClaim(
  linkIds: unknown,
  ids: unknown,
): Pick<ClaimFrame, "linkIds" | "ids"> {
  const links = asList(linkIds);
  if (links.length > MAX_CLAIMED_LINKS) {
    throw new TypeError("A claim names too many links");
  }
  return { linkIds: links.map(asIdentity), ids: unpackIds(ids) };
}

/**
 * Decodes a list of identities of calls.
 *
 * @throws {TypeError} If an entry has another type, the list is too long, or a
 * call is named twice.
 */
export function unpackIds(packed: unknown): readonly number[] {
  const list = asList(packed);
  if (list.length > MAX_CLAIMED_CALLS) {
    throw new TypeError("A claim names too many calls");
  }
  const ids = list.map((id) => asCount(id, Number.MAX_SAFE_INTEGER));
  if (new Set(ids).size < ids.length) {
    throw new TypeError("A claim names a call twice");
  }
  return ids;
}

function asIdentity(value: unknown): string {
  const identity = asText(value);
  if (identity.length > MAX_IDENTITY_CHARACTERS) {
    throw new TypeError("An identity is too long");
  }
  return identity;
}
