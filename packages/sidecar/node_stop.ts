import type { CallerProxy } from "@oleanderdeck/calling";
import type { EventLog } from "@oleanderdeck/observability";
import type { StopTimes, WorkerGate } from "@oleanderdeck/serving";
import { sleep } from "./_sleep.ts";
import { stopTimes } from "./_stop_times.ts";
import type { LocalWorker } from "./local_worker.ts";
import type { PeerServer } from "./peer_server.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";

/**
 * Time without new root requests, which begin a chain of calls, after which the
 * callers on this host count as gone, in milliseconds. It begins with the stop:
 * callers that were calm before have not noticed it.
 */
const CALLERS_IDLE_MS = 600;

/** Interval at which a stop polls the work in progress, in milliseconds. */
const STOP_POLL_MS = 25;

/**
 * Turns of the event loop in which a request on a new connection is read: the first
 * accepts the connection, the second reads from it.
 */
const TURNS_TO_READ = 2;

/** Options of {@linkcode NodeStop}. */
export interface NodeStopOptions {
  /** Returns the current settings of the node. */
  readonly settings: () => SidecarSettings;
  readonly callerProxy: CallerProxy;
  readonly worker: Pick<LocalWorker, "hasUnstoredDeparture" | "withdrawUnused">;
  readonly gate: Pick<WorkerGate, "close" | "startStop" | "unfinished">;
  readonly peerServer: Pick<PeerServer, "sendChangedLoad">;
  readonly log: Pick<EventLog, "write">;
  /** Closes the listeners, links and connections of the node. */
  readonly close: (times: StopTimes) => Promise<void>;
}

/** Work that a node has accepted and not finished. */
export interface WorkUnderWay {
  /** Requests of callers without a complete answer. */
  readonly requests: number;
  /** Calls that wait for the worker of this host or run there. */
  readonly calls: number;
}

/**
 * Planned stop of a node: lets the callers leave, finishes the work in progress
 * within the grace period, which includes that the store learns of a worker that
 * has left, and closes the node. It runs once; whoever asks for it while it is
 * under way waits for its end.
 */
export class NodeStop {
  readonly #options: NodeStopOptions;
  #ended: Promise<void> | undefined;

  /** @param options Parts of the node that a stop drains and closes. */
  constructor(options: NodeStopOptions) {
    this.#options = options;
  }

  /** Whether the stop has begun. */
  get hasBegun(): boolean {
    return this.#ended !== undefined;
  }

  get workUnderWay(): WorkUnderWay {
    const { callerProxy, gate } = this.#options;
    return { requests: callerProxy.unfinishedRequests, calls: gate.unfinished };
  }

  /** Begins the stop, or joins the one under way; resolves at its end. */
  run(): Promise<void> {
    return this.#ended ??= this.#run();
  }

  async #run(): Promise<void> {
    const { callerProxy, close, gate, log, peerServer, settings, worker } =
      this.#options;
    const { graceMs, node } = settings();
    const startedAt = performance.now();
    const before = callerProxy.outcomes;
    const { requests, calls } = this.workUnderWay;
    log.write("info", "node_stopping", { node, requests, calls });
    const times = stopTimes(graceMs);
    callerProxy.startStop(times);
    gate.startStop(times);
    worker.withdrawUnused();
    // The worker accepts calls until the callers on this host have left.
    const leftAt = startedAt + CALLERS_IDLE_MS;
    await this.#waitUntil(
      () =>
        performance.now() >= leftAt &&
        callerProxy.sinceRootRequestMs >= CALLERS_IDLE_MS,
      times.callersLeaveAt,
    );
    gate.close();
    peerServer.sendChangedLoad();
    await this.#waitUntil(() => this.#isIdle, times.closesAt);
    const left = this.workUnderWay;
    const isFinished = this.#isIdle;
    const { hasUnstoredDeparture } = worker;
    const after = callerProxy.outcomes;
    await close(times);
    log.write("info", "node_stopped", {
      node,
      reason: isFinished ? "work_finished" : "time_over",
      elapsed_ms: Math.round(performance.now() - startedAt),
      answered: after.answered - before.answered,
      refused: after.refused - before.refused,
      failed: after.failed - before.failed,
      given_up_requests: left.requests,
      given_up_calls: left.calls,
      given_up_departure: hasUnstoredDeparture,
    });
  }

  async #waitUntil(isOver: () => boolean, end: number): Promise<void> {
    while (performance.now() < end) {
      await this.#readSockets(end);
      if (isOver()) return;
      await sleep(STOP_POLL_MS);
    }
  }

  // A process that was held up finds its timers due before it has read what came in
  // meanwhile, and accepts one connection in each turn.
  async #readSockets(end: number): Promise<void> {
    const { callerProxy } = this.#options;
    let accepted: number;
    do {
      accepted = callerProxy.acceptedConnections;
      for (let turn = 0; turn < TURNS_TO_READ; turn++) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    } while (
      callerProxy.acceptedConnections > accepted && performance.now() < end
    );
  }

  // A departure that was acknowledged and not stored would be forgotten: the next
  // process of this host would take the worker for usable by its old record.
  get #isIdle(): boolean {
    const { requests, calls } = this.workUnderWay;
    return requests + calls === 0 &&
      !this.#options.worker.hasUnstoredDeparture;
  }
}
