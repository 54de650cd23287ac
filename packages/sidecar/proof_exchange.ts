import type { LocalTime } from "./suspension_detector.ts";

/**
 * Time between requests to a peer that answers, in milliseconds. It is half a
 * second less the deviation of the checks.
 */
const REQUEST_INTERVAL_MS = 450;

/**
 * Time without an answer after which another peer is asked, in milliseconds. It
 * is one interval of the checks less their deviation.
 */
const ANSWER_TIMEOUT_MS = 200;

/**
 * Requests without an answer that are kept, so that late answers count. They are
 * those of four seconds at least.
 */
const MAX_OPEN_REQUESTS = 16;

/**
 * Requests after which a node of this data centre is asked again where one of
 * another was asked so far: once in ten seconds. Bytes between data centres have a
 * price.
 */
const REQUESTS_PER_RETURN = 20;

/** Request for a proof, and the peer that it goes to. */
export interface SentProofRequest {
  readonly id: number;
  readonly peer: string;
  readonly sentAt: LocalTime;
}

/** Options of {@linkcode ProofExchange}. */
export interface ProofExchangeOptions {
  /** Name of this node. */
  readonly node: string;
  /** Whether a node is in the data centre of this one. */
  readonly isNear: (node: string) => boolean;
  /** Returns a number from 0 to below 1. */
  readonly random: () => number;
}

/**
 * Decides which peer is asked for a proof, and when, and matches the answers. It
 * answers the load of peers that end, stand still or have no proof themselves:
 * then the next one is asked.
 */
export class ProofExchange {
  readonly #options: ProofExchangeOptions;
  #open: readonly SentProofRequest[] = [];
  #nextId = 1;
  #peer: string | undefined;
  #last: SentProofRequest | undefined;
  /** Whether the last request was answered with a proof. */
  #isAnswered = false;

  /** @param options Name of this node and random numbers. */
  constructor(options: ProofExchangeOptions) {
    this.#options = options;
  }

  /**
   * Returns the request that has to be sent now, if one has.
   *
   * @param peers Elected nodes.
   * @param now Time at which the request is sent.
   */
  next(peers: readonly string[], now: LocalTime): SentProofRequest | undefined {
    const others = peers.filter((peer) => peer !== this.#options.node);
    if (others.length === 0 || !this.#isDue(now)) return undefined;
    this.#peer = this.#choose(others);
    const request = { id: this.#nextId++, peer: this.#peer, sentAt: now };
    this.#open = [...this.#open, request].slice(-MAX_OPEN_REQUESTS);
    this.#last = request;
    this.#isAnswered = false;
    return request;
  }

  /**
   * Records an answer.
   *
   * @param id Identity of the request.
   * @param isProof Whether the answer is a proof that can be used.
   * @returns The request; undefined if it is not known or was answered.
   */
  receive(id: number, isProof: boolean): SentProofRequest | undefined {
    const request = this.#open.find((sent) => sent.id === id);
    this.#open = this.#open.filter((sent) => sent !== request);
    if (request === this.#last && isProof) this.#isAnswered = true;
    return request;
  }

  /** Forgets the requests, whose times do not count any more. */
  reset(): void {
    this.#open = [];
    this.#last = undefined;
  }

  #isDue({ at }: LocalTime): boolean {
    if (this.#last === undefined) return true;
    const sinceLastMs = at - this.#last.sentAt.at;
    return sinceLastMs >=
      (this.#isAnswered ? REQUEST_INTERVAL_MS : ANSWER_TIMEOUT_MS);
  }

  #choose(others: readonly string[]): string {
    const known = this.#peer;
    if (known === undefined || !others.includes(known)) {
      return this.#draw(others);
    }
    const isFailing = !this.#isAnswered && this.#last !== undefined;
    if (isFailing) return others[(others.indexOf(known) + 1) % others.length]!;
    const mayReturn = this.#nextId % REQUESTS_PER_RETURN === 0;
    return mayReturn && !this.#options.isNear(known)
      ? this.#draw(others)
      : known;
  }

  // Draws one of the near peers, so that the requests of a fleet are spread evenly.
  #draw(others: readonly string[]): string {
    const { isNear, random } = this.#options;
    const near = others.filter((peer) => isNear(peer));
    const among = near.length > 0 ? near : others;
    return among[Math.floor(random() * among.length)]!;
  }
}
