/**
 * Time by which a proof has to be younger than the limit, in milliseconds. It
 * covers the step from the check to the sending of a request.
 */
const SAFETY_MARGIN_MS = 250;

/** Share of a short limit that the margin takes at most. */
const MAX_MARGIN_SHARE = 0.1;

/**
 * Time for which a proof holds after a peer has named a newer version, in
 * milliseconds. In this time the new version arrives, so that a change of the
 * configuration refuses no requests. The proof was sound when it was obtained.
 */
const DELIVERY_MS = 1_000;

/** Evidence that a version of the configuration was the latest. */
export interface VersionProof {
  readonly version: number;
  /** Time as of which it was the latest, in milliseconds of the local time. */
  readonly asOf: number;
}

/** Options of {@linkcode ConfigurationProof}. */
export interface ConfigurationProofOptions {
  /** Returns the version in force; 0 if there is none. */
  readonly version: () => number;
  /**
   * Time after which a key that was taken away has to be refused, in
   * milliseconds.
   */
  readonly limitMs: number;
}

/**
 * Proof that the configuration in force is the latest. It answers the load of a
 * host that is cut off from the others, or stands still, while keys are taken
 * away. A proof counts for the version in force if it names that version or a
 * lower one, and no peer has named a higher one.
 */
export class ConfigurationProof {
  readonly #options: ConfigurationProofOptions;
  /** Latest proof of the version in force or a lower one. */
  #proof: VersionProof | undefined;
  /** Proof of a higher version than the one in force, which is awaited. */
  #awaited: VersionProof | undefined;
  /** Highest version that was heard of. */
  #highest = 0;
  /** Time since which a higher version than the one in force is known. */
  #behindSince: number | undefined;

  /** @param options Version in force, and limit of the age. */
  constructor(options: ConfigurationProofOptions) {
    this.#options = options;
  }

  /** Highest version that was heard of. */
  get highestVersion(): number {
    return Math.max(this.#highest, this.#options.version());
  }

  /** Whether a higher version than the one in force is known. */
  get isBehind(): boolean {
    return this.highestVersion > this.#options.version();
  }

  /**
   * Records that a version exists.
   *
   * @param version Version that a peer or the store has named.
   * @param now Local time in milliseconds.
   */
  hear(version: number, now: number): void {
    if (!this.isBehind) this.#behindSince = undefined;
    this.#highest = Math.max(this.#highest, version);
    if (this.isBehind) this.#behindSince ??= now;
  }

  /**
   * Records a proof. One of a lower version than the one that is awaited is not
   * accepted: the store that it comes from may have come back older.
   *
   * @param proof Version and time as of which it was the latest.
   * @param now Local time in milliseconds.
   * @returns Whether the proof counts for the version in force.
   */
  record(proof: VersionProof, now: number): boolean {
    this.hear(proof.version, now);
    if (this.isBehind) {
      if (proof.version === this.#highest) {
        this.#awaited = later(this.#awaited, proof);
      }
      return false;
    }
    this.#proof = later(this.#proof, proof);
    return true;
  }

  /** Discards all proofs; the highest version stays known. */
  discard(): void {
    this.#proof = undefined;
    this.#awaited = undefined;
  }

  /**
   * Returns the age of the proof of the version in force, in milliseconds;
   * infinite if there is none.
   *
   * @param now Local time in milliseconds.
   */
  ageAt(now: number): number {
    if (this.isBehind) {
      if (now - (this.#behindSince ?? now) > DELIVERY_MS) return Infinity;
    } else this.#takeAwaited();
    return this.#proof === undefined ? Infinity : now - this.#proof.asOf;
  }

  /**
   * Whether requests that depend on the latest configuration may be served.
   *
   * @param now Local time in milliseconds.
   */
  isValidAt(now: number): boolean {
    const { limitMs } = this.#options;
    const marginMs = Math.min(SAFETY_MARGIN_MS, limitMs * MAX_MARGIN_SHARE);
    return this.ageAt(now) <= limitMs - marginMs;
  }

  #takeAwaited(): void {
    if (this.#awaited === undefined) return;
    this.#proof = later(this.#proof, this.#awaited);
    this.#awaited = undefined;
  }
}

// A proof of an older version than the one awaited counts only by its time.
function later(
  known: VersionProof | undefined,
  proof: VersionProof,
): VersionProof {
  return known === undefined || proof.asOf > known.asOf ? proof : known;
}
