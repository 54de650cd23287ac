import { type Either, Left } from "purify-ts";
import { DeckError } from "@oleanderdeck/errors";
import type { EventLog } from "@oleanderdeck/observability";
import type { Member } from "@oleanderdeck/protocol";
import type { Clock } from "@oleanderdeck/settings";
import type { ConfigurationReplica } from "./configuration_replica.ts";
import type { DocumentPeer, DocumentRequest } from "./document_peer.ts";
import type { DocumentVersionCopy } from "./document_replica.ts";
import { WakeUp } from "./wake_up.ts";

/** Options of {@linkcode DocumentPuller}. */
export interface DocumentPullerOptions {
  readonly replica: ConfigurationReplica;
  readonly peer: DocumentPeer;
  readonly clock: Clock;
  readonly log?: EventLog;
}

/** Time for one request to a peer, in milliseconds. */
export const PULL_TIMEOUT_MS = 1_000;

/** Greatest number of documents that are wanted at one time. */
export const MAX_WANTED = 4_096;

/** Greatest number of peers that are kept as sources of one document. */
const MAX_SOURCES = 4;

/** Greatest number of names in one request. */
const MAX_NAMES = 64;

/** Greatest number of pages of one comparison with a peer. */
const MAX_PAGES = 1_000;

/**
 * Time between two comparisons with peers that hold a higher version, in
 * milliseconds. It leaves time for the news, which costs less, to arrive first.
 */
export const CATCH_UP_INTERVAL_MS = 500;

/**
 * Time between two comparisons of all versions, in milliseconds. Such a request
 * has the versions of all documents, about 40 bytes each.
 */
export const FULL_COMPARE_INTERVAL_MS = 10_000;

interface Wanted {
  version: number;
  /** Peers that hold the version, the latest last. */
  readonly sources: Member[];
}

interface Difference {
  readonly peer: Member;
  readonly version: number;
}

/** Pulls documents from peers that told of them, one request at a time. */
export class DocumentPuller {
  readonly #options: DocumentPullerOptions;
  readonly #wanted = new Map<string, Wanted>();
  #difference: Difference | undefined;
  #catchUpAt: number;
  #fullCompareAt: number;
  readonly #work = new WakeUp();

  /** @param options The replica and the peers. */
  constructor(options: DocumentPullerOptions) {
    this.#options = options;
    const now = options.clock.now();
    this.#catchUpAt = now;
    this.#fullCompareAt = now;
  }

  /** Notes that a peer holds a version of a document. */
  want(name: string, version: number, source: Member): void {
    const held = this.#options.replica.find(name)?.version ?? 0;
    if (version <= held) return;
    const wanted = this.#wanted.get(name);
    if (wanted === undefined || wanted.version < version) {
      if (wanted === undefined && this.#wanted.size >= MAX_WANTED) return;
      this.#wanted.set(name, { version, sources: [source] });
      this.#work.wake();
    } else if (
      wanted.version === version && wanted.sources.length < MAX_SOURCES
    ) {
      wanted.sources.push(source);
    }
  }

  /**
   * Notes that a peer holds other versions than this node.
   *
   * @param peer The peer.
   * @param version Highest version that the peer holds.
   */
  reconcile(peer: Member, version: number): void {
    const { replica, clock } = this.#options;
    const due = version > replica.highestVersion()
      ? this.#catchUpAt
      : this.#fullCompareAt;
    if (clock.now() < due) return;
    if (this.#difference === undefined || this.#difference.version < version) {
      this.#difference = { peer, version };
      this.#work.wake();
    }
  }

  /** Pulls until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      if (this.#wanted.size > 0) {
        await this.#pullWanted();
      } else if (this.#difference !== undefined) {
        const difference = this.#difference;
        this.#difference = undefined;
        await this.#compare(difference);
      } else {
        await this.#work.wait(clock, { milliseconds: IDLE_MS, signal });
      }
    }
  }

  /**
   * Pulls all documents that a peer holds in newer versions.
   *
   * @returns Whether the peer answered.
   */
  async pullAll(peer: Member): Promise<boolean> {
    const { replica } = this.#options;
    for (let page = 0; page < MAX_PAGES; page++) {
      const held = replica.documents().map(({ name, version }) => ({
        name,
        version,
      }));
      const answer = await this.#fetch(peer, { held, names: [] });
      if (answer.isLeft()) return false;
      if (replica.acceptAll(answer.unsafeCoerce()) === 0) return true;
    }
    return false;
  }

  async #pullWanted(): Promise<void> {
    const { replica } = this.#options;
    const [first] = this.#wanted.values();
    const source = first!.sources.at(-1)!;
    const batch = [...this.#wanted]
      .filter(([, { sources }]) =>
        sources.some(({ nodeId }) => nodeId === source.nodeId)
      )
      .slice(0, MAX_NAMES);
    const answer = await this.#fetch(source, {
      held: batch.map(([name]) => ({
        name,
        version: replica.find(name)?.version ?? 0,
      })),
      names: batch.map(([name]) => name),
    });
    replica.acceptAll(answer.orDefault([]));
    for (const [name, asked] of batch) {
      const wanted = this.#wanted.get(name);
      const held = replica.find(name)?.version ?? 0;
      if (wanted === undefined) continue;
      if (held >= wanted.version) {
        this.#wanted.delete(name);
        continue;
      }
      // An answer may be cut, so a document that is missing from it is asked
      // for again as long as each answer has a part of the batch.
      if (wanted !== asked || answer.orDefault([]).length > 0) continue;
      const index = wanted.sources.findIndex(({ nodeId }) =>
        nodeId === source.nodeId
      );
      wanted.sources.splice(index, 1);
      // Probes show later that the document is missing.
      if (wanted.sources.length === 0) this.#wanted.delete(name);
    }
  }

  async #compare({ peer, version }: Difference): Promise<void> {
    const { replica, clock } = this.#options;
    const behind = version > replica.highestVersion();
    if (behind) this.#catchUpAt = clock.now() + CATCH_UP_INTERVAL_MS;
    else this.#fullCompareAt = clock.now() + FULL_COMPARE_INTERVAL_MS;
    if (!behind) {
      await this.pullAll(peer);
      return;
    }
    for (let page = 0; page < MAX_PAGES; page++) {
      const answer = await this.#fetch(peer, {
        held: [{ name: "", version: replica.highestVersion() }],
        names: [],
      });
      if (replica.acceptAll(answer.orDefault([])) === 0) return;
    }
  }

  async #fetch(
    peer: Member,
    request: DocumentRequest,
  ): Promise<Either<DeckError, readonly DocumentVersionCopy[]>> {
    const { clock, log } = this.#options;
    const settled = new AbortController();
    const answer = await Promise.race([
      this.#options.peer.fetch(peer, request).catch((error: unknown) =>
        Left(new DeckError("internal", { cause: error, run: "no" }))
      ),
      clock.sleep(PULL_TIMEOUT_MS, settled.signal).then(() =>
        Left(new DeckError("deadline_exceeded"))
      ),
    ]);
    settled.abort();
    answer.ifLeft((error) =>
      log?.write("debug", "documents_not_fetched", {
        peer: peer.nodeId,
        error: error.message,
      })
    );
    return answer;
  }
}

/** Time after which a wait without work begins again, in milliseconds. */
const IDLE_MS = 60_000;
