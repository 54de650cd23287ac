import type { WorkerDeparture } from "@oleanderdeck/directory";
import { DepartedWorkers, LATE_HEARTBEAT_MS } from "./departed_workers.ts";
import { UNKNOWN_START, type WorkerIncarnation } from "./worker_incarnation.ts";

/** Heartbeat, in which the worker reports its state. */
export interface WorkerHeartbeat {
  readonly workerId: string;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Sequence number of the heartbeat within one incarnation of the worker. */
  readonly sequence: number;
  /**
   * Wall-clock time of the worker's start, in milliseconds since 1970;
   * undefined if the worker does not report it.
   */
  readonly startedAt: number | undefined;
}

/** State of the worker as its node sees it. */
export interface WorkerState extends WorkerIncarnation {
  readonly slots: number;
  readonly isReady: boolean;
  /** Whether the worker has said that it stops. */
  readonly isLeaving: boolean;
}

/** Called with the new state of the worker after each change. */
export type WorkerStateListener = (state: WorkerState) => void;

const NO_WORKER: WorkerState = {
  workerId: "",
  startedAt: UNKNOWN_START,
  slots: 0,
  isReady: false,
  isLeaving: false,
};

/** Options of {@linkcode WorkerTracker}. */
export interface WorkerTrackerOptions {
  /**
   * Wall-clock time since which all statements of workers have reached this
   * tracker, in milliseconds since 1970. A worker that started earlier may have
   * left unnoticed; 0 if there was none.
   */
  readonly watchedSince: number;
  /**
   * Shortest time between two heartbeats of such a worker after which it counts
   * as heard, in milliseconds. A single one may be late, and several that were
   * held up arrive together.
   */
  readonly confirmationMs: number;
}

/** Heartbeat of a worker that may have left unnoticed. */
interface UnconfirmedHeartbeat extends WorkerIncarnation {
  /** Time of its arrival, as of `performance.now()`. */
  readonly heardAt: number;
}

/**
 * Tracks the state of the worker beside this node by its heartbeats. Those of an
 * earlier incarnation, those of the current one that arrive out of order, and all
 * of one that has left are ignored.
 */
export class WorkerTracker {
  readonly #options: WorkerTrackerOptions;
  readonly #listeners: WorkerStateListener[] = [];
  #unconfirmed: UnconfirmedHeartbeat | undefined;
  #state = NO_WORKER;
  #sequence = -1;
  #hasLeft = false;
  readonly #departed = new DepartedWorkers();
  #lastHeartbeatAt = -Infinity;
  /** Time until which an assumed worker is used, as of `performance.now()`. */
  #assumedUntil = Infinity;

  /** @param options Since when the tracker hears all statements. */
  constructor(
    options: WorkerTrackerOptions = { watchedSince: 0, confirmationMs: 0 },
  ) {
    this.#options = options;
  }

  /** Current state of the worker. */
  get state(): WorkerState {
    return this.#state;
  }

  /**
   * Whether calls may be sent to the worker now. The time of an assumption is
   * compared at each use, since a process that was paused may have missed its
   * end.
   */
  get isUsable(): boolean {
    return this.#state.isReady && !this.#isAssumptionOver;
  }

  /**
   * Time since the last accepted heartbeat, in milliseconds; Infinity before the
   * first.
   */
  get sinceHeartbeatMs(): number {
    return performance.now() - this.#lastHeartbeatAt;
  }

  /**
   * Whether the worker has left for good, as far as this incarnation goes; no
   * heartbeat makes it ready again.
   */
  get hasLeft(): boolean {
    return this.#hasLeft;
  }

  /**
   * Returns whether an identity is that of the known incarnation, as far as the
   * start of that one is known.
   */
  isCurrent({ workerId, startedAt }: WorkerIncarnation): boolean {
    const known = this.#state;
    return workerId === known.workerId &&
      [startedAt, UNKNOWN_START].includes(known.startedAt);
  }

  /** Registers a listener that is called after each change of the state. */
  onChange(listener: WorkerStateListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Assumes for some time that the worker which an earlier process of this node
   * has recorded still runs. A record proves that a worker was there, not that it
   * is: it may have left meanwhile. Only a heartbeat of the worker makes it ready
   * for longer. Does nothing if another worker, or more of this one, is known.
   *
   * @param workerId Identity of the recorded worker; empty if there is none.
   * @param slots Slots of the recorded worker.
   * @param validMs Time for which it is used without a heartbeat, in milliseconds.
   */
  assumeReady(workerId: string, slots: number, validMs: number): void {
    if (workerId === "" || validMs <= 0) return;
    const known = this.#state;
    const isUnconfirmed = known.workerId === workerId && !known.isReady &&
      !known.isLeaving && known.workerId === this.#unconfirmed?.workerId;
    if (known.workerId !== "" && !isUnconfirmed) return;
    this.#assumedUntil = performance.now() + validMs;
    this.#set(
      isUnconfirmed
        ? { ...known, isReady: true }
        : { ...NO_WORKER, workerId, slots, isReady: true },
    );
  }

  /**
   * Updates the state by a heartbeat of the worker. That a worker leaves holds
   * whatever the number of the heartbeat says, and never goes back for its
   * incarnation; other statements hold in their order only.
   *
   * @param heartbeat Heartbeat as received.
   * @returns Whether the heartbeat was taken; false if it is outdated.
   */
  applyHeartbeat(heartbeat: WorkerHeartbeat): boolean {
    const { sequence, slots, state, workerId } = heartbeat;
    const startedAt = heartbeat.startedAt ?? UNKNOWN_START;
    const known = this.#state;
    const isLeaving = state === "draining";
    if (startedAt < known.startedAt) {
      return isLeaving && startedAt !== UNKNOWN_START &&
        this.#recordDeparture({ workerId, startedAt });
    }
    if (isLeaving) this.#recordDeparture({ workerId, startedAt });
    else if (
      this.#departed.has({ workerId, startedAt }) ||
      this.#isOutdated({ workerId, startedAt }, sequence)
    ) return false;
    const isHeard = this.#isHeard({ workerId, startedAt });
    const isReady = !isLeaving &&
      (isHeard || (this.isUsable && workerId === known.workerId));
    this.#sequence = sequence;
    this.#hasLeft = isLeaving;
    this.#lastHeartbeatAt = performance.now();
    if (isHeard) this.#assumedUntil = Infinity;
    this.#set({ workerId, startedAt, slots, isReady, isLeaving });
    return true;
  }

  // A worker that does not report its start may run again under its identity; its
  // numbers start anew.
  #isOutdated(
    { startedAt, workerId }: WorkerIncarnation,
    sequence: number,
  ): boolean {
    const known = this.#state;
    if (startedAt !== known.startedAt || workerId !== known.workerId) {
      return false;
    }
    const mayBeNew = startedAt === UNKNOWN_START &&
      this.sinceHeartbeatMs >= LATE_HEARTBEAT_MS;
    return sequence <= this.#sequence && !mayBeNew;
  }

  // Whether a heartbeat that has just arrived proves that its worker runs.
  #isHeard({ startedAt, workerId }: WorkerIncarnation): boolean {
    const { confirmationMs, watchedSince } = this.#options;
    if (startedAt >= watchedSince) return true;
    const now = performance.now();
    const first = this.#unconfirmed;
    if (first?.workerId === workerId && first.startedAt === startedAt) {
      return now - first.heardAt >= confirmationMs;
    }
    this.#unconfirmed = { workerId, startedAt, heardAt: now };
    return false;
  }

  /**
   * Ends an assumption whose time is over.
   *
   * @returns Whether there was one.
   */
  endAssumption(): boolean {
    if (!this.#state.isReady || !this.#isAssumptionOver) return false;
    this.markNotReady();
    return true;
  }

  /**
   * Marks a worker that does not answer as not ready until its next heartbeat.
   */
  markNotReady(): void {
    this.#set({ ...this.#state, isReady: false });
  }

  /**
   * Records that a worker is stopping and accepts no more calls, whatever its
   * later heartbeats say.
   *
   * @param workerId Identity of the worker.
   * @param startedAt Time of its start in milliseconds since 1970; undefined if
   * it is that of the known incarnation, or not known.
   * @returns False if another or a later incarnation is known, which stays.
   */
  markLeft(workerId: string, startedAt?: number): boolean {
    const known = this.#state;
    const start = startedAt ??
      (workerId === known.workerId ? known.startedAt : UNKNOWN_START);
    this.#recordDeparture({ workerId, startedAt: start });
    if (known.workerId !== "" && known.workerId !== workerId) return false;
    if (start < known.startedAt) return false;
    this.#hasLeft = true;
    const leaving = { isReady: false, isLeaving: true };
    this.#set({ ...known, workerId, startedAt: start, ...leaving });
    return true;
  }

  /** Learns of a departure that an earlier process of this node has recorded. */
  learnDeparture(departure: WorkerDeparture): void {
    this.#departed.add(departure);
    const { workerId, startedAt, isLeaving } = this.#state;
    if (isLeaving || !this.#departed.has({ workerId, startedAt })) return;
    this.#hasLeft = true;
    this.#set({ ...this.#state, isReady: false, isLeaving: true });
  }

  #recordDeparture(incarnation: WorkerIncarnation): true {
    this.#departed.add({ ...incarnation, leftAt: Date.now() });
    return true;
  }

  get #isAssumptionOver(): boolean {
    return performance.now() >= this.#assumedUntil;
  }

  #set(state: WorkerState): void {
    const previous = this.#state;
    this.#state = state;
    if (
      previous.workerId === state.workerId &&
      previous.startedAt === state.startedAt &&
      previous.slots === state.slots &&
      previous.isReady === state.isReady &&
      previous.isLeaving === state.isLeaving
    ) return;
    this.#listeners.forEach((listener) => listener(state));
  }
}
