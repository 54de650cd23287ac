import {
  createHmac,
  createSecretKey,
  type KeyObject,
  timingSafeEqual,
} from "node:crypto";

/** Length of a signature in bytes. */
export const SIGNATURE_BYTES = 16;

/**
 * Shared keys by which nodes prove that they belong to the fleet. The first key
 * signs; all keys verify, so that keys are rotated without a stop: add the new
 * key last everywhere, then make it the first, then remove the old one.
 */
export class PeerKeys {
  readonly #keys: readonly KeyObject[];

  /**
   * @param keys Secrets from the settings, the signing key first.
   * @throws {RangeError} If there is no key.
   */
  constructor(keys: readonly string[]) {
    if (keys.length === 0) throw new RangeError("At least one key is needed");
    this.#keys = keys.map((key) => createSecretKey(key, "utf8"));
  }

  /**
   * Signs bytes by HMAC-SHA256, cut to {@linkcode SIGNATURE_BYTES}.
   *
   * @param purpose Keeps signatures of one use from being valid for another.
   */
  sign(purpose: string, bytes: Uint8Array): Uint8Array {
    return signWith(this.#keys[0]!, purpose, bytes);
  }

  /** Tells whether any of the keys made the signature. */
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
