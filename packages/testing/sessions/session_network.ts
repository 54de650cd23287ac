import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PeerMessage } from "@oleanderdeck/membership";
import { type Member, MemberState } from "@oleanderdeck/protocol";
import type { SessionPeer } from "./session_peer.ts";
import type { VirtualClock } from "@oleanderdeck/settings";
import type { ProcessClock } from "./process_clock.ts";

/** Fault of one call between two processes. */
export type CallFault =
  /** The call has no fault. */
  | "none"
  /** The connection breaks before the request arrives. */
  | "lose_request"
  /** The connection breaks after the request is run. */
  | "lose_answer"
  /** The response arrives after the caller has stopped waiting. */
  | "late_answer"
  /** The response body is truncated. */
  | "cut_answer"
  /** The request does not arrive and the connection stays open. */
  | "silent";

/** Outcome of a call between two processes. */
export type Reply<Answer> =
  | { readonly state: "answered"; readonly answer: Answer }
  /** The header arrived, but the body is truncated. */
  | { readonly state: "cut"; readonly answer: Answer }
  /** `refused`: the request was not sent; `lost`: no response arrived. */
  | { readonly state: "refused" | "lost" };

/** A process that receives calls. */
export interface CallReceiver {
  readonly clock: ProcessClock;
  /** Resolves when the process is killed. */
  readonly killed: Promise<void>;
  readonly dataCentre: string;
}

/** Time until a lost connection is detected, in milliseconds. */
const RESET_MS = 20;

/** Additional delay of a late response, in milliseconds. */
const LATE_MS = 4_000;

/** Time until a killed member is declared dead, in milliseconds. */
export const DETECTION_MS = 5_500;

/** Maximum delay of a gossip message, in milliseconds. */
const GOSSIP_MS = 400;

/** One-way delay of a link between data centres, in milliseconds. */
const LINK_MS = 4;

/** Simulated network of a session, with faults of datagrams and calls. */
export class SessionNetwork {
  /** Live nodes by id. */
  readonly peers = new Map<string, SessionPeer>();
  /** Share of datagrams that are lost, from 0 to 1. */
  datagramLoss = 0;
  /** Share of datagrams that arrive twice, from 0 to 1. */
  datagramDuplication = 0;
  /** Maximum random delay of a datagram, in ms; it causes reordering. */
  datagramDelayMs = 2;
  /** Ids of nodes whose outgoing datagrams and gossip are lost. */
  readonly isolatedNodes = new Set<string>();
  /** Data centres without a connection to any other data centre. */
  readonly cutOff = new Set<string>();
  /** Queue of faults; each `call` removes and applies the first. */
  readonly callFaults: CallFault[] = [];
  readonly #clock: VirtualClock;
  readonly #random;

  /**
   * @param clock Virtual clock of the session.
   * @param seed Seed of random losses and delays.
   */
  constructor(clock: VirtualClock, seed: number) {
    this.#clock = clock;
    this.#random = xoroshiro128plus(seed);
  }

  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  randomFraction(): number {
    return uniformFloat64(this.#random);
  }

  /** Adds a node, sends it the records of all others and announces its own. */
  join(peer: SessionPeer): void {
    for (const other of this.peers.values()) {
      peer.applyUpdate(other.record, other.recordVersion);
    }
    this.peers.set(peer.record.nodeId, peer);
    this.announce(peer);
  }

  /** Removes a killed node; the others detect it after `DETECTION_MS`. */
  leave(peer: SessionPeer): void {
    const { nodeId } = peer.record;
    if (this.peers.get(nodeId) === peer) this.peers.delete(nodeId);
    const dead = { ...peer.record, state: MemberState.DEAD };
    this.#clock.schedule(DETECTION_MS, () => {
      for (const other of this.peers.values()) {
        other.applyUpdate(dead, peer.recordVersion + 0.5);
      }
    });
  }

  /** Sends the current record of a node to all others by gossip. */
  announce(peer: SessionPeer): void {
    const { record, recordVersion } = peer;
    for (const other of this.peers.values()) {
      if (other === peer) continue;
      this.#gossip(peer, () => other.applyUpdate(record, recordVersion));
    }
  }

  /**
   * Sends a datagram, which may be lost, duplicated or delayed.
   *
   * @returns Whether the sender has a record of the target.
   */
  deliver(sender: SessionPeer, nodeId: string, message: PeerMessage): boolean {
    const target = this.peers.get(nodeId);
    if (target === undefined) return sender.find(nodeId) !== undefined;
    const copies = this.randomFraction() < this.datagramDuplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.randomFraction() < this.datagramLoss) continue;
      if (!this.#isOpen(sender, target)) continue;
      const from = sender.record;
      const delay = this.#linkMs(from, target.record) +
        this.randomFraction() * this.datagramDelayMs;
      this.#clock.schedule(
        delay,
        () => target.clock.run(() => target.receive(message, from)),
      );
    }
    return true;
  }

  /** Reports whether two data centres are connected. */
  connects(from: string, to: string): boolean {
    return from === to || !this.cutOff.has(from) && !this.cutOff.has(to);
  }

  /**
   * Makes a call over a connection and applies the next fault in the queue.
   *
   * @param from Data centre of the sender.
   * @param to Process that receives the call; undefined if it does not exist.
   * @param run Runs the call at the receiver.
   */
  call<Answer>(
    from: string,
    to: CallReceiver | undefined,
    run: () => Promise<Answer>,
  ): Promise<Reply<Answer>> {
    return this.#call(from, to, { run, appliesFaults: true });
  }

  /** Makes a call between nodes without a fault from the queue. */
  peerCall<Answer>(
    from: string,
    to: CallReceiver | undefined,
    run: () => Promise<Answer>,
  ): Promise<Reply<Answer>> {
    return this.#call(from, to, { run, appliesFaults: false });
  }

  async #call<Answer>(
    from: string,
    to: CallReceiver | undefined,
    { run, appliesFaults }: {
      readonly run: () => Promise<Answer>;
      readonly appliesFaults: boolean;
    },
  ): Promise<Reply<Answer>> {
    const linkMs = from === to?.dataCentre ? 1 : LINK_MS;
    await this.#clock.sleep(linkMs);
    if (to !== undefined && !this.connects(from, to.dataCentre)) {
      return new Promise<never>(() => {});
    }
    if (to === undefined || !to.clock.alive) return { state: "refused" };
    const fault = appliesFaults ? this.callFaults.shift() : undefined;
    if (fault === "silent") return new Promise<never>(() => {});
    if (fault === "lose_request") {
      await this.#clock.sleep(RESET_MS);
      return { state: "lost" };
    }
    const answer = await Promise.race([
      to.clock.waitUntilRunning().then(run),
      to.killed.then(() => undefined),
    ]);
    if (answer === undefined) return { state: "lost" };
    await this.#clock.sleep(linkMs);
    if (fault === "lose_answer") return { state: "lost" };
    if (fault === "cut_answer") return { state: "cut", answer };
    if (fault === "late_answer") await this.#clock.sleep(LATE_MS);
    return { state: "answered", answer };
  }

  #gossip(peer: SessionPeer, deliver: () => void): void {
    this.#clock.schedule(this.randomFraction() * GOSSIP_MS, () => {
      if (!peer.clock.alive) return;
      const lost = this.isolatedNodes.has(peer.record.nodeId) ||
        this.cutOff.has(peer.record.dataCentre) ||
        this.randomFraction() < this.datagramLoss;
      if (lost) this.#gossip(peer, deliver);
      else deliver();
    });
  }

  #isOpen(sender: SessionPeer, target: SessionPeer): boolean {
    return !this.isolatedNodes.has(sender.record.nodeId) &&
      this.connects(sender.record.dataCentre, target.record.dataCentre);
  }

  #linkMs(from: Member, to: Member): number {
    return from.dataCentre === to.dataCentre ? 0.5 : LINK_MS;
  }
}
