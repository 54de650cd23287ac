import type { ErrorKind } from "@oleanderdeck/errors";
import type { Frame, HelloFrame, Link, LoadReport } from "@oleanderdeck/hop";
import type {
  CallHandle,
  MemoryAccount,
  MemoryReservation,
  WorkerCall,
  WorkerResult,
} from "@oleanderdeck/serving";
import { LinkOpening, type OpeningFailure } from "./_link_opening.ts";
import { type ChannelRunOptions, WorkerChannel } from "./worker_channel.ts";
import type { WorkerStatements } from "./worker_statements.ts";

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
  /** Account of the memory for answers. */
  readonly account: MemoryAccount;
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
  /** Link on which the call was sent; undefined if it was not. */
  link: Link | undefined;
  readonly send: (link: Link) => void;
  /** Memory of an answer that is being received. */
  answer?: MemoryReservation;
}

/**
 * Channel to a worker on another host, over a link to the node on that host. A
 * link on which the peer seems to be silent is replaced as soon as the peer
 * answers on another one.
 */
export class PeerChannel extends WorkerChannel {
  readonly node: string;
  readonly dataCentre: string;
  readonly #options: PeerChannelOptions;
  readonly #pending = new Map<number, PendingCall>();
  /** Open link on which calls are sent. */
  #link: Link | undefined;
  #opening: LinkOpening | undefined;
  /** Replaced links with calls that are not idempotent and have no outcome. */
  readonly #replaced = new Set<Link>();
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
    return this.#link !== undefined || this.#consecutiveFailures === 0;
  }

  get isOpening(): boolean {
    return !this.isReachable && this.#opening !== undefined;
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
      link: undefined,
      send: (link) => {
        pending.link = link;
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
    if (this.#link?.isSuspect === false) pending.send(this.#link);
    else this.open();
    return { cancel: () => this.#cancel(id) };
  }

  /**
   * Opens the link unless it is open or being opened. During the delay after a
   * failure, the calls that wait for it fail instead.
   */
  open(): void {
    if (this.#isClosed || this.#opening !== undefined) return;
    if (this.#link === undefined || this.#link.isSuspect) this.#startOpening();
  }

  #startOpening(): void {
    if (this.#isRetired || performance.now() < this.#reconnectAt) {
      return this.#failUnsentCalls();
    }
    const { address, hello } = this.#options;
    this.#opening = new LinkOpening({
      address,
      hello: hello(),
      isExpected: (frame) => this.#isExpected(frame),
      onOpened: (link, roundTripMs) => this.#onOpened(link, roundTripMs),
      onFailed: (failure) => this.#onOpeningFailed(failure),
      onFrame: (frame) => this.#receive(frame),
      acceptBody: (frame, bytes) => this.#acceptBody(frame, bytes),
      onClosed: (link, reason) => this.#onLinkClosed(link, reason),
    });
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
   * unreachable, another link is opened, and idempotent calls fail at once
   * instead of waiting for the link to end.
   */
  check(): void {
    this.#replaced.forEach((link) => link.check(true));
    const link = this.#link;
    if (link === undefined) return;
    link.check(this.#pending.size > 0);
    if (!link.isSuspect) {
      this.#sendUnsentCalls(link);
      return this.#opening?.close("The peer answers on its link again");
    }
    this.open();
    // Other links may have become silent as well. All are checked first, so that
    // no call is repeated on one of them.
    queueMicrotask(() => this.#abandonCalls(link));
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
    const reason = "closed by this node";
    this.#opening?.close(reason);
    this.#link?.close(reason);
    this.#replaced.forEach((link) => link.close(reason));
    this.#failUnsentCalls();
  }

  #onOpened(link: Link, roundTripMs: number): void {
    this.#opening = undefined;
    this.#roundTripMs = roundTripMs;
    this.#consecutiveFailures = 0;
    const replaced = this.#link;
    this.#link = link;
    if (replaced !== undefined) {
      this.#replaced.add(replaced);
      this.#closeIfUnused(replaced);
    }
    this.#options.onLinkStateChange?.({
      node: this.node,
      isOpen: true,
      reason: replaced === undefined ? "connected" : "silent link replaced",
      lostCalls: 0,
    });
    this.#sendUnsentCalls(link);
  }

  #sendUnsentCalls(link: Link): void {
    this.#pending.forEach((pending) => {
      if (pending.link === undefined) pending.send(link);
    });
  }

  #closeIfUnused(link: Link): void {
    if (!this.#replaced.has(link)) return;
    const isUsed = [...this.#pending.values()].some((pending) =>
      pending.link === link
    );
    if (!isUsed) link.close("replaced");
  }

  #receive(frame: Frame): void {
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
          memory: this.#pending.get(frame.id)?.answer,
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

  // An answer that does not fit in is lost, and its call may have run.
  #acceptBody(frame: Frame, bytes: number): boolean {
    if (frame.kind !== "answer") return true;
    const pending = this.#pending.get(frame.id);
    if (pending === undefined) return false;
    pending.answer = this.#options.account.open("worker_answers");
    if (pending.answer.growAhead(bytes)) return true;
    this.#finish(frame.id, failure("answer_cut", true));
    return false;
  }

  #isExpected({ node, service }: HelloFrame): boolean {
    return node === this.node && service === this.#options.service;
  }

  #finish(id: number, result: WorkerResult): void {
    const pending = this.#settle(id, result);
    if (pending?.link !== undefined) this.#closeIfUnused(pending.link);
    this.#closeIfRetired();
  }

  #settle(id: number, result: WorkerResult): PendingCall | undefined {
    const pending = this.#pending.get(id);
    if (pending === undefined) return undefined;
    this.#pending.delete(id);
    pending.finish(result);
    pending.answer?.close();
    return pending;
  }

  #closeIfRetired(): void {
    if (this.#isRetired && this.#pending.size === 0) this.close();
  }

  #cancel(id: number): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    if (pending.link !== undefined) pending.link.send({ kind: "cancel", id });
    else this.#finish(id, failure("caller_cancelled", false));
  }

  #onOpeningFailed({ reason, isUnexpectedPeer }: OpeningFailure): void {
    this.#opening = undefined;
    this.#delayReconnect(isUnexpectedPeer ? UNEXPECTED_PEER_DELAY_MS : 0);
    if (this.#link === undefined) this.#reportLost(reason, 0);
    this.#failUnsentCalls();
  }

  #onLinkClosed(link: Link, reason: string): void {
    const lost = [...this.#pending].filter(([, pending]) =>
      pending.link === link
    );
    const wasReplaced = this.#replaced.delete(link);
    if (!wasReplaced) {
      this.#link = undefined;
      this.#load = undefined;
      this.#delayReconnect();
    }
    if (!wasReplaced || lost.length > 0) this.#reportLost(reason, lost.length);
    lost.forEach(([id]) => this.#settle(id, failure("connection_lost", true)));
    this.#closeIfRetired();
  }

  #delayReconnect(minDelayMs = 0): void {
    this.#consecutiveFailures++;
    const delayMs = Math.min(
      MAX_RECONNECT_DELAY_MS,
      FIRST_RECONNECT_DELAY_MS *
        2 ** Math.min(this.#consecutiveFailures - 1, 10),
    );
    this.#reconnectAt = performance.now() + Math.max(minDelayMs, delayMs);
  }

  #reportLost(reason: string, lostCalls: number): void {
    const { onLinkStateChange } = this.#options;
    onLinkStateChange?.({ node: this.node, isOpen: false, reason, lostCalls });
  }

  #failUnsentCalls(): void {
    const unsent = [...this.#pending].filter(([, { link }]) =>
      link === undefined
    );
    unsent.forEach(([id]) =>
      this.#settle(id, failure("connection_refused", false))
    );
    this.#closeIfRetired();
  }

  #abandonCalls(link: Link): void {
    const abandoned = [...this.#pending].filter(([, pending]) =>
      pending.isIdempotent && pending.link === link
    );
    abandoned.forEach(([id]) => {
      link.send({ kind: "cancel", id });
      this.#settle(id, failure("connection_lost", true));
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
