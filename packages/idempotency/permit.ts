/**
 * Parts of a permit, which allows one execution of a non-idempotent request.
 * Its text is `<node id>.<incarnation>.<sequence>.<expiry>.<mac>`.
 */
export interface Permit {
  /** Identifier of the node that issued the permit. */
  readonly nodeId: string;
  /** Incarnation of the node that issued the permit. */
  readonly incarnation: bigint;
  /** Sequence number of the permit within the incarnation, from 1. */
  readonly sequence: number;
  /** Expiry time on the issuer's monotonic clock, in milliseconds. */
  readonly expiry: number;
  /** Message authentication code, encoded as base64url. */
  readonly mac: string;
}

/** Maximum length of a permit, in UTF-16 code units. */
export const MAXIMUM_PERMIT_LENGTH = 256;

const PERMIT_PATTERN =
  /^(.+)\.([0-9a-f]{1,16})\.(\d{1,15})\.(\d{1,15})\.([\w-]{22})$/;

/**
 * Parses a permit without verifying its message authentication code.
 *
 * @param text Text of the permit.
 * @returns Undefined for a text that is not a permit.
 */
export function parsePermit(text: string): Permit | undefined {
  if (text.length > MAXIMUM_PERMIT_LENGTH) return undefined;
  const match = PERMIT_PATTERN.exec(text);
  if (match === null) return undefined;
  return {
    nodeId: match[1]!,
    incarnation: BigInt(`0x${match[2]}`),
    sequence: Number(match[3]),
    expiry: Number(match[4]),
    mac: match[5]!,
  };
}

/**
 * Returns the part of a permit's text that its message authentication code
 * covers.
 *
 * @param permit Parts of the permit.
 */
export function signedPart(permit: Omit<Permit, "mac">): string {
  const incarnation = permit.incarnation.toString(16);
  return `${permit.nodeId}.${incarnation}.${permit.sequence}.${permit.expiry}`;
}
