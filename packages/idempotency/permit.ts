/** Parts of a permit `<node id>.<incarnation>.<sequence>.<expiry>.<mac>`. */
export interface Permit {
  /** Node that issued the permit. */
  readonly nodeId: string;
  readonly incarnation: bigint;
  /** Number of the permit within the incarnation, from 1. */
  readonly sequence: number;
  /** Time on the issuer's monotonic clock, in milliseconds. */
  readonly expiry: number;
  /** Message authentication code, base64url. */
  readonly mac: string;
}

/** Longest accepted permit in characters. */
export const MAXIMUM_PERMIT_LENGTH = 256;

const PERMIT = /^(.+)\.([0-9a-f]{1,16})\.(\d{1,15})\.(\d{1,15})\.([\w-]{22})$/;

/**
 * Takes a permit apart without checking its code.
 *
 * @returns undefined for a text that is not a permit.
 */
export function parsePermit(text: string): Permit | undefined {
  if (text.length > MAXIMUM_PERMIT_LENGTH) return undefined;
  const match = PERMIT.exec(text);
  if (match === null) return undefined;
  return {
    nodeId: match[1]!,
    incarnation: BigInt(`0x${match[2]}`),
    sequence: Number(match[3]),
    expiry: Number(match[4]),
    mac: match[5]!,
  };
}

/** The part of a permit that its code covers. */
export function signedPart(permit: Omit<Permit, "mac">): string {
  const incarnation = permit.incarnation.toString(16);
  return `${permit.nodeId}.${incarnation}.${permit.sequence}.${permit.expiry}`;
}
