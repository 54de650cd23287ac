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

/** Timeout of one request to a peer, in milliseconds. */
export const PULL_TIMEOUT_MS = 2_000;

/**
 * Number of concurrent requests for announced documents. It is more than one,
 * so that a peer that does not respond does not delay all other pulls.
 */
export const CONCURRENT_PULLS = 3;

/** Maximum number of queued documents; further ones are not queued. */
export const MAX_QUEUE_LENGTH = 4_096;

/** Maximum number of peers that are recorded as sources of one document. */
const MAX_SOURCES = 4;

/** Maximum number of document names in one request. */
const MAX_NAMES = 64;

/**
 * Maximum number of held versions, about 40 bytes each, that a request for an
 * announced document lists in order to pull all newer documents of the peer. If
 * there are more, only the announced documents are pulled.
 */
const MAX_LISTED_VERSIONS = 256;

/** Maximum number of responses that one comparison with a peer reads. */
const MAX_PAGES = 1_000;

/**
 * Time from a probe that reports a higher version to the comparison, in
 * milliseconds. The announcement, which costs less, has time to arrive first.
 */
export const BEHIND_DELAY_MS = 500;

/**
 * Time from a probe that reports a different digest but no higher version to
 * the comparison, in milliseconds. It is longer, because in most cases the peer
 * is the one that is behind.
 */
export const DIFFERENCE_DELAY_MS = 3_000;

/**
 * Minimum time between two comparisons of all versions, in milliseconds. It is
 * doubled after each comparison that finds nothing, up to
 * {@linkcode MAX_FULL_COMPARE_INTERVAL_MS}, because such a request lists the
 * versions of all documents, about 40 bytes each.
 */
export const FULL_COMPARE_INTERVAL_MS = 10_000;

/**
 * Upper limit of the minimum time between two comparisons of all versions, in
 * milliseconds.
 */
export const MAX_FULL_COMPARE_INTERVAL_MS = 320_000;

/** A document version that a peer has announced and this node lacks. */
interface QueuedDocument {
  readonly version: number;
  /** Peers that hold the version; the one that announced it last is last. */
  readonly sources: Member[];
  /** Whether a request for the document is in progress. */
  isPulling: boolean;
}

/** A comparison with a peer whose probe reported a different configuration. */
interface ScheduledComparison {
  readonly peer: Member;
  /** Configuration that the peer reported. */
  readonly held: HeldConfiguration;
  /** Time at which the comparison is due, in milliseconds of the clock. */
  readonly at: number;
}

/**
 * Pulls the documents that peers have announced, and compares versions with
 * peers that report a different configuration.
 */
export class DocumentPuller {
  readonly #options: DocumentPullerOptions;
  readonly #queue = new Map<string, QueuedDocument>();
  readonly #notifier = new Notifier();
  #comparison: ScheduledComparison | undefined;
  #fullCompareAt = -Infinity;
  #fullCompareIntervalMs = FULL_COMPARE_INTERVAL_MS;

  /** @param options The replica and the peers. */
  constructor(options: DocumentPullerOptions) {
    this.#options = options;
  }

  /**
   * Queues a document for pulling if this node lacks the version.
   *
   * @param name Name of the document.
   * @param version Version that the peer announced.
   * @param source Peer that holds the version.
   */
  enqueue(name: string, version: number, source: Member): void {
    if (version <= this.#heldVersion(name)) return;
    const queued = this.#queue.get(name);
    if (queued === undefined || queued.version < version) {
      if (queued === undefined && this.#queue.size >= MAX_QUEUE_LENGTH) return;
      this.#queue.set(name, { version, sources: [source], isPulling: false });
      this.#notifier.notifyAll();
    } else if (
      queued.version === version && queued.sources.length < MAX_SOURCES
    ) {
      queued.sources.push(source);
    }
  }

  /**
   * Schedules a comparison with a peer that holds other versions than this
   * node. Only one comparison is scheduled at a time: the one that is due first.
   *
   * @param peer Peer to compare with.
   * @param held Configuration that the peer reported.
   */
  scheduleComparison(peer: Member, held: HeldConfiguration): void {
    const { replica, clock } = this.#options;
    const isBehind = Number(held.version) > replica.highestVersion();
    const delay = isBehind ? BEHIND_DELAY_MS : DIFFERENCE_DELAY_MS;
    const at = clock.now() + delay;
    if (this.#comparison !== undefined && this.#comparison.at <= at) return;
    this.#comparison = { peer, held, at };
    this.#notifier.notifyAll();
  }

  /** Pulls and compares until the signal is aborted. */
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
   * @returns Whether all requests to the peer succeeded.
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
      const comparison = this.#comparison;
      const wait = (comparison?.at ?? Infinity) - clock.now();
      if (comparison === undefined || wait > 0) {
        const milliseconds = Math.min(wait, MAX_IDLE_WAIT_MS);
        await this.#notifier.wait(clock, { milliseconds, signal });
        continue;
      }
      if (comparison.held.digest !== replica.digest()) {
        await untilAborted(this.#compare(comparison.peer), signal);
      }
      this.#comparison = undefined;
    }
  }

  /**
   * Returns the next document to pull, and removes those from the queue that
   * another pull has brought.
   */
  #nextQueued(): QueuedDocument | undefined {
    for (const [name, queued] of this.#queue) {
      if (queued.isPulling) continue;
      if (this.#heldVersion(name) < queued.version) return queued;
      this.#queue.delete(name);
    }
    return undefined;
  }

  /**
   * Pulls the queued documents that a peer holds, and all others that it holds
   * above the version up to which this node is complete. After a burst of
   * changes, the announcement of one of them thus brings all of them.
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
      // A response may omit the last documents, so the peer stays a source as
      // long as its responses contain newer documents.
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

  /**
   * Builds a request for all newer documents of a peer, or for the batch alone
   * if the list of held versions would be too long.
   */
  #buildRequest(
    batch: readonly (readonly [string, QueuedDocument])[],
  ): DocumentRequest {
    const newer = this.#versionsAbove(this.#options.replica.completeVersion());
    if (newer.length <= MAX_LISTED_VERSIONS) return { held: newer, names: [] };
    const names = batch.map(([name]) => name);
    const held = names.map((name) => ({
      name,
      version: this.#heldVersion(name),
    }));
    return { held, names };
  }

  /** Lists held versions for a request for all documents above a version. */
  #versionsAbove(above: number): readonly HeldVersion[] {
    const held = this.#options.replica.documents()
      .filter(({ version }) => version > above)
      .map(({ name, version }) => ({ name, version }));
    return above === 0 ? held : [{ name: "", version: above }, ...held];
  }

  /**
   * Pulls the documents that a peer holds above the version up to which this
   * node is complete. If that finds nothing, this node may lack an older
   * version, so all versions are compared, at most once per interval between
   * full comparisons.
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
   * @returns Number of documents accepted; undefined if a request failed.
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

/**
 * Maximum time of one wait for work, in milliseconds. The loop then checks
 * again and waits anew.
 */
const MAX_IDLE_WAIT_MS = 60_000;
