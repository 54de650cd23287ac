import {
  createHmac,
  createSecretKey,
  type KeyObject,
  timingSafeEqual,
} from "node:crypto";

/** Length of a signature in bytes. */
export const SIGNATURE_BYTES = 16;

/**
 * Shared keys with which nodes prove that they belong to the fleet. The first key
 * signs, and all keys verify. Keys can thus be rotated without downtime: add the
 * new key as the last one on all nodes, then move it to the front, then remove the
 * old one.
 */
export class PeerKeys {
  readonly #keys: readonly KeyObject[];

  /**
   * @param keys Secrets of the settings; the first one signs.
   * @throws {RangeError} If there is no key.
   */
  constructor(keys: readonly string[]) {
    if (keys.length === 0) throw new RangeError("At least one key is needed");
    this.#keys = keys.map((key) => createSecretKey(key, "utf8"));
  }

  /**
   * Signs bytes with HMAC-SHA256, truncated to {@linkcode SIGNATURE_BYTES}.
   *
   * @param purpose Use of the signature; it is not valid for another use.
   */
  sign(purpose: string, bytes: Uint8Array): Uint8Array {
    return signWith(this.#keys[0]!, purpose, bytes);
  }

  /** Whether the signature was made with any of the keys. */
  verify(purpose: string, bytes: Uint8Array, signature: Uint8Array): boolean {
    return signature.length === SIGNATURE_BYTES &&
      this.#keys.some((key) =>
        timingSafeEqual(signWith(key, purpose, bytes), signature)
      );
  }
}

function signWith(
  key: KeyObject,
  purpose: string,
  bytes: Uint8Array,
): Uint8Array {
  return createHmac("sha256", key)
    .update(purpose)
    .update("\0")
    .update(bytes)
    .digest()
    .subarray(0, SIGNATURE_BYTES);
}
