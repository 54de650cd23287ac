import { WATCH_MARGIN_MS } from "@oleanderdeck/directory";
import type { ProofFrame, ProofRequestFrame } from "@oleanderdeck/hop";
import type { EventLog } from "@oleanderdeck/observability";
import {
  ConfigurationProof,
  type VersionProof,
} from "./configuration_proof.ts";
import { ProofExchange } from "./proof_exchange.ts";
import { ReadConfirmation } from "./read_confirmation.ts";
import {
  type HostClocks,
  type LocalTime,
  SuspensionDetector,
} from "./suspension_detector.ts";

/**
 * Longest duration of a watch by a node that announces the configuration, in
 * milliseconds. With its margin it is below the time after a disturbance for
 * which nodes may lag, since all watches may have become silent at once.
 */
const MAX_WATCH_WAIT_MS = 2_000;

/**
 * Watches that fit into the limit of the age of a proof. A proof of a watcher is
 * up to two watches old, and more if a watch has no answer.
 */
const WATCHES_PER_LIMIT = 5;

/**
 * Longest time after a read that no peer has confirmed until reads count without
 * a confirmation, in milliseconds. Peers are asked several times in it.
 */
const MAX_ALONE_AFTER_MS = 1_000;

/** Watches without a failure that a proof of a node which watches covers. */
const WATCHES_PER_PROOF = 2;

/**
 * Time after a first start of the fleet in which reads of the store need no
 * confirmation, in milliseconds. The store has nothing to come back from yet.
 */
const FIRST_START_MS = 10_000;

/** Returns the longest duration of a watch of the latest data, in milliseconds. */
export function watchWaitMs(limitMs: number | undefined): number {
  if (limitMs === undefined) return MAX_WATCH_WAIT_MS;
  return Math.min(MAX_WATCH_WAIT_MS, Math.floor(limitMs / WATCHES_PER_LIMIT));
}

/**
 * Returns the greatest age of the proof of a node that watches the store, in
 * milliseconds.
 */
function maxWatcherAgeMs(limitMs: number): number {
  return Math.min(
    limitMs / 2,
    WATCHES_PER_PROOF * watchWaitMs(limitMs) + WATCH_MARGIN_MS,
  );
}

/** Options of {@linkcode ConfigurationFreshness}. */
export interface ConfigurationFreshnessOptions {
  /** Name of this node. */
  readonly node: string;
  /** See {@linkcode ConfigurationProof}. */
  readonly limitMs: number;
  readonly clocks: HostClocks;
  /** Returns a number from 0 to below 1. */
  readonly random: () => number;
  /** Returns the version in force; 0 if there is none. */
  readonly version: () => number;
  /**
   * Returns the names of the nodes that watch the store for the fleet and can be
   * reached.
   */
  readonly elected: () => readonly string[];
  /** Whether a node is in the data centre of this one. */
  readonly isNear: (node: string) => boolean;
  /** Whether the records show that there is no other node. */
  readonly isAlone: () => boolean;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Sends a frame to a node; drops it if there is no link. */
  readonly send: (node: string, frame: ProofRequestFrame) => void;
  /** Called when a node that watches the store has given a proof. */
  readonly onPeerProof: () => void;
  readonly log: Pick<EventLog, "write">;
}

/**
 * Shows how recently the configuration in force was the latest one, by reads of
 * the store and by proofs of the nodes that make them. It has no timers and no
 * sockets.
 */
export class ConfigurationFreshness {
  readonly #options: ConfigurationFreshnessOptions;
  readonly #detector: SuspensionDetector;
  readonly #exchange: ProofExchange;
  readonly #reads: ReadConfirmation;
  /** Proof by reads of this node, the only one that is passed on. */
  readonly #ownProof: ConfigurationProof;
  /** Latest proof from any source. */
  readonly #proof: ConfigurationProof;
  readonly #startedAt: LocalTime;
  #checkedAt: LocalTime;
  /** Whether the last check found a proof; undefined before the first proof. */
  #hadProof: boolean | undefined;

  /** @param options Limit, clocks, and state of the node. */
  constructor(options: ConfigurationFreshnessOptions) {
    this.#options = options;
    const { limitMs } = options;
    this.#detector = new SuspensionDetector(options.clocks);
    this.#exchange = new ProofExchange(options);
    this.#reads = new ReadConfirmation({
      aloneAfterMs: Math.min(MAX_ALONE_AFTER_MS, watchWaitMs(limitMs)),
    });
    this.#ownProof = new ConfigurationProof(options);
    this.#proof = new ConfigurationProof(options);
    this.#startedAt = this.#detector.check();
    this.#checkedAt = this.#startedAt;
  }

  /** Whether requests with credentials may be served now. */
  get mayUseCredentials(): boolean {
    return this.#proof.isValidAt(this.now().at);
  }

  /** Age of the proof in milliseconds; infinite if there is none. */
  get ageMs(): number {
    return this.#proof.ageAt(this.now().at);
  }

  /**
   * Returns the local time, after a check for a suspension. If there was one, all
   * proofs from before are discarded.
   */
  now(): LocalTime {
    const time = this.#detector.check();
    if (time.suspensions !== this.#checkedAt.suspensions) this.#discard(time);
    this.#checkedAt = time;
    return time;
  }

  /** Whether the store has to be read again, in place of a watch. */
  get isReadDue(): boolean {
    return this.#reads.isReadDue(this.now().at);
  }

  /**
   * Records a read or watch of the latest data of the store.
   *
   * @param version Version that the store has.
   * @param sentAt Time at which the call was sent, from {@linkcode now}.
   */
  recordRead(version: number, sentAt: LocalTime): void {
    const now = this.now();
    this.#hear(version, now);
    if (sentAt.suspensions !== now.suspensions) return;
    const read: VersionProof = { version, asOf: sentAt.at };
    const { isAlone, isFirstStart } = this.#options;
    const needsNoPeer = isAlone() ||
      isFirstStart && now.at - this.#startedAt.at < FIRST_START_MS;
    const counted = this.#reads.add(read);
    this.#recordOwn(needsNoPeer ? read : counted, now);
  }

  /** Records that a peer has named a version. */
  hear(version: number): void {
    this.#hear(version, this.now());
  }

  /** Answers a request for a proof. */
  answer({ id }: ProofRequestFrame): ProofFrame {
    const now = this.now();
    return {
      kind: "proof",
      id,
      configurationVersion: this.#options.version(),
      ageMs: this.#ownProof.isBehind ? Infinity : this.#ownProof.ageAt(now.at),
    };
  }

  /** Records the answer of a peer to a request for a proof. */
  receive({ id, configurationVersion: version, ageMs }: ProofFrame): void {
    const now = this.now();
    const { limitMs, onPeerProof } = this.#options;
    const isWatching = ageMs <= maxWatcherAgeMs(limitMs);
    this.#hear(version, now);
    const request = this.#exchange.receive(id, isWatching);
    if (request === undefined || !Number.isFinite(ageMs)) return;
    // The age was that at the peer's answer, which is later than the request.
    const { at: sentAt } = request.sentAt;
    if (ageMs <= limitMs) this.#recordOwn(this.#reads.confirm(sentAt), now);
    this.#proof.record({ version, asOf: sentAt - ageMs }, now.at);
    if (isWatching) onPeerProof();
  }

  /** Sends the request that is due; called several times a second. */
  check(): void {
    const now = this.now();
    this.#logChange(now);
    this.#request(now);
  }

  #request(now: LocalTime): void {
    const { elected, send } = this.#options;
    const request = this.#exchange.next(elected(), now);
    if (request === undefined) return;
    send(request.peer, { kind: "proof_request", id: request.id });
  }

  #hear(version: number, { at }: LocalTime): void {
    this.#ownProof.hear(version, at);
    this.#proof.hear(version, at);
  }

  #recordOwn(read: VersionProof | undefined, { at }: LocalTime): void {
    if (read === undefined) return;
    this.#ownProof.record(read, at);
    this.#proof.record(read, at);
  }

  #discard(now: LocalTime): void {
    this.#ownProof.discard();
    this.#proof.discard();
    this.#reads.reset();
    this.#exchange.reset();
    this.#options.log.write("info", "suspension_detected", {
      suspensions: now.suspensions,
    });
    this.#request(now);
  }

  #logChange({ at }: LocalTime): void {
    const { limitMs, log, version } = this.#options;
    const hasProof = this.#proof.isValidAt(at);
    const isFirst = this.#hadProof === undefined;
    if (isFirst && !hasProof && at - this.#startedAt.at < limitMs) return;
    const hasChanged = this.#hadProof !== hasProof;
    this.#hadProof = hasProof;
    if (!hasChanged || isFirst && hasProof) return;
    log.write(
      hasProof ? "info" : "warn",
      hasProof ? "proof_regained" : "proof_lost",
      {
        age_ms: Math.round(this.#proof.ageAt(at)),
        version: version(),
        highest_version: this.#proof.highestVersion,
      },
    );
  }
}
