import { createHash } from "node:crypto";
import type { PolicyView } from "@oleanderdeck/agreement";
import type { EventLog } from "@oleanderdeck/observability";
import {
  DocumentReplica,
  type DocumentVersionCopy,
} from "./document_replica.ts";
import { isDocumentName } from "./stored_document.ts";

/** Options of {@linkcode ConfigurationReplica}. */
export interface ConfigurationReplicaOptions {
  /**
   * Builds the lookup over documents, deleted ones left out. It may throw when
   * a document is not valid; the replica then keeps the earlier version of that
   * document in force.
   */
  readonly compile: (
    documents: readonly DocumentVersionCopy[],
  ) => PolicyView;
  /** Receives events about documents that cannot be compiled. */
  readonly log?: EventLog;
}

/**
 * Documents that a node holds, with the lookup compiled over them. The lookup
 * is built at the first use after a change, so that taking many documents at
 * once costs one compilation.
 */
export class ConfigurationReplica extends DocumentReplica {
  readonly #options: ConfigurationReplicaOptions;
  readonly #held = new Map<string, DocumentVersionCopy>();
  /** Versions that the view was built from. */
  readonly #active = new Map<string, DocumentVersionCopy>();
  /** Documents taken since the view was built. */
  readonly #pending = new Map<string, DocumentVersionCopy>();
  readonly #listeners = new Set<(copy: DocumentVersionCopy) => void>();
  #view: PolicyView;
  #highestVersion = 0;
  #highestObservedVersion = 0;
  #completeVersion = 0;
  #digest = 0n;
  #loaded = false;
  #ready = false;

  /**
   * @param options Compiler of documents.
   * @throws If the compiler fails without any document.
   */
  constructor(options: ConfigurationReplicaOptions) {
    super();
    this.#options = options;
    this.#view = options.compile([]);
  }

  view(): PolicyView {
    if (this.#pending.size > 0) this.#rebuildView();
    return this.#view;
  }

  documents(): readonly DocumentVersionCopy[] {
    return [...this.#held.values()];
  }

  /** Document by name, deleted ones included. */
  find(name: string): DocumentVersionCopy | undefined {
    return this.#held.get(name);
  }

  /** Version of a document that the view is built from; 0 if there is none. */
  versionInForce(name: string): number {
    this.view();
    return this.#active.get(name)?.version ?? 0;
  }

  highestVersion(): number {
    return this.#highestVersion;
  }

  digest(): bigint {
    return this.#digest;
  }

  isReady(): boolean {
    return this.#ready;
  }

  /** Highest version that this node has heard of or holds. */
  highestKnownVersion(): number {
    return Math.max(this.#highestObservedVersion, this.#highestVersion);
  }

  /** Notes that a version exists, which a node must reach before it is ready. */
  observeVersion(version: number): void {
    if (version > this.#highestObservedVersion) {
      this.#highestObservedVersion = version;
    }
  }

  /**
   * Version up to which this node held all documents that the store, or a peer
   * with the same digest, had at that time. A comparison with a peer begins
   * there, so that it need not name all documents.
   */
  completeVersion(): number {
    return this.#completeVersion;
  }

  /** Notes that all documents up to a version are held. */
  markComplete(version: number): void {
    if (version > this.#completeVersion) this.#completeVersion = version;
  }

  /**
   * Notes that all documents were read from the store or from peers. The
   * replica is ready from then on, or as soon as it reaches the highest version
   * that was heard of, and stays ready.
   */
  markLoaded(): void {
    this.#loaded = true;
    this.#updateReady();
  }

  accept(copy: DocumentVersionCopy): boolean {
    return this.acceptAll([copy]) > 0;
  }

  /**
   * Takes those documents that are newer than the ones held, and calls the
   * listeners after all of them were taken.
   *
   * @returns The number of documents taken.
   */
  acceptAll(copies: readonly DocumentVersionCopy[]): number {
    const accepted = copies.filter((copy) => this.#acceptOne(copy));
    this.#updateReady();
    for (const copy of accepted) {
      for (const listener of this.#listeners) this.#notify(listener, copy);
    }
    return accepted.length;
  }

  onChange(listener: (copy: DocumentVersionCopy) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** An error of one listener must not stop the task that took the document. */
  #notify(
    listener: (copy: DocumentVersionCopy) => void,
    copy: DocumentVersionCopy,
  ): void {
    try {
      listener(copy);
    } catch (error) {
      this.#options.log?.write("error", "document_listener_failed", {
        name: copy.name,
        version: copy.version,
        error: error instanceof Error ? error.message : String(error),
      });
    }
  }

  #acceptOne(copy: DocumentVersionCopy): boolean {
    const held = this.#held.get(copy.name);
    if (!isDocumentName(copy.name) || copy.version <= (held?.version ?? 0)) {
      return false;
    }
    this.#held.set(copy.name, copy);
    this.#pending.set(copy.name, copy);
    if (held !== undefined) this.#digest ^= hashVersion(held);
    this.#digest ^= hashVersion(copy);
    this.#highestVersion = Math.max(this.#highestVersion, copy.version);
    return true;
  }

  #updateReady(): void {
    if (this.#loaded && this.#highestVersion >= this.#highestObservedVersion) {
      this.#ready = true;
    }
  }

  #rebuildView(): void {
    const pending = [...this.#pending.values()];
    this.#pending.clear();
    if (this.#compileWith(pending) === undefined) return;
    // One invalid document must not keep the others from taking effect.
    for (const copy of pending) {
      const error = this.#compileWith([copy]);
      if (error === undefined) continue;
      this.#options.log?.write("error", "document_not_compiled", {
        name: copy.name,
        version: copy.version,
        version_in_force: this.#active.get(copy.name)?.version ?? 0,
        error: error.message,
      });
    }
  }

  /** Builds the view with more documents; returns the error if that fails. */
  #compileWith(copies: readonly DocumentVersionCopy[]): Error | undefined {
    const documents = new Map(this.#active);
    for (const copy of copies) documents.set(copy.name, copy);
    try {
      this.#view = this.#options.compile(
        [...documents.values()].filter(({ deleted }) => !deleted),
      );
    } catch (error) {
      return error instanceof Error ? error : new Error(String(error));
    }
    for (const copy of copies) this.#active.set(copy.name, copy);
    return undefined;
  }
}

/**
 * Hash of a name and a version. The digest of all documents is the exclusive or
 * of these hashes, so it does not depend on the order in which they were taken.
 */
function hashVersion({ name, version }: DocumentVersionCopy): bigint {
  return createHash("sha256")
    .update(`${version} ${name}`)
    .digest()
    .readBigUInt64BE(0);
}
