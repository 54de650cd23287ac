/** Totals of a backend stand-in. */
export interface ExecutionCounts {
  /** Requests whose execution started. */
  started: number;
  /** Requests whose execution finished and was answered. */
  finished: number;
  /** Started requests whose caller disconnected before the response. */
  cancelled: number;
  /** Requests refused because all slots were in use. */
  refusedFull: number;
  /** Requests refused because their fencing token is stale. */
  refusedFence: number;
  /** Request bodies that were truncated. */
  cutBodies: number;
  /** Complete request bodies that do not match the hash sent by the caller. */
  corruptBodies: number;
  /** Calls to downstream services that failed. */
  failedCalls: number;
}

/** Counts the executions of one backend stand-in by request identity. */
export class ExecutionRecord {
  readonly #countsByIdentity = new Map<string, number>();
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

  /** Records that the execution of a request started. */
  recordStart(identity: string, method: string): void {
    this.counts.started++;
    if (method === "POST") this.#posts.add(identity);
    this.#countsByIdentity.set(identity, this.executionCount(identity) + 1);
  }

  /** Returns the number of executions of a request. */
  executionCount(identity: string): number {
    return this.#countsByIdentity.get(identity) ?? 0;
  }

  /** Execution counts of the requests that were executed more than once. */
  duplicates(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.#countsByIdentity].filter(([, count]) => count > 1),
    );
  }

  /** Execution counts of the POST requests that were executed more than once. */
  duplicatePosts(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      Object.entries(this.duplicates())
        .filter(([identity]) => this.#posts.has(identity)),
    );
  }

  /** Execution counts of all requests, by request identity. */
  executionCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#countsByIdentity);
  }
}
