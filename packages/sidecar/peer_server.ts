import { createServer, type Server, type Socket } from "node:net";
import {
  acceptedLinkSocket,
  type CallFrame,
  type Frame,
  type HelloFrame,
  Link,
  type LoadReport,
} from "@oleanderdeck/hop";
import type { CallHandle, WorkerGate } from "@oleanderdeck/serving";
import type { RequestObserver } from "./request_observer.ts";
import type { ListenAddress } from "./sidecar_settings.ts";

/** Change of the used share of the slots that peers are told unasked. */
const USAGE_REPORT_THRESHOLD = 0.2;

/** Change of the pressure that peers are told unasked. */
const PRESSURE_REPORT_THRESHOLD = 0.04;

/** Options of {@linkcode PeerServer}. */
export interface PeerServerOptions {
  readonly service: string;
  readonly gate: WorkerGate;
  readonly hello: () => HelloFrame;
  readonly load: () => LoadReport;
  /** Takes frames that do not concern calls. */
  readonly onFrame: (frame: Frame, link: Link) => void;
  readonly observer?: RequestObserver;
}

/** Link of a caller with its calls at this node. */
interface CallerLink {
  readonly link: Link;
  readonly callHandles: Map<number, CallHandle>;
  lastSentLoad: LoadReport;
}

/** Takes links from other nodes and runs their calls at the own worker. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #links = new Set<CallerLink>();
  readonly #server: Server;

  /** @param options Gate of the worker and what is told to peers. */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Takes links at an address. */
  listen({ host, port }: ListenAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: 512 }, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
  }

  /** Sends a frame on all links. */
  broadcast(frame: Frame): void {
    this.#links.forEach(({ link }) => link.send(frame));
  }

  /** Tells all links the load, if it differs enough from what they know. */
  sendChangedLoad(): void {
    const load = this.#options.load();
    for (const entry of this.#links) {
      if (!isSignificantChange(load, entry.lastSentLoad)) continue;
      entry.lastSentLoad = load;
      entry.link.send({ kind: "load", load });
    }
  }

  /** Checks all links; see {@linkcode Link.check}. */
  check(): void {
    this.#links.forEach(({ link }) => link.check(false));
  }

  /** Closes the listener and all links. */
  close(): void {
    this.#server.close();
    [...this.#links].forEach(({ link }) => link.close());
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
