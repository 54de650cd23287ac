import { create } from "@bufbuild/protobuf";
import {
  AcknowledgementSchema,
  type Datagram,
  IndirectPingSchema,
  PingSchema,
} from "@oleanderdeck/protocol";
import type { MembershipContext } from "./_context.ts";
import { encodeMember, toStateUpdate } from "./_member_record.ts";
import { isLive } from "./member_view.ts";
import type { MemberEntry } from "./_member_table.ts";
import { parseHostPort } from "./datagram_transport.ts";

/** Time that a peer has for an indirect probe. */
export const INDIRECT_TIMEOUT_MS = 700;

/** Indirect probes for others that a node has in progress at most. */
const MAX_CONCURRENT_RELAYS = 64;

// A reason given to abort() saves the cost of an error object with a stack.
const ENDED = "ended";

/** Options of {@linkcode Pinger.ping}. */
export interface PingOptions {
  readonly timeoutMs: number;
  /** Encoded records to send along. */
  readonly updates?: readonly Uint8Array[];
}

/** Wait for the answer to one or several pings. */
export class PendingPing {
  /** Node that has to answer; any node if undefined. */
  readonly nodeId: string | undefined;
  /** Aborted when the wait ends. */
  readonly ended = new AbortController();
  isAnswered = false;
  /** Round trip time of the first ping in milliseconds, if it was answered. */
  roundTripMs: number | undefined;
  /** Sequence numbers of the pings. */
  readonly sequences: number[] = [];
  sentMs = 0;

  constructor(nodeId: string | undefined) {
    this.nodeId = nodeId;
  }
}

/** Sends pings, answers them, and relays them for peers. */
export class Pinger {
  readonly #context: MembershipContext;
  readonly #introductionRecords: (datagram: Datagram) => readonly Uint8Array[];
  readonly #pendingPings = new Map<number, PendingPing>();
  #relaysInProgress = 0;
  #isStopped = false;
  #lastReceivedMs = -Infinity;

  /** @param introductionRecords Gives the records for the answer to a node that joins. */
  constructor(
    context: MembershipContext,
    introduce: (datagram: Datagram) => readonly Uint8Array[],
  ) {
    this.#context = context;
    this.#introductionRecords = introduce;
  }

  /** Time at which the latest datagram came from any peer. */
  get lastReceivedMs(): number {
    return this.#lastReceivedMs;
  }

  /**
   * Sends a ping and waits for the answer.
   *
   * @returns Whether an answer came in time.
   */
  async ping(
    address: string,
    nodeId: string | undefined,
    options: PingOptions,
  ): Promise<boolean> {
    const pending = new PendingPing(nodeId);
    this.send(address, pending, options.updates);
    await this.#context.clock.sleep(options.timeoutMs, pending.ended.signal);
    this.discard(pending);
    return pending.isAnswered;
  }

  /** Sends a ping whose answer ends a wait. */
  send(
    address: string,
    pending: PendingPing,
    updates: readonly Uint8Array[] = [],
  ): void {
    const { clock, configuration, link } = this.#context;
    const value = create(PingSchema, { configuration: configuration() });
    const body = { case: "ping" as const, value };
    const { sequence } = link.sendTo(address, body, updates);
    if (pending.sequences.length === 0) pending.sentMs = clock.now();
    pending.sequences.push(sequence);
    this.#pendingPings.set(sequence, pending);
    if (this.#isStopped) pending.ended.abort(ENDED);
  }

  /** Asks a peer to ping an address in the name of a wait. */
  sendIndirect(
    relay: string,
    targetAddress: string,
    pending: PendingPing,
  ): void {
    const sequence = pending.sequences[0]!;
    const value = create(IndirectPingSchema, { targetAddress, sequence });
    this.#context.link.sendTo(relay, { case: "indirectPing", value });
  }

  /** Forgets a wait. */
  discard(pending: PendingPing): void {
    pending.sequences.forEach((sequence) =>
      this.#pendingPings.delete(sequence)
    );
  }

  /** Ends all waits, present and future. */
  stop(): void {
    this.#isStopped = true;
    this.#pendingPings.forEach((pending) => pending.ended.abort(ENDED));
  }

  /** Handles the probe messages of a datagram. */
  receive(datagram: Datagram, from: string): void {
    this.#lastReceivedMs = this.#context.clock.now();
    const { body } = datagram;
    if (body.case === "ping") this.#acknowledgePing(datagram, from);
    if (body.case === "acknowledgement") {
      this.#receiveAcknowledgement(datagram, body.value.sequence);
    }
    if (body.case === "indirectPing") {
      void this.#relay(body.value.targetAddress, from, body.value.sequence);
    }
  }

  #acknowledgePing(datagram: Datagram, to: string): void {
    const { disseminator, self, table } = this.#context;
    const sender = table.get(datagram.sender);
    // A member that others believe dead has to learn it, to refute it; and one
    // that accused this node gets the refutation without delay.
    const senderState = sender !== undefined && !isLive(sender.member)
      ? [encodeMember(toStateUpdate(sender.member))]
      : [];
    const { nodeId } = self();
    const refutation =
      datagram.updates.some((update) => update.nodeId === nodeId)
        ? [encodeMember(toStateUpdate(self()))]
        : [];
    const introduction = this.#introductionRecords(datagram);
    const gossip = introduction.length > 0 ? [] : disseminator.piggyback();
    this.#acknowledge(to, datagram.sequence, [
      ...senderState,
      ...refutation,
      ...introduction,
      ...gossip,
    ]);
  }

  #receiveAcknowledgement(datagram: Datagram, sequence: number): void {
    const pending = this.#pendingPings.get(sequence);
    if (pending === undefined || pending.isAnswered) return;
    const { nodeId } = pending;
    const isDirect = nodeId === undefined || datagram.sender === nodeId;
    // A relay names the node that answered it, since another process may have
    // taken over the address.
    if (!isDirect && datagram.updates[0]?.nodeId !== nodeId) return;
    if (isDirect && sequence === pending.sequences[0]) {
      pending.roundTripMs = this.#context.clock.now() - pending.sentMs;
    }
    pending.isAnswered = true;
    pending.ended.abort(ENDED);
  }

  async #relay(target: string, to: string, sequence: number): Promise<void> {
    if (parseHostPort(target) === undefined) return;
    const expected: MemberEntry | undefined = this.#context.table
      .atAddress(target);
    if (
      expected === undefined || this.#relaysInProgress >= MAX_CONCURRENT_RELAYS
    ) return;
    this.#relaysInProgress += 1;
    const answered = await this.ping(target, expected.member.nodeId, {
      timeoutMs: INDIRECT_TIMEOUT_MS,
    });
    this.#relaysInProgress -= 1;
    if (!answered) return;
    this.#acknowledge(to, sequence, [
      encodeMember(toStateUpdate(expected.member)),
    ]);
  }

  #acknowledge(
    to: string,
    sequence: number,
    updates: readonly Uint8Array[],
  ): void {
    const { configuration, link } = this.#context;
    const value = create(AcknowledgementSchema, {
      sequence,
      configuration: configuration(),
    });
    link.sendTo(to, { case: "acknowledgement", value }, updates);
  }
}
