import type { Socket } from "node:net";
import type { ErrorKind } from "@oleanderdeck/errors";
import {
  type Frame,
  type HelloFrame,
  Link,
  type LinkSocket,
  type LoadReport,
  openLinkSocket,
} from "@oleanderdeck/hop";
import type {
  CallHandle,
  WorkerCall,
  WorkerResult,
} from "@oleanderdeck/serving";
import { type ChannelRunOptions, WorkerChannel } from "./worker_channel.ts";

/** Time to open a link, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** First and longest pause before a link is opened again, in milliseconds. */
const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 500;

/** Pause after another node has answered at the address, in milliseconds. */
const MISPLACED_RETRY_MS = 5_000;

/** Round trip that is assumed before the first link is open. */
const UNKNOWN_ROUND_TRIP_MS = 2;

/** Options of {@linkcode PeerChannel}. */
export interface PeerChannelOptions {
  readonly node: string;
  readonly dataCentre: string;
  /** Service of the worker beside the peer. */
  readonly service: string;
  /** Address of the peer's links as host:port. */
  readonly address: string;
  /** First frame for the peer. */
  readonly hello: () => HelloFrame;
  /** Takes frames that do not concern calls. */
  readonly onFrame: (frame: Frame, channel: PeerChannel) => void;
  /** Called when a link was opened or has ended. */
  readonly onLinkStateChange?: (event: LinkStateChange) => void;
}

/** A link was opened or has ended. */
export interface LinkStateChange {
  readonly node: string;
  readonly isOpen: boolean;
  readonly reason: string;
  /** Calls whose outcome is unknown because the link ended. */
  readonly lostCalls: number;
}

interface PendingCall {
  readonly finish: (result: WorkerResult) => void;
  readonly isIdempotent: boolean;
  isSent: boolean;
  readonly send: (link: Link) => void;
}

/** Way to a worker on another host, over a link to the node beside it. */
export class PeerChannel extends WorkerChannel {
  readonly node: string;
  readonly dataCentre: string;
  readonly #options: PeerChannelOptions;
  readonly #pending = new Map<number, PendingCall>();
  #socket: Socket | undefined;
  #link: Link | undefined;
  #load: LoadReport | undefined;
  #nextId = 1;
  #roundTripMs = UNKNOWN_ROUND_TRIP_MS;
  #failures = 0;
  #retryAt = 0;
  #isClosed = false;

  /** @param options Peer and receivers of events. */
  constructor(options: PeerChannelOptions) {
    super();
    this.#options = options;
    this.node = options.node;
    this.dataCentre = options.dataCentre;
  }

  get load(): LoadReport | undefined {
    return this.#load;
  }

  get roundTripMs(): number {
    return this.#roundTripMs;
  }

  get unfinished(): number {
    return this.#pending.size;
  }

  get isReachable(): boolean {
    return this.#link === undefined
      ? this.#failures === 0
      : !this.#link.isSuspect;
  }

  /** Whether a record of the peer has the address and service of the channel. */
  matches(
    record: Pick<PeerChannelOptions, "address" | "service"> | undefined,
  ): boolean {
    return record?.address === this.#options.address &&
      record.service === this.#options.service;
  }

  run(
    call: WorkerCall,
    { service, finish }: ChannelRunOptions,
  ): CallHandle {
    const id = this.#nextId++;
    const acceptedAt = performance.now();
    const pending: PendingCall = {
      finish,
      isIdempotent: call.isIdempotent,
      isSent: false,
      send: (link) => {
        pending.isSent = true;
        link.send({
          kind: "call",
          id,
          service,
          requestId: call.requestId,
          route: call.route,
          method: call.method,
          target: call.target,
          headers: call.headers,
          timeLeftMs: Math.floor(
            call.timeLeftMs - (performance.now() - acceptedAt),
          ),
          latencyTargetMs: call.latencyTargetMs,
          rank: call.rank,
          isIdempotent: call.isIdempotent,
          isRepeat: call.isRepeat,
          body: call.body,
        });
      },
    };
    this.#pending.set(id, pending);
    if (this.#link !== undefined) pending.send(this.#link);
    else this.open();
    return { cancel: () => this.#cancel(id) };
  }

  /** Opens the link unless it is open or has just failed. */
  open(): void {
    if (this.#isClosed || this.#socket !== undefined) return;
    if (performance.now() < this.#retryAt) {
      return this.#fail("connection_refused");
    }
    const [host, port] = this.#options.address.split(":");
    const opened = openLinkSocket(host!, Number(port));
    const { socket } = opened;
    this.#socket = socket;
    const timer = setTimeout(
      () => socket.destroy(new Error("The peer does not answer")),
      CONNECT_TIMEOUT_MS,
    );
    const startedAt = performance.now();
    socket.once("connect", () => {
      this.#roundTripMs = performance.now() - startedAt;
      clearTimeout(timer);
      socket.off("error", refuse);
      this.#adopt(opened);
    });
    const refuse = (error: Error) => {
      clearTimeout(timer);
      this.#lose(error.message);
    };
    socket.once("error", refuse);
  }

  /** Opens a lost link at once, since the peer has shown that it runs. */
  reopen(): void {
    if (this.#failures === 0) return;
    this.#retryAt = 0;
    this.open();
  }

  /** Sends a frame if the link is open. */
  send(frame: Frame): void {
    this.#link?.send(frame);
  }

  /**
   * Checks the link; see {@linkcode Link.check}. Idempotent calls do not wait
   * for the end of a link whose peer seems to be gone.
   */
  check(): void {
    const link = this.#link;
    if (link === undefined) return;
    link.check(this.#pending.size > 0);
    if (link.isSuspect) this.#giveUp(({ isIdempotent }) => isIdempotent);
  }

  /** Ends the link and all calls on it. */
  close(): void {
    this.#isClosed = true;
    if (this.#link !== undefined) this.#link.close("closed by this node");
    else this.#socket?.destroy();
    this.#fail("connection_lost");
  }

  #adopt(opened: LinkSocket): void {
    const link = new Link(opened, {
      onFrame: (frame) => this.#receive(frame),
      onClose: (reason) => this.#lose(reason),
    });
    this.#link = link;
    this.#failures = 0;
    link.send(this.#options.hello());
    this.#options.onLinkStateChange?.({
      node: this.node,
      isOpen: true,
      reason: "connected",
      lostCalls: 0,
    });
    this.#pending.forEach((pending) => pending.send(link));
  }

  #receive(frame: Frame): void {
    if (frame.kind === "hello" && !this.#isExpected(frame)) {
      this.#link?.close(`node ${frame.node} answers at the address`);
      this.#retryAt = performance.now() + MISPLACED_RETRY_MS;
      return;
    }
    if ("load" in frame) this.#load = frame.load;
    switch (frame.kind) {
      case "answer":
        return this.#finish(frame.id, {
          kind: "answer",
          status: frame.status,
          headers: frame.headers,
          body: frame.body,
        });
      case "failure":
        return this.#finish(frame.id, {
          kind: "failure",
          error: frame.error,
          mayHaveRun: frame.mayHaveRun,
          wasSent: frame.wasSent,
          retryAfterMs: frame.retryAfterMs,
        });
      case "load":
        return;
      default:
        this.#options.onFrame(frame, this);
    }
  }

  // After a host is gone, its address may belong to another one.
  #isExpected({ node, service }: HelloFrame): boolean {
    return node === this.node && service === this.#options.service;
  }

  #finish(id: number, result: WorkerResult): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    pending.finish(result);
  }

  #cancel(id: number): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    if (pending.isSent) this.#link?.send({ kind: "cancel", id });
    else {
      this.#finish(id, failure("caller_cancelled", false));
    }
  }

  #lose(reason: string): void {
    this.#link = undefined;
    this.#socket = undefined;
    this.#load = undefined;
    this.#failures++;
    this.#retryAt = performance.now() + Math.min(
      LONGEST_RETRY_MS,
      FIRST_RETRY_MS * 2 ** Math.min(this.#failures - 1, 10),
    );
    this.#options.onLinkStateChange?.({
      node: this.node,
      isOpen: false,
      reason,
      lostCalls: this.#pending.size,
    });
    this.#fail("connection_lost");
  }

  #fail(error: ErrorKind): void {
    const calls = [...this.#pending.values()];
    this.#pending.clear();
    calls.forEach(({ finish, isSent }) =>
      finish(failure(isSent ? error : "connection_refused", isSent))
    );
  }

  #giveUp(isChosen: (call: PendingCall) => boolean): void {
    const given = [...this.#pending].filter(([, call]) => isChosen(call));
    given.forEach(([id, call]) => {
      this.#pending.delete(id);
      this.#link?.send({ kind: "cancel", id });
      call.finish(failure("connection_lost", true));
    });
  }
}

function failure(error: ErrorKind, mayHaveRun: boolean): WorkerResult {
  return {
    kind: "failure",
    error,
    mayHaveRun,
    wasSent: mayHaveRun,
    retryAfterMs: 0,
  };
}
