import type { WorkerRecord } from "@oleanderdeck/directory";
import type { EventLog } from "@oleanderdeck/observability";
import { type WorkerHeartbeat, WorkerTracker } from "@oleanderdeck/serving";
import { sleep } from "./_sleep.ts";
import type { RecordSync } from "./record_sync.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";

/**
 * Number of heartbeat intervals with neither a heartbeat nor an answer after
 * which a worker counts as crashed. A sound worker does not miss so many in a row.
 */
const HEARTBEAT_TIMEOUT_INTERVALS = 3;

/**
 * Number of heartbeat intervals, from the start of a process, for which it uses a
 * worker that it knows from the record of an earlier process only. Two heartbeats
 * of a sound worker arrive within two intervals; by then a host that was started
 * again counts as settled, and the record must no longer matter.
 */
const ASSUMED_INTERVALS = 1.8;

/**
 * Share of the heartbeat interval that has to lie between two heartbeats which
 * prove that a worker from before the start of this process still runs.
 */
const CONFIRMATION_SHARE = 0.5;

/**
 * Time before the start of this process in which a worker that starts together
 * with it, as on a host that boots, may have started, in milliseconds. No worker
 * starts, is heard, leaves and has that acknowledged in it.
 */
const COMMON_START_MS = 1_000;

/**
 * Time for which the acknowledgement of a worker's leaving waits for the removal
 * of its record from the store, in milliseconds. It stays well below the time
 * within which the worker needs it.
 */
const WITHDRAWAL_TIMEOUT_MS = 300;

/** Options of {@linkcode LocalWorker}. */
export interface LocalWorkerOptions {
  /** Returns the current settings of the node. */
  readonly settings: () => SidecarSettings;
  /** Start of the process as of `performance.now()`. */
  readonly processStartedAt: number;
  /** Returns the writer of the record of this node. */
  readonly records: () => Pick<
    RecordSync,
    "hasUnwrittenDeparture" | "publish" | "withdraw"
  >;
  readonly log: EventLog;
  /** Called when another worker than before was heard. */
  readonly onReplaced: () => void;
}

/**
 * The worker beside this node: takes its statements, publishes its record, and
 * keeps in the store that it has left.
 */
export class LocalWorker {
  readonly tracker: WorkerTracker;
  readonly #options: LocalWorkerOptions;

  /** @param options Settings, writer of the record and receivers of changes. */
  constructor(options: LocalWorkerOptions) {
    this.#options = options;
    this.tracker = new WorkerTracker({
      watchedSince: Date.now() - this.#processAgeMs - COMMON_START_MS,
      confirmationMs: CONFIRMATION_SHARE * options.settings().heartbeatMs,
    });
    this.tracker.onChange(() => this.#updateRecord());
  }

  /**
   * Handles a heartbeat. One that is outdated, or has another service or address
   * than that of the settings, is logged and ignored.
   *
   * @returns Resolves when the heartbeat may be answered, to whether it was taken.
   */
  async handleHeartbeat(heartbeat: WorkerHeartbeat): Promise<boolean> {
    const { service, workerAddress } = this.#options.settings();
    const before = this.tracker.state.workerId;
    const isTaken = heartbeat.service === service &&
      heartbeat.address === workerAddress &&
      this.tracker.applyHeartbeat(heartbeat);
    if (!isTaken) {
      this.#reportIgnored(heartbeat);
      return false;
    }
    if (before !== heartbeat.workerId) this.#options.onReplaced();
    if (this.tracker.state.isLeaving) await this.#storeDeparture();
    return true;
  }

  /**
   * Handles a deregistration, after which the worker receives no more calls.
   *
   * @param workerId Identity of the worker that leaves.
   * @param startedAt Wall-clock time of the worker's start in milliseconds since
   * 1970, as in its heartbeats.
   * @returns Resolves when the deregistration may be acknowledged.
   */
  async handleDeregistration(
    workerId: string,
    startedAt?: number,
  ): Promise<void> {
    const isTaken = this.tracker.markLeft(workerId, startedAt);
    this.#options.log.write("info", "worker_leaving", {
      worker: workerId,
      said_in: "deregistration",
      taken: isTaken,
    });
    if (isTaken) await this.#storeDeparture();
  }

  /** Uses for some time the worker of a record of an earlier process. */
  adoptRecord(record: WorkerRecord | undefined): void {
    const { heartbeatMs, service } = this.#options.settings();
    if (record === undefined || record.service !== service) return;
    const validMs = ASSUMED_INTERVALS * heartbeatMs - this.#processAgeMs;
    this.tracker.assumeReady(record.workerId, record.slots, validMs);
  }

  /** Whether the worker has left and the store does not hold that yet. */
  get hasUnstoredDeparture(): boolean {
    return this.#options.records().hasUnwrittenDeparture;
  }

  /** Removes the record of this node, unless its worker is ready. */
  withdrawUnused(): void {
    if (!this.tracker.state.isReady) void this.#withdraw();
  }

  /**
   * Takes out a worker that is no longer heard. One that sends neither heartbeats
   * nor answers counts as crashed. One that is only assumed needs heartbeats,
   * since one that leaves still answers.
   *
   * @param sinceAnswerMs Time since its last answer, in milliseconds.
   */
  check(sinceAnswerMs: number): void {
    const { log, settings } = this.#options;
    const { isReady, workerId: worker } = this.tracker.state;
    if (this.tracker.endAssumption()) {
      return log.write("warn", "worker_not_heard", { worker });
    }
    const silentMs = HEARTBEAT_TIMEOUT_INTERVALS * settings().heartbeatMs;
    if (!isReady || sinceAnswerMs <= silentMs) return;
    if (this.tracker.sinceHeartbeatMs <= silentMs) return;
    log.write("warn", "worker_silent", { worker });
    this.tracker.markNotReady();
  }

  get #processAgeMs(): number {
    return performance.now() - this.#options.processStartedAt;
  }

  #updateRecord(): void {
    const { isReady, isLeaving } = this.tracker.state;
    if (isLeaving) void this.#withdraw();
    else if (isReady) this.#publish();
  }

  #publish(): void {
    const { workerId, slots } = this.tracker.state;
    const { node, service, dataCentre, linkAddress } = this.#options.settings();
    const address = `${linkAddress.host}:${linkAddress.port}`;
    this.#options.records().publish({
      node,
      address,
      service,
      dataCentre,
      slots,
      workerId,
    });
  }

  // The store keeps a worker that leaves, since one of its heartbeats may arrive
  // late, at a process that knows nothing of it.
  #withdraw(): Promise<void> {
    const { isLeaving, startedAt, workerId } = this.tracker.state;
    return this.#options.records().withdraw(
      isLeaving ? { workerId, startedAt, leftAt: Date.now() } : undefined,
    );
  }

  // A process that starts on this host after the acknowledgement must not find
  // the record and take the worker for ready.
  #storeDeparture(): Promise<unknown> {
    return Promise.race([this.#withdraw(), sleep(WITHDRAWAL_TIMEOUT_MS)]);
  }

  #reportIgnored(heartbeat: WorkerHeartbeat): void {
    const { address, sequence, service, state, workerId } = heartbeat;
    this.#options.log.write("warn", "statement_ignored", {
      worker: workerId,
      service,
      address,
      state,
      sequence,
    });
  }
}
