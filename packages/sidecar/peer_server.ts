import { createServer, type Server, type Socket } from "node:net";
import {
  acceptedLinkSocket,
  type CallFrame,
  type EndTimes,
  type Frame,
  type HelloFrame,
  Link,
  listen,
  type LoadReport,
} from "@oleanderdeck/hop";
import type { CallHandle, WorkerGate } from "@oleanderdeck/serving";
import type { RequestObserver } from "./request_observer.ts";
import type { ListenAddress } from "./sidecar_settings.ts";

/**
 * Peers are sent a load report when the number of running and waiting calls has
 * changed by more than this share of the slots.
 */
const USAGE_REPORT_THRESHOLD = 0.2;

/** Peers are sent a load report when the pressure changes by at least this. */
const PRESSURE_REPORT_THRESHOLD = 0.04;

/** Options of {@linkcode PeerServer}. */
export interface PeerServerOptions {
  /** Service of the local worker. */
  readonly service: string;
  /** Admission control in front of the local worker. */
  readonly gate: WorkerGate;
  /** Returns the first frame for a new link. */
  readonly hello: () => HelloFrame;
  /** Returns the current load report of the local worker. */
  readonly load: () => LoadReport;
  /** Handles frames that do not belong to calls. */
  readonly onFrame: (frame: Frame, link: Link) => void;
  /** Called with an error of the listener after its start. */
  readonly onListenerError: (error: Error) => void;
  readonly observer?: RequestObserver;
}

/** Link from a caller's node, with the unfinished calls received on it. */
interface CallerLink {
  readonly link: Link;
  readonly callHandles: Map<number, CallHandle>;
  lastSentLoad: LoadReport;
}

/** Accepts links from other nodes and runs their calls on the local worker. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #links = new Set<CallerLink>();
  readonly #server: Server;

  /** @param options Gate of the worker, and what is reported to peers. */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /**
   * Starts to accept links at an address.
   *
   * @returns The port.
   * @throws {Error} If the address cannot be listened on.
   */
  listen({ host, port }: ListenAddress): Promise<number> {
    const { onListenerError: onError } = this.#options;
    return listen(this.#server, { host, port, backlog: 512, onError });
  }

  /** Sends a frame on all accepted links. */
  broadcast(frame: Frame): void {
    this.#links.forEach(({ link }) => link.send(frame));
  }

  /**
   * Sends the load report on each link where it differs significantly from the
   * one last sent.
   */
  sendChangedLoad(): void {
    const load = this.#options.load();
    for (const entry of this.#links) {
      if (!isSignificantChange(load, entry.lastSentLoad)) continue;
      entry.lastSentLoad = load;
      entry.link.send({ kind: "load", load });
    }
  }

  /** Checks all accepted links; see {@linkcode Link.check}. */
  check(): void {
    this.#links.forEach(({ link }) => link.check(false));
  }

  /**
   * Closes the listener and ends all links, which cancels their calls; see
   * {@linkcode Link.end}.
   *
   * @param times Times after which the links are closed in any case.
   * @returns Resolves when all links are closed.
   */
  async end(times: EndTimes): Promise<void> {
    this.#server.close();
    await Promise.all([...this.#links].map(({ link }) => link.end(times)));
  }

  #accept(socket: Socket): void {
    const hello = this.#options.hello();
    const link: Link = new Link(acceptedLinkSocket(socket), {
      onFrame: (frame) => this.#receive(frame, entry),
      onClose: () => {
        this.#links.delete(entry);
        entry.callHandles.forEach((callHandle) => callHandle.cancel());
      },
    });
    const entry: CallerLink = {
      link,
      callHandles: new Map(),
      lastSentLoad: hello.load,
    };
    this.#links.add(entry);
    link.send(hello);
  }

  #receive(frame: Frame, entry: CallerLink): void {
    if (frame.kind === "call") this.#run(frame, entry);
    else if (frame.kind === "cancel") entry.callHandles.get(frame.id)?.cancel();
    else this.#options.onFrame(frame, entry.link);
  }

  #run(frame: CallFrame, entry: CallerLink): void {
    const { id } = frame;
    const { gate, load, service } = this.#options;
    if (frame.service !== service) {
      entry.link.send({
        kind: "failure",
        id,
        error: "worker_replaced",
        mayHaveRun: false,
        wasSent: false,
        retryAfterMs: 0,
        load: load(),
      });
      return;
    }
    let isFinished = false;
    const callHandle = gate.run(frame, (result) => {
      isFinished = true;
      entry.callHandles.delete(id);
      const report = load();
      this.#options.observer?.onWorkerResult(frame, result, report);
      entry.lastSentLoad = report;
      entry.link.send(
        result.kind === "answer"
          ? { ...result, id, load: report }
          : { ...result, id, load: report },
      );
    });
    if (!isFinished) entry.callHandles.set(id, callHandle);
  }
}

function isSignificantChange(load: LoadReport, lastSent: LoadReport): boolean {
  if (load.slots !== lastSent.slots) return true;
  if (
    load.statement?.requestsPerSecond !== lastSent.statement?.requestsPerSecond
  ) return true;
  if ((load.repeatShare > 0) !== (lastSent.repeatShare > 0)) return true;
  if (
    Math.abs(load.pressure - lastSent.pressure) >= PRESSURE_REPORT_THRESHOLD
  ) {
    return true;
  }
  const change = load.running + load.waiting - lastSent.running -
    lastSent.waiting;
  return Math.abs(change) > USAGE_REPORT_THRESHOLD * Math.max(1, load.slots);
}
