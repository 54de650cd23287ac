import { type Either, Left } from "purify-ts";
import { DeckError } from "@oleanderdeck/errors";
import type { EventLog } from "@oleanderdeck/observability";
import type { HeldConfiguration, Member } from "@oleanderdeck/protocol";
import type { Clock } from "@oleanderdeck/settings";
import type { ConfigurationReplica } from "./configuration_replica.ts";
import type {
  DocumentPeer,
  DocumentRequest,
  HeldVersion,
} from "./document_peer.ts";
import type { DocumentVersionCopy } from "./document_replica.ts";
import { Notifier, untilAborted } from "./notifier.ts";

/** Options of {@linkcode DocumentPuller}. */
export interface DocumentPullerOptions {
  readonly replica: ConfigurationReplica;
  readonly peer: DocumentPeer;
  readonly clock: Clock;
  readonly log?: EventLog;
}

/** Time for one request to a peer, in milliseconds. */
export const PULL_TIMEOUT_MS = 2_000;

/**
 * Number of requests at one time, so that a peer that does not answer holds up
 * only a part of the work.
 */
export const CONCURRENT_PULLS = 3;

/** Greatest number of documents that are wanted at one time. */
export const MAX_QUEUED_DOCUMENTS = 4_096;

/** Greatest number of peers that are kept as sources of one document. */
const MAX_SOURCES = 4;

/** Greatest number of names in one request. */
const MAX_NAMES = 64;

/**
 * Greatest number of versions that are named to pull all else that a peer holds
 * on the occasion of news, about 40 bytes each. Above it, only the documents of
 * the news are pulled.
 */
const MAX_NAMED_VERSIONS = 256;

/** Greatest number of answers of one comparison with a peer. */
const MAX_PAGES = 1_000;

/**
 * Time from a probe with a higher version to the comparison, in milliseconds.
 * It leaves time for the news, which costs less, to arrive first.
 */
export const BEHIND_DELAY_MS = 500;

/**
 * Time from a probe with another digest but no higher version to the
 * comparison, in milliseconds. The peer is mostly the one that is behind.
 */
export const DIFFERENCE_DELAY_MS = 3_000;

/**
 * Time between two comparisons of all versions, in milliseconds, doubled after
 * each one that finds nothing up to {@linkcode MAX_FULL_COMPARE_INTERVAL_MS}.
 * Such a request has the versions of all documents, about 40 bytes each.
 */
export const FULL_COMPARE_INTERVAL_MS = 10_000;

/** Longest time between two comparisons of all versions, in milliseconds. */
export const MAX_FULL_COMPARE_INTERVAL_MS = 320_000;

interface QueuedDocument {
  readonly version: number;
  /** Peers that hold the version, the latest last. */
  readonly sources: Member[];
  isPulling: boolean;
}

interface ScheduledComparison {
  readonly peer: Member;
  readonly held: HeldConfiguration;
  /** Time of the comparison. */
  readonly at: number;
}

/** Pulls documents from peers that told of them. */
export class DocumentPuller {
  readonly #options: DocumentPullerOptions;
  readonly #queue = new Map<string, QueuedDocument>();
  readonly #notifier = new Notifier();
  #scheduledComparison: ScheduledComparison | undefined;
  #fullCompareAt = -Infinity;
  #fullCompareIntervalMs = FULL_COMPARE_INTERVAL_MS;

  /** @param options The replica and the peers. */
  constructor(options: DocumentPullerOptions) {
    this.#options = options;
  }

  /** Notes that a peer holds a version of a document. */
  enqueue(name: string, version: number, source: Member): void {
    if (version <= this.#heldVersion(name)) return;
    const queued = this.#queue.get(name);
    if (queued === undefined || queued.version < version) {
      if (queued === undefined && this.#queue.size >= MAX_QUEUED_DOCUMENTS) {
        return;
      }
      this.#queue.set(name, { version, sources: [source], isPulling: false });
      this.#notifier.notifyAll();
    } else if (
      queued.version === version && queued.sources.length < MAX_SOURCES
    ) {
      queued.sources.push(source);
    }
  }

  /** Notes that a peer holds other versions than this node. */
  scheduleComparison(peer: Member, held: HeldConfiguration): void {
    const { replica, clock } = this.#options;
    const isBehind = Number(held.version) > replica.highestVersion();
    const delay = isBehind ? BEHIND_DELAY_MS : DIFFERENCE_DELAY_MS;
    const at = clock.now() + delay;
    if (
      this.#scheduledComparison !== undefined &&
      this.#scheduledComparison.at <= at
    ) return;
    this.#scheduledComparison = { peer, held, at };
    this.#notifier.notifyAll();
  }

  /** Pulls until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#runComparisons(signal),
      ...Array.from(
        { length: CONCURRENT_PULLS },
        () => this.#runPulls(signal),
      ),
    ]);
  }

  /**
   * Pulls all documents that a peer holds in newer versions.
   *
   * @returns Whether the peer answered.
   */
  async pullAll(peer: Member): Promise<boolean> {
    return await this.#pullNewer(peer, 0) !== undefined;
  }

  async #runPulls(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      const next = this.#nextQueued();
      if (next === undefined) {
        await this.#notifier.wait(clock, {
          milliseconds: MAX_IDLE_WAIT_MS,
          signal,
        });
      } else {
        const pulled = this.#pullQueued(next.sources.at(-1)!);
        await untilAborted(pulled, signal);
      }
    }
  }

  async #runComparisons(signal: AbortSignal): Promise<void> {
    const { clock, replica } = this.#options;
    while (!signal.aborted) {
      const comparison = this.#scheduledComparison;
      const wait = (comparison?.at ?? Infinity) - clock.now();
      if (comparison === undefined || wait > 0) {
        const milliseconds = Math.min(wait, MAX_IDLE_WAIT_MS);
        await this.#notifier.wait(clock, { milliseconds, signal });
        continue;
      }
      if (comparison.held.digest !== replica.digest()) {
        await untilAborted(this.#compare(comparison.peer), signal);
      }
      this.#scheduledComparison = undefined;
    }
  }

  /** Finds a document to pull and forgets those that came by another pull. */
  #nextQueued(): QueuedDocument | undefined {
    for (const [name, queued] of this.#queue) {
      if (queued.isPulling) continue;
      if (this.#heldVersion(name) < queued.version) return queued;
      this.#queue.delete(name);
    }
    return undefined;
  }

  /**
   * Pulls the wanted documents that a peer told of, and all else that it holds
   * beyond the version up to which this node is complete. After a burst of
   * changes, the news of one of them so brings all of them.
   */
  async #pullQueued(source: Member): Promise<void> {
    const { replica } = this.#options;
    const isSource = ({ nodeId }: Member) => nodeId === source.nodeId;
    const batch = [...this.#queue]
      .filter(([, { sources, isPulling }]) =>
        !isPulling && sources.some(isSource)
      )
      .slice(0, MAX_NAMES);
    for (const [, queued] of batch) queued.isPulling = true;
    const response = await this.#fetch(source, this.#buildRequest(batch));
    const accepted = replica.acceptAll(response.orDefault([]));
    for (const [name, queued] of batch) {
      queued.isPulling = false;
      // An answer may be cut, so the peer is asked again while it gives some.
      if (accepted === 0) {
        queued.sources.splice(queued.sources.findIndex(isSource), 1);
      }
      const isDone = this.#heldVersion(name) >= queued.version ||
        queued.sources.length === 0;
      if (isDone && this.#queue.get(name) === queued) {
        this.#queue.delete(name);
      }
    }
  }

  #buildRequest(
    batch: readonly (readonly [string, QueuedDocument])[],
  ): DocumentRequest {
    const newer = this.#versionsAbove(this.#options.replica.completeVersion());
    if (newer.length <= MAX_NAMED_VERSIONS) return { held: newer, names: [] };
    const names = batch.map(([name]) => name);
    const held = names.map((name) => ({
      name,
      version: this.#heldVersion(name),
    }));
    return { held, names };
  }

  /** Versions to name in a request for all documents above a version. */
  #versionsAbove(above: number): readonly HeldVersion[] {
    const held = this.#options.replica.documents()
      .filter(({ version }) => version > above)
      .map(({ name, version }) => ({ name, version }));
    return above === 0 ? held : [{ name: "", version: above }, ...held];
  }

  /**
   * Pulls what a peer holds beyond the version up to which this node is
   * complete. If that finds nothing, this node lacks an older version, and all
   * versions are compared.
   */
  async #compare(peer: Member): Promise<void> {
    const { replica, clock } = this.#options;
    const accepted = await this.#pullNewer(peer, replica.completeVersion());
    if (accepted !== 0 || clock.now() < this.#fullCompareAt) return;
    const older = await this.#pullNewer(peer, 0);
    this.#fullCompareIntervalMs = older === 0
      ? Math.min(this.#fullCompareIntervalMs * 2, MAX_FULL_COMPARE_INTERVAL_MS)
      : FULL_COMPARE_INTERVAL_MS;
    this.#fullCompareAt = clock.now() + this.#fullCompareIntervalMs;
  }

  /**
   * Pulls the documents that a peer holds in newer versions than this node and
   * above a version.
   *
   * @returns Number of documents taken; undefined if the peer did not answer.
   */
  async #pullNewer(peer: Member, above: number): Promise<number | undefined> {
    const { replica } = this.#options;
    let total = 0;
    for (let page = 0; page < MAX_PAGES; page++) {
      const response = await this.#fetch(peer, {
        held: this.#versionsAbove(above),
        names: [],
      });
      if (response.isLeft()) return undefined;
      const accepted = replica.acceptAll(response.unsafeCoerce());
      if (accepted === 0) return total;
      total += accepted;
    }
    return total;
  }

  #heldVersion(name: string): number {
    return this.#options.replica.find(name)?.version ?? 0;
  }

  async #fetch(
    peer: Member,
    request: DocumentRequest,
  ): Promise<Either<DeckError, readonly DocumentVersionCopy[]>> {
    const { clock, log } = this.#options;
    const settled = new AbortController();
    const response = await Promise.race([
      this.#options.peer.fetch(peer, request).catch((error: unknown) =>
        Left(new DeckError("internal", { cause: error, run: "no" }))
      ),
      clock.sleep(PULL_TIMEOUT_MS, settled.signal).then(() =>
        Left(new DeckError("deadline_exceeded"))
      ),
    ]);
    settled.abort();
    response.ifLeft((error) =>
      log?.write("debug", "documents_not_fetched", {
        peer: peer.nodeId,
        error: error.message,
      })
    );
    return response;
  }
}

/** Time after which a wait without work begins again, in milliseconds. */
const MAX_IDLE_WAIT_MS = 60_000;
