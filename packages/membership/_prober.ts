import { create } from "@bufbuild/protobuf";
import {
  AcknowledgementSchema,
  type Datagram,
  IndirectPingSchema,
  MemberState,
  PingSchema,
} from "@oleanderdeck/protocol";
import { isPeer, type MembershipContext } from "./_context.ts";
import { UPDATE_ROOM_BYTES } from "./_disseminator.ts";
import { encodeMember, isLive, toClaim } from "./_member_record.ts";
import { type MemberEntry, shuffle } from "./_member_table.ts";
import { parseHostPort } from "./datagram_transport.ts";

/** Time between two probes of a node. */
export const PROBE_INTERVAL_MS = 1000;

/** Time in which a member has to answer before others are asked to probe it. */
const DIRECT_TIMEOUT_MS = 250;

/** Time that the peers have for an indirect probe. */
const INDIRECT_TIMEOUT_MS = 700;

/** Peers that are asked to probe a member that did not answer. */
const INDIRECT_PROBES = 3;

/** Points by which a round without any datagram raises the health score. */
const ISOLATION_POINTS = 2;

/** Relayed probes that a node has in progress at most. */
const MAXIMUM_RELAYS = 64;

// A reason given to abort() saves the cost of an error object with a stack.
const ANSWERED = "answered";

interface Waiter {
  /** Node that has to answer; any node if undefined. */
  readonly nodeId: string | undefined;
  /** Ends the wait. */
  readonly ended: AbortController;
  isAnswered: boolean;
  /** Round trip time of a direct answer in milliseconds. */
  roundTripMs: number | undefined;
  readonly sentMs: number;
}

/** Probes members, answers probes, and suspects members that do not answer. */
export class Prober {
  readonly #context: MembershipContext;
  readonly #introduce: (datagram: Datagram) => readonly Uint8Array[];
  readonly #waiters = new Map<number, Waiter>();
  #relays = 0;
  #round = 0;
  #rotation: MemberEntry[] = [];
  #lastReceivedMs = -Infinity;

  /** @param introduce Gives the records for the answer to a node that joins. */
  constructor(
    context: MembershipContext,
    introduce: (datagram: Datagram) => readonly Uint8Array[],
  ) {
    this.#context = context;
    this.#introduce = introduce;
  }

  /** Probes one member per interval until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, health } = this.#context;
    while (!signal.aborted) {
      const startMs = clock.now();
      const target = this.#nextTarget();
      if (target !== undefined) await this.#probe(target, signal);
      const restMs = startMs + PROBE_INTERVAL_MS - clock.now();
      if (restMs > 0) await clock.sleep(restMs, signal);
      health.noteTimer(PROBE_INTERVAL_MS, clock.now() - startMs);
    }
  }

  /**
   * Sends a ping and waits for the answer.
   *
   * @param updates Encoded records to send along.
   * @returns Whether an answer came in time.
   */
  async ping(
    address: string,
    nodeId: string | undefined,
    options: PingOptions,
  ): Promise<boolean> {
    const { clock, link } = this.#context;
    const { sequence } = link.sendTo(
      address,
      { case: "ping", value: this.#pingBody() },
      options.updates,
    );
    const waiter = this.#await(sequence, nodeId);
    await clock.sleep(options.timeoutMs, waiter.ended.signal);
    this.#waiters.delete(sequence);
    return waiter.isAnswered;
  }

  /** Ends all waits for answers. */
  stop(): void {
    this.#waiters.forEach((waiter) => waiter.ended.abort());
  }

  /** Handles the probe messages of a datagram. */
  receive(datagram: Datagram, from: string): void {
    this.#lastReceivedMs = this.#context.clock.now();
    const { body } = datagram;
    if (body.case === "ping") this.#answer(datagram, from, datagram.sequence);
    if (body.case === "acknowledgement") {
      this.#noteAnswer(datagram, body.value.sequence);
    }
    if (body.case === "indirectPing") {
      void this.#relay(body.value.targetAddress, from, body.value.sequence);
    }
  }

  async #probe(target: MemberEntry, signal: AbortSignal): Promise<void> {
    const { clock, health, link, random, table } = this.#context;
    const { nodeId, peerAddress } = target.member;
    const startMs = clock.now();
    const { sequence } = link.sendTo(
      peerAddress,
      { case: "ping", value: this.#pingBody() },
      this.#accusationAndNews(target),
    );
    const waiter = this.#await(sequence, nodeId);
    const directMs = DIRECT_TIMEOUT_MS * health.multiplier;
    await clock.sleep(directMs, waiter.ended.signal);
    if (!waiter.isAnswered && !signal.aborted) {
      if (health.noteTimer(directMs, clock.now() - startMs)) {
        this.#waiters.delete(sequence);
        return;
      }
      const relays = table.sample(
        random,
        INDIRECT_PROBES,
        (entry) => isPeer(this.#context, entry) && entry !== target,
      );
      const value = create(IndirectPingSchema, {
        targetAddress: peerAddress,
        sequence,
      });
      for (const { member } of relays) {
        link.sendTo(member.peerAddress, { case: "indirectPing", value });
      }
      const relayedMs = clock.now();
      const indirectMs = INDIRECT_TIMEOUT_MS * health.multiplier;
      await clock.sleep(indirectMs, waiter.ended.signal);
      const late = health.noteTimer(indirectMs, clock.now() - relayedMs);
      if (!waiter.isAnswered && !late && !signal.aborted) {
        this.#suspect(target, startMs);
      }
    }
    this.#waiters.delete(sequence);
    if (waiter.isAnswered) {
      health.recover();
      if (waiter.roundTripMs !== undefined) {
        table.noteRoundTrip(target, waiter.roundTripMs);
      }
    }
  }

  #suspect(target: MemberEntry, sinceMs: number): void {
    const { applyOwn, health, link, table } = this.#context;
    // A node that heard of nobody is more likely cut off than its target dead.
    // With only one peer the two cases cannot be told apart.
    if (this.#lastReceivedMs < sinceMs && table.liveCount > 2) {
      health.raise(ISOLATION_POINTS);
    }
    const { member } = target;
    if (member.state !== MemberState.ALIVE) return;
    const claim = { ...toClaim(member), state: MemberState.SUSPECT };
    applyOwn(claim);
    link.sendTo(
      member.peerAddress,
      { case: "ping", value: this.#pingBody() },
      [encodeMember(claim)],
    );
  }

  #answer(datagram: Datagram, to: string, sequence: number): void {
    const { configuration, disseminator, link, self, table } = this.#context;
    const value = create(AcknowledgementSchema, {
      sequence,
      configuration: configuration(),
    });
    const sender = table.get(datagram.sender);
    // A member that others believe dead has to learn it, to refute it; and one
    // that accused this node gets the refutation without delay.
    const accusation = sender !== undefined && !isLive(sender.member)
      ? [encodeMember(toClaim(sender.member))]
      : [];
    const { nodeId } = self();
    const refutation =
      datagram.updates.some((update) => update.nodeId === nodeId)
        ? [encodeMember(toClaim(self()))]
        : [];
    const introduction = this.#introduce(datagram);
    const news = introduction.length > 0 ? [] : disseminator.piggyback();
    link.sendTo(
      to,
      { case: "acknowledgement", value },
      [...accusation, ...refutation, ...introduction, ...news],
    );
  }

  #noteAnswer(datagram: Datagram, sequence: number): void {
    const waiter = this.#waiters.get(sequence);
    if (waiter === undefined) return;
    const { nodeId } = waiter;
    if (nodeId === undefined || datagram.sender === nodeId) {
      waiter.roundTripMs ??= this.#context.clock.now() - waiter.sentMs;
      return answer(waiter);
    }
    // A relay names the node that answered it, since another process may have
    // taken over the address.
    if (datagram.updates[0]?.nodeId === nodeId) answer(waiter);
  }

  async #relay(target: string, to: string, sequence: number): Promise<void> {
    const { configuration, link, table } = this.#context;
    if (parseHostPort(target) === undefined) return;
    if (this.#relays >= MAXIMUM_RELAYS) return;
    this.#relays += 1;
    const expected = table.atAddress(target);
    const answered = await this.ping(target, expected?.member.nodeId, {
      timeoutMs: INDIRECT_TIMEOUT_MS,
    });
    this.#relays -= 1;
    if (!answered || expected === undefined) return;
    const value = create(AcknowledgementSchema, {
      sequence,
      configuration: configuration(),
    });
    link.sendTo(to, { case: "acknowledgement", value }, [
      encodeMember(toClaim(expected.member)),
    ]);
  }

  #await(sequence: number, nodeId: string | undefined): Waiter {
    const waiter: Waiter = {
      nodeId,
      ended: new AbortController(),
      isAnswered: false,
      roundTripMs: undefined,
      sentMs: this.#context.clock.now(),
    };
    this.#waiters.set(sequence, waiter);
    return waiter;
  }

  #pingBody() {
    return create(PingSchema, { configuration: this.#context.configuration() });
  }

  #accusationAndNews(target: MemberEntry): readonly Uint8Array[] {
    const { disseminator } = this.#context;
    return target.member.state === MemberState.ALIVE
      ? disseminator.piggyback()
      : [
        encodeMember(toClaim(target.member)),
        ...disseminator.piggyback(UPDATE_ROOM_BYTES),
      ];
  }

  // Every other probe goes to the next live member on a ring, so that the death
  // of a single member is noticed within two intervals; random targets alone
  // leave a member without any probe for 4 s in 2 of 100 cases. The probes in
  // between follow a random rotation, which covers neighbours that die together.
  #nextTarget(): MemberEntry | undefined {
    const { random, self, table } = this.#context;
    this.#round += 1;
    const own = table.get(self().nodeId);
    if (own !== undefined && this.#round % 2 === 0) {
      const successor = table.successor(own);
      if (successor !== undefined) return successor;
    }
    for (let attempt = 0; attempt < 2; attempt++) {
      while (this.#rotation.length > 0) {
        const entry = this.#rotation.pop()!;
        if (isLive(entry.member)) return entry;
      }
      this.#rotation = shuffle(
        random,
        table.live().filter((entry) => isPeer(this.#context, entry)),
      );
    }
    return undefined;
  }
}

function answer(waiter: Waiter): void {
  waiter.isAnswered = true;
  waiter.ended.abort(ANSWERED);
}

/** Options of {@linkcode Prober.ping}. */
export interface PingOptions {
  readonly timeoutMs: number;
  /** Encoded records to send along. */
  readonly updates?: readonly Uint8Array[];
}
