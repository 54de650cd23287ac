import { createServer, type Server, type Socket } from "node:net";
import type { ErrorKind } from "@oleanderdeck/errors";
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
import {
  Attempt,
  type MemoryAccount,
  type WorkerGate,
} from "@oleanderdeck/serving";
import { claimCalls } from "./_call_claims.ts";
import { CallerLink, type ReceivedCall } from "./_caller_link.ts";
import type { RequestObserver } from "./request_observer.ts";
import type { ListenAddress } from "./sidecar_settings.ts";

/**
 * Peers are sent a load report when the number of running and waiting calls has
 * changed by more than this share of the slots.
 */
const USAGE_REPORT_THRESHOLD = 0.2;

/** Peers are sent a load report when the pressure changes by at least this. */
const PRESSURE_REPORT_THRESHOLD = 0.04;

/**
 * Peers are sent a load report when the hold time falls below this part of the one
 * last sent: a node that avoids a slow worker gets no answers that show that it
 * has become faster.
 */
const FASTER_REPORT_THRESHOLD = 0.8;

/** Peers are sent a load report when the pace changes by at least this. */
const PACE_REPORT_THRESHOLD = 0.1;

/** Options of {@linkcode PeerServer}. */
export interface PeerServerOptions {
  /** Service of the local worker. */
  readonly service: string;
  /** Admission control in front of the local worker. */
  readonly gate: WorkerGate;
  /** Account of the memory for calls, and for answers that wait. */
  readonly account: MemoryAccount;
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

  /** Checks all accepted links; see {@linkcode CallerLink.check}. */
  check(): void {
    this.#links.forEach((entry) => entry.check());
  }

  /**
   * Closes the listener and ends all links, which cancels their calls; see
   * {@linkcode CallerLink.end}.
   *
   * @param times Times after which the links are closed in any case.
   * @returns Resolves when all links are closed.
   */
  async end(times: EndTimes): Promise<void> {
    this.#server.close();
    await Promise.all([...this.#links].map((entry) => entry.end(times)));
  }

  #accept(socket: Socket): void {
    const { account } = this.#options;
    const hello = this.#options.hello();
    const link: Link = new Link(acceptedLinkSocket(socket), {
      onFrame: (frame) => this.#receive(frame, entry),
      acceptBody: (frame, bytes) =>
        frame.kind !== "call" || this.#acceptBody(frame, bytes, entry),
      onClose: () => {
        this.#links.delete(entry);
        entry.close();
      },
    });
    const entry = new CallerLink({ link, account, load: hello.load });
    this.#links.add(entry);
    link.send(hello);
  }

  #receive(frame: Frame, entry: CallerLink): void {
    switch (frame.kind) {
      case "call":
        return this.#run(frame, entry);
      case "cancel":
        return entry.cancel(frame.id);
      case "claim":
        return claimCalls(frame, {
          claimant: entry,
          links: [...this.#links],
          load: this.#options.load(),
        });
      case "hello":
        entry.identify(frame);
    }
    this.#options.onFrame(frame, entry.link);
  }

  // What is refused here was not sent to the worker.
  #acceptBody({ id }: CallFrame, bytes: number, entry: CallerLink): boolean {
    const { account } = this.#options;
    const reservation = account.open("peer_calls");
    const isReading =
      entry.link.unsentBytes < account.limitOf("waiting_answers") / 2;
    if (isReading && reservation.grow(bytes)) {
      entry.bodies.get(id)?.close();
      entry.bodies.set(id, reservation);
      return true;
    }
    this.#fail(id, entry, "queue_full", account.expectedWaitMs);
    return false;
  }

  #run(frame: CallFrame, entry: CallerLink): void {
    const { id } = frame;
    const { gate, load, service } = this.#options;
    entry.recordReceived(id);
    if (frame.service !== service) {
      entry.releaseBody(id);
      return this.#fail(id, entry, "worker_replaced", 0);
    }
    const { length } = frame.body;
    const needsMemory = length > 0 && !entry.bodies.has(id);
    if (needsMemory && !this.#acceptBody(frame, length, entry)) return;
    const attempt = new Attempt((result) => {
      const { owner } = call;
      owner.calls.delete(id);
      owner.releaseBody(id);
      const report = load();
      this.#options.observer?.onWorkerResult(frame, result, report);
      owner.lastSentLoad = report;
      if (result.kind === "answer") {
        const { memory, ...answer } = result;
        owner.sendResult({ ...answer, id, load: report }, memory);
      } else owner.sendResult({ ...result, id, load: report });
    });
    const call: ReceivedCall = { attempt, owner: entry };
    entry.calls.set(id, call);
    attempt.start((finish) => gate.run(frame, finish));
  }

  #fail(
    id: number,
    entry: CallerLink,
    error: ErrorKind,
    retryAfterMs: number,
  ): void {
    entry.sendResult({
      kind: "failure",
      id,
      error,
      mayHaveRun: false,
      wasSent: false,
      retryAfterMs,
      load: this.#options.load(),
    });
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
  if (load.holdMs < FASTER_REPORT_THRESHOLD * lastSent.holdMs) return true;
  const paceChange = Math.abs((load.pace ?? 1) - (lastSent.pace ?? 1));
  if (paceChange >= PACE_REPORT_THRESHOLD) return true;
  const change = load.running + load.waiting - lastSent.running -
    lastSent.waiting;
  return Math.abs(change) > USAGE_REPORT_THRESHOLD * Math.max(1, load.slots);
}
