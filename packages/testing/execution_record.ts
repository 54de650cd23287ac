/** Counts of what a backend stand-in has done. */
export interface ExecutionCounts {
  /** Requests that were begun. */
  started: number;
  /** Requests that were answered whole. */
  finished: number;
  /** Begun requests whose caller went away. */
  cancelled: number;
  /** Requests refused because all slots were taken. */
  refusedFull: number;
  /** Requests refused because of a fencing token that is no longer valid. */
  refusedFence: number;
  /** Request bodies that ended early. */
  cutBodies: number;
  /** Whole request bodies with another hash than the caller stated. */
  corruptBodies: number;
  /** Calls to deeper services that failed. */
  failedCalls: number;
}

/** Executions of one backend stand-in by request identity. */
export class ExecutionRecord {
  readonly #byIdentity = new Map<string, number>();
  readonly #posts = new Set<string>();

  /** Totals since the start. */
  readonly counts: ExecutionCounts = {
    started: 0,
    finished: 0,
    cancelled: 0,
    refusedFull: 0,
    refusedFence: 0,
    cutBodies: 0,
    corruptBodies: 0,
    failedCalls: 0,
  };

  /** Counts the start of a request. */
  start(identity: string, method: string): void {
    this.counts.started++;
    if (method === "POST") this.#posts.add(identity);
    this.#byIdentity.set(identity, this.of(identity) + 1);
  }

  /** Number of executions of a request. */
  of(identity: string): number {
    return this.#byIdentity.get(identity) ?? 0;
  }

  /** Requests that were begun more than once, with their number. */
  duplicates(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.#byIdentity].filter(([, count]) => count > 1),
    );
  }

  /** Requests of the method POST that were begun more than once. */
  duplicatePosts(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      Object.entries(this.duplicates())
        .filter(([identity]) => this.#posts.has(identity)),
    );
  }

  /** All request identities with their number of executions. */
  identities(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#byIdentity);
  }
}
