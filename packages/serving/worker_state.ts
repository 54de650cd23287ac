/** What the worker says of itself. */
export interface WorkerHeartbeat {
  readonly workerId: string;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Counts the heartbeats of one incarnation. */
  readonly sequence: number;
  /** Wall-clock time of the worker's start in milliseconds since 1970. */
  readonly startedAt: number | undefined;
}

/** State of the worker as its node sees it. */
export interface WorkerState {
  readonly workerId: string;
  readonly slots: number;
  readonly isReady: boolean;
}

/** Called after a change of the state. */
export type WorkerStateListener = (state: WorkerState) => void;

/** Stands for the start of a worker that does not state it. */
const NO_START = 0;

const NO_WORKER: WorkerState = { workerId: "", slots: 0, isReady: false };

/**
 * Follows the worker beside this node through its heartbeats. Heartbeats of an
 * earlier incarnation, and late ones of the present one, change nothing.
 */
export class WorkerTracker {
  readonly #listeners: WorkerStateListener[] = [];
  #state = NO_WORKER;
  #startedAt = NO_START;
  #sequence = -1;
  #hasLeft = false;
  #heartbeatAt = -Infinity;

  /** Present state. */
  get state(): WorkerState {
    return this.#state;
  }

  /** Time since the last heartbeat of the present incarnation. */
  get sinceHeartbeatMs(): number {
    return performance.now() - this.#heartbeatAt;
  }

  /** Calls a function after each change. */
  onChange(listener: WorkerStateListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Assumes that the worker of an earlier process of this node still runs,
   * until it states something itself.
   */
  assumeReady(workerId: string, slots: number): void {
    if (this.#state.workerId !== "" || workerId === "") return;
    this.#heartbeatAt = performance.now();
    this.#set({ workerId, slots, isReady: true });
  }

  /** Takes a heartbeat of the worker; returns whether it was news. */
  applyHeartbeat(heartbeat: WorkerHeartbeat): boolean {
    const startedAt = heartbeat.startedAt ?? NO_START;
    if (startedAt < this.#startedAt) return false;
    const isSame = startedAt === this.#startedAt &&
      (heartbeat.workerId === this.#state.workerId || this.#hasLeft);
    if (isSame && (this.#hasLeft || heartbeat.sequence <= this.#sequence)) {
      return false;
    }
    this.#startedAt = startedAt;
    this.#sequence = heartbeat.sequence;
    this.#hasLeft = false;
    this.#heartbeatAt = performance.now();
    this.#set({
      workerId: heartbeat.workerId,
      slots: heartbeat.slots,
      isReady: heartbeat.state === "ready",
    });
    return true;
  }

  /**
   * Takes the worker out of use until its next heartbeat, because it does not
   * answer.
   */
  markNotReady(): void {
    this.#set({ ...this.#state, isReady: false });
  }

  /** The worker states that it leaves and takes no more calls. */
  leave(workerId: string, startedAt = this.#startedAt): boolean {
    if (this.#state.workerId !== "" && this.#state.workerId !== workerId) {
      return false;
    }
    if (startedAt < this.#startedAt) return false;
    this.#hasLeft = true;
    this.#set({ ...this.#state, workerId, isReady: false });
    return true;
  }

  #set(state: WorkerState): void {
    const before = this.#state;
    this.#state = state;
    if (
      before.workerId === state.workerId && before.slots === state.slots &&
      before.isReady === state.isReady
    ) return;
    this.#listeners.forEach((listener) => listener(state));
  }
}
