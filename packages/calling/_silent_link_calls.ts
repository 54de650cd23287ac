import { randomUUID } from "node:crypto";
import {
  type ClaimedFrame,
  type HelloFrame,
  type Link,
  MAX_CLAIMED_CALLS,
  MAX_CLAIMED_LINKS,
} from "@oleanderdeck/hop";
import {
  callFailure,
  type NumberedCall,
  type PendingCalls,
} from "./_pending_calls.ts";

/**
 * Time for which an idempotent call on a silent link waits for another link, over
 * which its result can be claimed, as a share of its latency target. A peer that
 * runs answers in one round trip, and one that doesn't costs this time.
 */
const HOLD_SHARE_OF_TARGET = 0.2;

/** What is known of a link of the channel. */
interface LinkIdentity {
  readonly linkId: string;
  /** Process of the peer; undefined if its release takes no claims. */
  readonly processId: string | undefined;
  /** Earlier links that are claimed on this one, until the peer confirms it. */
  claimedLinkIds: readonly string[];
}

/**
 * Calls of a channel on links that seem silent. They are held until another link
 * to the same process of the peer is open, and are claimed on it.
 */
export class SilentLinkCalls {
  readonly #calls: PendingCalls;
  readonly #identities = new WeakMap<Link, LinkIdentity>();

  /** @param calls All calls of the channel that have no outcome. */
  constructor(calls: PendingCalls) {
    this.#calls = calls;
  }

  /** Returns an identity for a new link, which no one else can guess. */
  static newLinkId(): string {
    return randomUUID();
  }

  /**
   * Records the identities of a link that was opened.
   *
   * @param link Open link.
   * @param linkId Identity that the peer was told.
   * @param hello First frame of the peer.
   */
  record(link: Link, linkId: string, { processId }: HelloFrame): void {
    this.#identities.set(link, { linkId, processId, claimedLinkIds: [] });
  }

  /** Whether the calls on a link can be claimed on another one. */
  isClaimable(link: Link): boolean {
    return this.#identities.get(link)?.processId !== undefined;
  }

  /** Gives up the idempotent calls on a silent link, each after a short time. */
  hold(link: Link): void {
    this.#idempotentOn(link).forEach(([id, call]) => {
      // What the peer has sent by then is read before the call is given up.
      call.holdTimer ??= setTimeout(
        () => setImmediate(() => this.#endHold(id, link)),
        call.latencyTargetMs * HOLD_SHARE_OF_TARGET,
      );
    });
  }

  /** Gives up the idempotent calls on a silent link, which are then repeated. */
  abandon(link: Link): void {
    this.#idempotentOn(link).forEach(([id]) => this.#giveUp(id, link));
  }

  /**
   * Claims the calls on a silent link, if the same process of the peer answers on
   * another one.
   *
   * @param silent Link on which the calls were sent.
   * @param link Open link on which their results are to be sent.
   * @returns Whether the calls are claimed.
   */
  claim(silent: Link, link: Link): boolean {
    const from = this.#identities.get(silent);
    const to = this.#identities.get(link);
    if (from?.processId === undefined || from.processId !== to?.processId) {
      return false;
    }
    const linkIds = [from.linkId, ...from.claimedLinkIds];
    const calls = this.#calls.on(silent);
    if (
      linkIds.length > MAX_CLAIMED_LINKS || calls.length > MAX_CLAIMED_CALLS
    ) return false;
    to.claimedLinkIds = linkIds;
    const awaited = calls.filter(([, { isCancelled }]) => !isCancelled);
    awaited.forEach(([, call]) => {
      call.link = link;
      clearTimeout(call.holdTimer);
      call.holdTimer = undefined;
      call.answer?.close();
      call.answer = undefined;
    });
    const ids = awaited.map(([id]) => id);
    link.send({ kind: "claim", linkIds, ids });
    calls.forEach(([id, { isCancelled }]) => {
      if (isCancelled) this.#lose(id);
    });
    return true;
  }

  /** Sends those calls again that the peer never received. */
  receive({ missingIds }: ClaimedFrame, link: Link): void {
    const identity = this.#identities.get(link);
    if (identity === undefined) return;
    identity.claimedLinkIds = [];
    missingIds.forEach((id) => {
      const call = this.#calls.get(id);
      if (call?.link !== link) return;
      if (call.isCancelled) this.#lose(id);
      else call.send(link);
    });
  }

  #endHold(id: number, link: Link): void {
    const call = this.#calls.get(id);
    if (call === undefined) return;
    call.holdTimer = undefined;
    if (call.link === link && link.isSuspect) this.#giveUp(id, link);
  }

  #giveUp(id: number, link: Link): void {
    link.send({ kind: "cancel", id });
    this.#lose(id);
  }

  #lose(id: number): void {
    this.#calls.settle(id, callFailure("connection_lost", true));
  }

  #idempotentOn(link: Link): readonly NumberedCall[] {
    return this.#calls.on(link).filter(([, call]) => call.isIdempotent);
  }
}
