import type { VersionProof } from "./configuration_proof.ts";

/** Reads that wait for a confirmation at most; older ones are dropped. */
const MAX_WAITING_READS = 16;

/** Options of {@linkcode ReadConfirmation}. */
export interface ReadConfirmationOptions {
  /**
   * Time after a read that no peer has confirmed from which on later reads count
   * without one, in milliseconds.
   */
  readonly aloneAfterMs: number;
}

/**
 * Decides from when on a read of the store counts as a proof. The store may have
 * come back older than what other nodes know, which a node that was started or
 * was frozen cannot tell. A read counts once a peer that has a proof itself has
 * answered a request sent after the read, and has thereby named its version. If
 * no such peer answers, a read counts that was sent some time after the first one
 * without an answer.
 */
export class ReadConfirmation {
  readonly #options: ReadConfirmationOptions;
  #waiting: readonly VersionProof[] = [];
  /** Greatest time of sending of a request that a peer has answered. */
  #confirmedUpTo = -Infinity;
  /** Time of the first read that is not confirmed. */
  #unconfirmedSince: number | undefined;
  #lastReadAt = -Infinity;
  /** Whether no read was recorded since all were forgotten. */
  #wasReset = false;

  /** @param options Time without a confirmation. */
  constructor(options: ReadConfirmationOptions) {
    this.#options = options;
  }

  /**
   * Whether a read should be sent now, which is answered at once, other than a
   * watch: it would count and none that was sent so far does, or all were
   * forgotten.
   *
   * @param now Time in milliseconds.
   */
  isReadDue(now: number): boolean {
    if (this.#unconfirmedSince === undefined) return this.#wasReset;
    const countsFrom = this.#unconfirmedSince + this.#options.aloneAfterMs;
    return this.#lastReadAt < countsFrom && now >= countsFrom;
  }

  /**
   * Records a read or watch of the store.
   *
   * @param read Version, and time at which the call was sent.
   * @returns The read if it counts as a proof now.
   */
  add(read: VersionProof): VersionProof | undefined {
    this.#lastReadAt = Math.max(this.#lastReadAt, read.asOf);
    this.#wasReset = false;
    if (read.asOf <= this.#confirmedUpTo) return read;
    this.#unconfirmedSince ??= read.asOf;
    if (read.asOf - this.#unconfirmedSince >= this.#options.aloneAfterMs) {
      return read;
    }
    this.#waiting = [...this.#waiting, read].slice(-MAX_WAITING_READS);
    return undefined;
  }

  /**
   * Records the answer of a peer that has a proof.
   *
   * @param sentAt Time at which the peer was asked.
   * @returns The latest read that counts as a proof now.
   */
  confirm(sentAt: number): VersionProof | undefined {
    this.#confirmedUpTo = Math.max(this.#confirmedUpTo, sentAt);
    const confirmed = this.#waiting.filter(({ asOf }) => asOf <= sentAt);
    this.#waiting = this.#waiting.filter(({ asOf }) => asOf > sentAt);
    const isFirstConfirmed = this.#unconfirmedSince !== undefined &&
      this.#unconfirmedSince <= sentAt;
    if (isFirstConfirmed) this.#unconfirmedSince = this.#waiting[0]?.asOf;
    return confirmed.reduce<VersionProof | undefined>(
      (latest, read) =>
        latest === undefined || read.asOf > latest.asOf ? read : latest,
      undefined,
    );
  }

  /** Forgets all reads and answers, whose times do not count any more. */
  reset(): void {
    this.#waiting = [];
    this.#confirmedUpTo = -Infinity;
    this.#unconfirmedSince = undefined;
    this.#lastReadAt = -Infinity;
    this.#wasReset = true;
  }
}
