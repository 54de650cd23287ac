import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PeerMessage } from "@oleanderdeck/membership";
import { type Member, MemberState } from "@oleanderdeck/protocol";
import type { SessionPeer } from "./session_peer.ts";
import type { VirtualClock } from "@oleanderdeck/settings";
import type { ProcessClock } from "./process_clock.ts";

/** What happens to one call between two processes. */
export type CallFault =
  /** The call passes. */
  | "none"
  /** The connection breaks before the request has arrived. */
  | "lose_request"
  /** The connection breaks after the request has run. */
  | "lose_answer"
  /** The answer is so late that nobody waits for it. */
  | "late_answer"
  /** The answer ends in the middle. */
  | "cut_answer"
  /** The connection is silent from the start. */
  | "silent";

/** How a call between two processes ended. */
export type Reply<Answer> =
  | { readonly state: "answered"; readonly answer: Answer }
  /** The header arrived, but not the end of the body. */
  | { readonly state: "cut"; readonly answer: Answer }
  /** `refused`: nothing was sent; `lost`: no answer arrived. */
  | { readonly state: "refused" | "lost" };

/** A process that takes calls. */
export interface CallReceiver {
  readonly clock: ProcessClock;
  /** Resolves when the process is killed. */
  readonly killed: Promise<void>;
  readonly dataCentre: string;
}

/** Time until a lost connection is noticed, in milliseconds. */
const RESET_MS = 20;

/** Delay of a late answer, in milliseconds. */
const LATE_MS = 4_000;

/** Time until a member that is gone is declared dead, in milliseconds. */
export const DETECTION_MS = 5_500;

/** Greatest time of gossip on its way, in milliseconds. */
const GOSSIP_MS = 400;

/** Delay of a link between data centres, one way, in milliseconds. */
const LINK_MS = 4;

/** Messages and calls between the processes of a session, with their faults. */
export class SessionNetwork {
  /** Live nodes by id. */
  readonly peers = new Map<string, SessionPeer>();
  /** Share of datagrams that are lost. */
  datagramLoss = 0;
  /** Share of datagrams that arrive twice. */
  datagramDuplication = 0;
  /** Longest additional delay of a datagram, which reorders them. */
  datagramDelayMs = 2;
  /** Nodes none of whose datagrams and gossip arrive anywhere. */
  readonly isolatedNodes = new Set<string>();
  /** Data centres that are cut off from all others. */
  readonly cutOff = new Set<string>();
  /** Faults of the next calls, the next one first. */
  readonly callFaults: CallFault[] = [];
  readonly #clock: VirtualClock;
  readonly #random;

  /**
   * @param clock Time of the session.
   * @param seed Seed of losses and delays.
   */
  constructor(clock: VirtualClock, seed: number) {
    this.#clock = clock;
    this.#random = xoroshiro128plus(seed);
  }

  /** Draws a number from 0 to below 1. */
  randomFraction(): number {
    return uniformFloat64(this.#random);
  }

  /** Adds a node that knows all others and tells them of itself. */
  join(peer: SessionPeer): void {
    for (const other of this.peers.values()) {
      peer.applyUpdate(other.record, other.recordVersion);
    }
    this.peers.set(peer.record.nodeId, peer);
    this.announce(peer);
  }

  /** Removes a node that ended; the others notice it after a while. */
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

  /** Tells all others the present record of a node. */
  announce(peer: SessionPeer): void {
    const { record, recordVersion } = peer;
    for (const other of this.peers.values()) {
      if (other === peer) continue;
      this.#gossip(peer, () => other.applyUpdate(record, recordVersion));
    }
  }

  /** Sends a datagram, which may be lost, doubled or late. */
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

  /** Whether a datagram can pass between two data centres. */
  connects(from: string, to: string): boolean {
    return from === to || !this.cutOff.has(from) && !this.cutOff.has(to);
  }

  /**
   * Makes a call over a connection, with the next fault if there is one.
   *
   * @param from Data centre of the sender.
   * @param to Process that takes the call; undefined when it is gone.
   * @param run Runs the call at the receiver.
   */
  call<Answer>(
    from: string,
    to: CallReceiver | undefined,
    run: () => Promise<Answer>,
  ): Promise<Reply<Answer>> {
    return this.#call(from, to, { run, appliesFaults: true });
  }

  /** Makes a call between nodes that takes no fault meant for requests. */
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
