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

/** Time in which the target of an indirect probe has to answer. */
export const INDIRECT_TIMEOUT_MS = 700;

/** Maximum number of indirect probes that a node relays at a time. */
const MAX_CONCURRENT_RELAYS = 64;

// Without a reason, abort() would create an error object with a stack each time.
const ABORT_REASON = "ended";

/** Options of {@linkcode Pinger.ping}. */
export interface PingOptions {
  readonly timeoutMs: number;
  /** Encoded records to send with the ping. */
  readonly updates?: readonly Uint8Array[];
}

/** One or several pings to a node, of which the first answer is awaited. */
export class PendingPing {
  /** Node that has to answer; any node may if undefined. */
  readonly nodeId: string | undefined;
  /** Aborted when the answer has come or the pinger stops. */
  readonly ended = new AbortController();
  isAnswered = false;
  /** Round trip time of the first ping in milliseconds, if answered directly. */
  roundTripMs: number | undefined;
  /** Sequence numbers of the pings. */
  readonly sequences: number[] = [];
  /** Time at which the first ping was sent. */
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

  /**
   * @param introductionRecords Returns the records for the answer to a node that
   * joins, and none for other pings.
   */
  constructor(
    context: MembershipContext,
    introductionRecords: (datagram: Datagram) => readonly Uint8Array[],
  ) {
    this.#context = context;
    this.#introductionRecords = introductionRecords;
  }

  /** Time at which the latest datagram of any peer was received. */
  get lastReceivedMs(): number {
    return this.#lastReceivedMs;
  }

  /**
   * Sends a ping and waits for the answer.
   *
   * @returns Whether it was answered in time.
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

  /** Sends a ping whose answer completes `pending`, without waiting for it. */
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
    if (this.#isStopped) pending.ended.abort(ABORT_REASON);
  }

  /** Asks a peer to ping an address, and to forward the answer. */
  sendIndirect(
    relay: string,
    targetAddress: string,
    pending: PendingPing,
  ): void {
    const sequence = pending.sequences[0]!;
    const value = create(IndirectPingSchema, { targetAddress, sequence });
    this.#context.link.sendTo(relay, { case: "indirectPing", value });
  }

  /** Stops waiting for an answer; a later one is ignored. */
  discard(pending: PendingPing): void {
    pending.sequences.forEach((sequence) =>
      this.#pendingPings.delete(sequence)
    );
  }

  /** Ends the wait for all pings, including those sent later. */
  stop(): void {
    this.#isStopped = true;
    this.#pendingPings.forEach((pending) => pending.ended.abort(ABORT_REASON));
  }

  /** Handles the pings, indirect pings and acknowledgements of peers. */
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
    // A sender that is recorded as dead is notified, so that it can refute this. A
    // sender that suspects this node receives the refutation at once.
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
    // A relay reports which node answered it, since another process may have taken
    // the address over.
    if (!isDirect && datagram.updates[0]?.nodeId !== nodeId) return;
    if (isDirect && sequence === pending.sequences[0]) {
      pending.roundTripMs = this.#context.clock.now() - pending.sentMs;
    }
    pending.isAnswered = true;
    pending.ended.abort(ABORT_REASON);
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
