import type { Frame, HelloFrame, Link, LoadReport } from "@oleanderdeck/hop";
import type {
  CallHandle,
  WorkerCall,
  WorkerResult,
} from "@oleanderdeck/serving";
import { callFrame } from "./_call_frame.ts";
import {
  LinkOpening,
  type OpenedLink,
  type OpeningFailure,
} from "./_link_opening.ts";
import {
  callFailure,
  type PendingCall,
  PendingCalls,
} from "./_pending_calls.ts";
import { Reconnection } from "./_reconnection.ts";
import { SilentLinkCalls } from "./_silent_link_calls.ts";
import type { PeerChannelOptions } from "./peer_channel_options.ts";
import { type ChannelRunOptions, WorkerChannel } from "./worker_channel.ts";

/**
 * Reconnect delay after an unexpected node answered at the address, in
 * milliseconds.
 */
const UNEXPECTED_PEER_DELAY_MS = 5_000;

/** Round-trip time assumed until the first link is open, in milliseconds. */
const ASSUMED_ROUND_TRIP_MS = 2;

/**
 * Channel to a worker on another host, over a link to the node on that host. A
 * link on which the peer seems to be silent is replaced as soon as the peer
 * answers on another one.
 */
export class PeerChannel extends WorkerChannel {
  readonly node: string;
  readonly dataCentre: string;
  readonly #options: PeerChannelOptions;
  readonly #pending = new PendingCalls();
  readonly #reconnection = new Reconnection();
  readonly #silentCalls = new SilentLinkCalls(this.#pending);
  /** Open link on which calls are sent. */
  #link: Link | undefined;
  #opening: LinkOpening | undefined;
  /**
   * Replaced links whose calls were claimed on a later one, or which have calls
   * that are not idempotent and have no outcome.
   */
  readonly #replaced = new Set<Link>();
  #load: LoadReport | undefined;
  #nextId = 1;
  #protocolRevision = 0;
  #lastCallAt = -Infinity;
  #roundTripMs = ASSUMED_ROUND_TRIP_MS;
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
    return this.#link !== undefined || !this.#reconnection.hasFailed;
  }

  /**
   * Frame kinds that the peer knows, as {@linkcode PROTOCOL_REVISION} has them;
   * undefined if there is no link on which it answers.
   */
  get protocolRevision(): number | undefined {
    return this.#link?.isSuspect === false ? this.#protocolRevision : undefined;
  }

  get isOpening(): boolean {
    return !this.isReachable && this.#opening !== undefined;
  }

  get isUnused(): boolean {
    return this.#nextId === 1;
  }

  get lastCallAt(): number {
    return this.#lastCallAt;
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
    { service, finish, maySend }: ChannelRunOptions,
  ): CallHandle {
    const id = this.#nextId++;
    const acceptedAt = performance.now();
    this.#lastCallAt = acceptedAt;
    const pending: PendingCall = {
      finish,
      isIdempotent: call.isIdempotent,
      latencyTargetMs: call.latencyTargetMs,
      link: undefined,
      isCancelled: false,
      send: (link) => {
        if (maySend?.() === false) {
          return this.#finish(id, callFailure("configuration_unproven", false));
        }
        pending.link = link;
        const elapsedMs = performance.now() - acceptedAt;
        const statement = this.#options.statements.of(this.node);
        link.send(callFrame(call, { id, service, elapsedMs, statement }));
      },
    };
    this.#pending.add(id, pending);
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
    if (this.#isRetired || !this.#reconnection.isDue) {
      return this.#failUnsentCalls();
    }
    const { address, hello } = this.#options;
    const linkId = SilentLinkCalls.newLinkId();
    this.#opening = new LinkOpening({
      address,
      hello: { ...hello(), linkId },
      isExpected: (frame) => this.#isExpected(frame),
      onOpened: (opened) => this.#onOpened(opened, linkId),
      onFailed: (failure) => this.#onOpeningFailed(failure),
      onFrame: (frame, link) => this.#receive(frame, link),
      acceptBody: (frame, bytes) => this.#acceptBody(frame, bytes),
      onClosed: (link, reason) => this.#onLinkClosed(link, reason),
    });
  }

  /**
   * Reopens a lost link without delay, because the peer is known to be running.
   */
  reopen(): void {
    if (!this.#reconnection.hasFailed) return;
    this.#reconnection.hurry();
    this.open();
  }

  /** Sends a frame if the link is open; drops it otherwise. */
  send(frame: Frame): void {
    this.#link?.send(frame);
  }

  /**
   * Checks the link; see {@linkcode Link.check}. If the peer seems to be
   * unreachable, another link is opened, on which the calls are claimed; idempotent
   * calls that cannot be claimed soon fail instead of waiting for the link to end.
   */
  check(): void {
    this.#replaced.forEach((link) => link.check(true));
    const link = this.#link;
    if (link === undefined) return;
    link.check(this.#pending.size > 0);
    if (!link.isSuspect) {
      this.#pending.sendUnsent(link);
      return this.#opening?.close("The peer answers on its link again");
    }
    this.open();
    // Other links may have become silent as well. All are checked first, so that
    // no call is repeated on one of them.
    queueMicrotask(() => this.#holdOrAbandon(link));
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

  #holdOrAbandon(link: Link): void {
    const mayClaim = this.#opening !== undefined &&
      this.#silentCalls.isClaimable(link);
    if (mayClaim) this.#silentCalls.hold(link);
    else this.#silentCalls.abandon(link);
  }

  #onOpened({ link, roundTripMs, hello }: OpenedLink, linkId: string): void {
    this.#opening = undefined;
    this.#roundTripMs = roundTripMs;
    this.#reconnection.succeed();
    const replaced = this.#link;
    this.#link = link;
    this.#silentCalls.record(link, linkId, hello);
    this.#protocolRevision = hello.protocolRevision ?? 0;
    if (replaced !== undefined) this.#replace(replaced, link);
    this.#options.onLinkStateChange?.({
      node: this.node,
      isOpen: true,
      reason: replaced === undefined ? "connected" : "silent link replaced",
      claimedCalls: this.#pending.on(link).length,
    });
    this.#pending.sendUnsent(link);
  }

  // A link whose calls are claimed is left for the peer to end: the end could
  // overtake the claim and would cancel the calls.
  #replace(replaced: Link, link: Link): void {
    this.#replaced.add(replaced);
    if (this.#silentCalls.claim(replaced, link)) return;
    this.#silentCalls.abandon(replaced);
    this.#closeIfUnused(replaced);
  }

  // The peer ends only those that it knows by their first frame. The claim of a
  // later link may still be on its way.
  #closeClaimed(link: Link): void {
    if (link !== this.#link) return;
    this.#replaced.forEach((replaced) => this.#closeIfUnused(replaced));
  }

  #closeIfUnused(link: Link): void {
    if (!this.#replaced.has(link)) return;
    if (this.#pending.on(link).length === 0) link.close("replaced");
  }

  #receive(frame: Frame, link: Link): void {
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
      case "claimed":
        this.#silentCalls.receive(frame, link);
        return this.#closeClaimed(link);
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
    pending.answer?.close();
    pending.answer = this.#options.account.open("worker_answers");
    if (pending.answer.growAhead(bytes)) return true;
    this.#finish(frame.id, callFailure("answer_cut", true));
    return false;
  }

  #isExpected({ node, service }: HelloFrame): boolean {
    return node === this.node && service === this.#options.service;
  }

  #finish(id: number, result: WorkerResult): void {
    const pending = this.#pending.settle(id, result);
    if (pending?.link !== undefined) this.#closeIfUnused(pending.link);
    this.#closeIfRetired();
  }

  #closeIfRetired(): void {
    if (this.#isRetired && this.#pending.size === 0) this.close();
  }

  #cancel(id: number): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    pending.isCancelled = true;
    if (pending.link !== undefined) pending.link.send({ kind: "cancel", id });
    else this.#finish(id, callFailure("caller_cancelled", false));
  }

  #onOpeningFailed({ reason, isUnexpectedPeer }: OpeningFailure): void {
    this.#opening = undefined;
    this.#reconnection.fail(isUnexpectedPeer ? UNEXPECTED_PEER_DELAY_MS : 0);
    if (this.#link === undefined) this.#reportLost(reason, 0);
    else if (this.#link.isSuspect) this.#silentCalls.abandon(this.#link);
    this.#failUnsentCalls();
  }

  #onLinkClosed(link: Link, reason: string): void {
    const lost = this.#pending.on(link);
    const wasReplaced = this.#replaced.delete(link);
    if (!wasReplaced) {
      this.#link = undefined;
      this.#load = undefined;
      this.#reconnection.fail();
    }
    if (!wasReplaced || lost.length > 0) this.#reportLost(reason, lost.length);
    lost.forEach(([id]) =>
      this.#pending.settle(id, callFailure("connection_lost", true))
    );
    this.#closeIfRetired();
  }

  #reportLost(reason: string, lostCalls: number): void {
    const { onLinkStateChange } = this.#options;
    onLinkStateChange?.({ node: this.node, isOpen: false, reason, lostCalls });
  }

  #failUnsentCalls(): void {
    this.#pending.on(undefined).forEach(([id]) =>
      this.#pending.settle(id, callFailure("connection_refused", false))
    );
    this.#closeIfRetired();
  }
}
