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
import type { WorkerStatements } from "./worker_statements.ts";

/**
 * Time limit for opening a link, which includes the first frame of the peer, in
 * milliseconds.
 */
const OPEN_TIMEOUT_MS = 1_000;

/** Initial and maximum delay before a link is reopened, in milliseconds. */
const FIRST_RECONNECT_DELAY_MS = 100;
const MAX_RECONNECT_DELAY_MS = 500;

/**
 * Reconnect delay after an unexpected node answered at the address, in
 * milliseconds.
 */
const UNEXPECTED_PEER_DELAY_MS = 5_000;

/** Round-trip time assumed until the first link is open, in milliseconds. */
const ASSUMED_ROUND_TRIP_MS = 2;

/** Options of {@linkcode PeerChannel}. */
export interface PeerChannelOptions {
  /** Name of the peer, the node on the worker's host. */
  readonly node: string;
  readonly dataCentre: string;
  /** Service of the worker on the peer's host. */
  readonly service: string;
  /** Address at which the peer accepts links, as host:port. */
  readonly address: string;
  /** Statements of all workers, which outlive the channel. */
  readonly statements: WorkerStatements;
  /** Returns the first frame sent on a new link. */
  readonly hello: () => HelloFrame;
  /** Called with each frame that does not concern calls or the load. */
  readonly onFrame: (frame: Frame, channel: PeerChannel) => void;
  /** Called when a link was opened, has ended or could not be opened. */
  readonly onLinkStateChange?: (event: LinkStateChange) => void;
}

/** Reports that a link was opened, has ended or could not be opened. */
export interface LinkStateChange {
  readonly node: string;
  readonly isOpen: boolean;
  readonly reason: string;
  /** Number of calls that had no outcome when the link ended. */
  readonly lostCalls: number;
}

/** Call without an outcome yet. */
interface PendingCall {
  readonly finish: (result: WorkerResult) => void;
  readonly isIdempotent: boolean;
  /** Whether the call was sent on a link. */
  isSent: boolean;
  readonly send: (link: Link) => void;
}

/**
 * Channel to a worker on another host, over a link to the node on that host.
 */
export class PeerChannel extends WorkerChannel {
  readonly node: string;
  readonly dataCentre: string;
  readonly #options: PeerChannelOptions;
  readonly #pending = new Map<number, PendingCall>();
  #socket: Socket | undefined;
  #link: Link | undefined;
  /**
   * Whether the expected peer has sent its first frame on the link. Calls wait
   * for it: a process that is stopped accepts connections as well, and the
   * address of a removed host may have been assigned to another one.
   */
  #isOpen = false;
  #openTimer: NodeJS.Timeout | undefined;
  #load: LoadReport | undefined;
  #nextId = 1;
  #roundTripMs = ASSUMED_ROUND_TRIP_MS;
  /** Links lost or not opened since one was last open. */
  #consecutiveFailures = 0;
  /** Time before which no link is opened, as of `performance.now()`. */
  #reconnectAt = 0;
  #isRetired = false;
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

  get unfinishedCalls(): number {
    return this.#pending.size;
  }

  get isReachable(): boolean {
    if (this.#link?.isSuspect) return false;
    return this.#isOpen || this.#consecutiveFailures === 0;
  }

  get isUnused(): boolean {
    return this.#nextId === 1;
  }

  /** Whether the channel was closed for good. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /**
   * Whether a record of the peer has the address and service of the channel.
   */
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
        const statement = this.#options.statements.of(this.node);
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
          ...(statement && { statement }),
          body: call.body,
        });
      },
    };
    this.#pending.set(id, pending);
    if (this.#link !== undefined && this.#isOpen) pending.send(this.#link);
    else this.open();
    return { cancel: () => this.#cancel(id) };
  }

  /**
   * Opens the link unless it is open or being opened. During the delay after a
   * failure, the pending calls fail instead.
   */
  open(): void {
    if (this.#isClosed || this.#socket !== undefined) return;
    if (this.#isRetired) return this.#failPendingCalls("connection_refused");
    if (performance.now() < this.#reconnectAt) {
      return this.#failPendingCalls("connection_refused");
    }
    const [host, port] = this.#options.address.split(":");
    const opened = openLinkSocket(host!, Number(port));
    const { socket } = opened;
    this.#socket = socket;
    this.#openTimer = setTimeout(() => {
      const reason = "Connection to the peer timed out";
      if (this.#link === undefined) socket.destroy(new Error(reason));
      else this.#link.close(reason);
    }, OPEN_TIMEOUT_MS);
    const startedAt = performance.now();
    socket.once("connect", () => {
      this.#roundTripMs = performance.now() - startedAt;
      socket.off("error", onConnectError);
      this.#startLink(opened);
    });
    const onConnectError = (error: Error) => this.#onLinkLost(error.message);
    socket.once("error", onConnectError);
  }

  /**
   * Reopens a lost link without delay, because the peer is known to be running.
   */
  reopen(): void {
    if (this.#consecutiveFailures === 0) return;
    this.#reconnectAt = 0;
    this.open();
  }

  /** Sends a frame if the link is open; drops it otherwise. */
  send(frame: Frame): void {
    this.#link?.send(frame);
  }

  /**
   * Checks the link; see {@linkcode Link.check}. If the peer seems to be
   * unreachable, calls that may be repeated fail at once instead of waiting for
   * the link to end: idempotent ones, and those that were not sent.
   */
  check(): void {
    const link = this.#link;
    if (link === undefined) return;
    link.check(this.#pending.size > 0);
    if (link.isSuspect) this.#abandonCalls();
  }

  /** Closes the channel when its pending calls are finished. */
  retire(): void {
    this.#isRetired = true;
    this.#closeIfRetired();
  }

  /** Closes the link and fails all its pending calls. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearTimeout(this.#openTimer);
    if (this.#link !== undefined) this.#link.close("closed by this node");
    else this.#socket?.destroy();
    this.#failPendingCalls("connection_lost");
  }

  #startLink(opened: LinkSocket): void {
    const link = new Link(opened, {
      onFrame: (frame) => this.#receive(frame),
      onClose: (reason) => this.#onLinkLost(reason),
    });
    this.#link = link;
    link.send(this.#options.hello());
  }

  #onOpened(link: Link): void {
    clearTimeout(this.#openTimer);
    this.#isOpen = true;
    this.#consecutiveFailures = 0;
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
      this.#reconnectAt = performance.now() + UNEXPECTED_PEER_DELAY_MS;
      return;
    }
    const isFirst = frame.kind === "hello" && !this.#isOpen;
    if (isFirst && this.#link !== undefined) this.#onOpened(this.#link);
    if ("load" in frame) {
      this.#load = frame.load;
      this.#options.statements.record(this.node, frame.load);
    }
    switch (frame.kind) {
      case "answer":
        return this.#finish(frame.id, {
          kind: "answer",
          status: frame.status,
          headers: frame.headers,
          body: frame.body,
          isRefusedBelow: frame.isRefusedBelow,
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

  #isExpected({ node, service }: HelloFrame): boolean {
    return node === this.node && service === this.#options.service;
  }

  #finish(id: number, result: WorkerResult): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    pending.finish(result);
    this.#closeIfRetired();
  }

  #closeIfRetired(): void {
    if (this.#isRetired && this.#pending.size === 0) this.close();
  }

  #cancel(id: number): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    if (pending.isSent) this.#link?.send({ kind: "cancel", id });
    else {
      this.#finish(id, failure("caller_cancelled", false));
    }
  }

  #onLinkLost(reason: string): void {
    clearTimeout(this.#openTimer);
    this.#link = undefined;
    this.#isOpen = false;
    this.#socket = undefined;
    this.#load = undefined;
    this.#consecutiveFailures++;
    this.#reconnectAt = performance.now() + Math.min(
      MAX_RECONNECT_DELAY_MS,
      FIRST_RECONNECT_DELAY_MS *
        2 ** Math.min(this.#consecutiveFailures - 1, 10),
    );
    this.#options.onLinkStateChange?.({
      node: this.node,
      isOpen: false,
      reason,
      lostCalls: this.#pending.size,
    });
    this.#failPendingCalls("connection_lost");
  }

  #failPendingCalls(error: ErrorKind): void {
    const calls = [...this.#pending.values()];
    this.#pending.clear();
    calls.forEach(({ finish, isSent }) =>
      finish(failure(isSent ? error : "connection_refused", isSent))
    );
    this.#closeIfRetired();
  }

  #abandonCalls(): void {
    const abandoned = [...this.#pending].filter((
      [, { isIdempotent, isSent }],
    ) => isIdempotent || !isSent);
    abandoned.forEach(([id, { finish, isSent }]) => {
      this.#pending.delete(id);
      if (isSent) this.#link?.send({ kind: "cancel", id });
      finish(
        failure(isSent ? "connection_lost" : "connection_refused", isSent),
      );
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
