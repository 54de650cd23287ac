import type { Clock } from "@oleanderdeck/settings";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { type Member, MemberState } from "@oleanderdeck/protocol";
import { ByteBudget, type ByteBudgetOptions } from "./_byte_budget.ts";
import { Latch } from "./_latch.ts";
import { encodeMember } from "./_member_record.ts";
import type { MemberTable } from "./_member_table.ts";
import type { PeerLink } from "./_peer_link.ts";
import { UPDATE_FRAMING_BYTES, UpdateQueue } from "./_update_queue.ts";

/** Time between two rounds of gossip while there is news. */
const GOSSIP_INTERVAL_MS = 200;

/** Peers that get the news in each round. */
const GOSSIP_PEERS = 3;

const SENDS_PER_DOUBLING = 3;

/** Updates in the queue from which on each one is sent fewer times. */
const CROWDED_QUEUE = 32;

const SENDS_PER_DOUBLING_CROWDED = 1;
const EXTRA_SENDS_CROWDED = 2;

// Anti-entropy takes over from here. Without the limit, an update of a start of
// all nodes waits for minutes behind thousands of others that all know.
const UPDATE_LIFETIME_MS = 15_000;

// A change of one record costs a node of a fleet of 5,100 about 4 KB within 3 s;
// the burst covers several, and the rate keeps recoveries of thousands of records
// within the control budget of 6 KB/s, sent and received together.
const UPDATE_BUDGET: ByteBudgetOptions = {
  bytesPerSecond: 1000,
  burstBytes: 30_000,
};

// A crowded queue leaves this much, so that after a start of all nodes there is
// enough for the news of a failure.
const RESERVE_BYTES = 15_000;

/** Bytes of a datagram that are not updates, with the IP and UDP headers. */
const ENVELOPE_BYTES = 110;

/** Greatest number of bytes of updates in one datagram. */
export const UPDATE_ROOM_BYTES = 950;

/** Options of {@linkcode Disseminator}. */
export interface DisseminatorOptions {
  readonly clock: Clock;
  readonly random: RandomGenerator;
  readonly table: MemberTable;
  readonly link: () => PeerLink;
  readonly nodeId: string;
}

/** Spreads news about members by gossip and on probes, at a bounded rate. */
export class Disseminator {
  readonly #options: DisseminatorOptions;
  readonly #queue = new UpdateQueue();
  readonly #budget: ByteBudget;
  readonly #news = new Latch();
  #own: { readonly bytes: Uint8Array; timesSent: number } | undefined;

  constructor(options: DisseminatorOptions) {
    this.#options = options;
    this.#budget = new ByteBudget(options.clock, UPDATE_BUDGET);
  }

  /** Number of updates that still have to be sent. */
  get pending(): number {
    return this.#queue.size + (this.#own === undefined ? 0 : 1);
  }

  /** Sends a record to peers in the next rounds. */
  announce(record: Member): void {
    this.#queue.put(record, this.#options.clock.now());
    this.#news.open();
  }

  /**
   * Sends the node's own record to peers in the next rounds, even if the budget
   * is used up: a refutation or a drain must not wait behind the news of others.
   */
  announceOwn(record: Member): void {
    this.#own = { bytes: encodeMember(record), timesSent: 0 };
    this.#news.open();
  }

  /** Notes that a peer has sent a record, so that it knows it. */
  noteReceived(record: Member): void {
    this.#queue.noteReceived(record);
  }

  /**
   * Takes updates for a datagram that is sent anyway.
   *
   * @param roomBytes Room for updates in the datagram.
   */
  piggyback(roomBytes: number = UPDATE_ROOM_BYTES): readonly Uint8Array[] {
    const own = this.#takeOwn();
    const room = Math.min(
      roomBytes - totalBytes(own),
      this.#availableBytes(),
    );
    const others = this.#queue.take(room, this.#timesToSend());
    const updates = [...own, ...others];
    this.#budget.spend(totalBytes(updates));
    return updates;
  }

  /** Sends news in rounds until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      if (this.pending === 0) await this.#news.wait(signal);
      this.#queue.dropOlderThan(clock.now() - UPDATE_LIFETIME_MS);
      if (!signal.aborted) this.#sendRound();
      await clock.sleep(GOSSIP_INTERVAL_MS, signal);
    }
  }

  #sendRound(): void {
    const { link, nodeId, random, table } = this.#options;
    const peers = table.sample(
      random,
      GOSSIP_PEERS,
      ({ member }) =>
        member.nodeId !== nodeId && member.state === MemberState.ALIVE,
    );
    for (const { member } of peers) {
      const isUrgent = this.#own !== undefined;
      if (!isUrgent && this.#availableBytes() < ENVELOPE_BYTES) return;
      const updates = this.piggyback();
      if (updates.length === 0) return;
      link().sendTo(member.peerAddress, undefined, updates);
      this.#budget.spend(ENVELOPE_BYTES);
    }
  }

  #availableBytes(): number {
    const reserve = this.#isCrowded() ? RESERVE_BYTES : 0;
    return this.#budget.available() - reserve;
  }

  #isCrowded(): boolean {
    return this.#queue.size > CROWDED_QUEUE;
  }

  #takeOwn(): readonly Uint8Array[] {
    if (this.#own === undefined) return [];
    const { bytes } = this.#own;
    this.#own.timesSent += 1;
    if (this.#own.timesSent >= SENDS_PER_DOUBLING * this.#doublings()) {
      this.#own = undefined;
    }
    return [bytes];
  }

  #doublings(): number {
    return Math.log2(this.#options.table.liveCount + 1);
  }

  #timesToSend(): number {
    const doublings = this.#doublings();
    return !this.#isCrowded()
      ? Math.ceil(SENDS_PER_DOUBLING * doublings)
      : Math.ceil(SENDS_PER_DOUBLING_CROWDED * doublings) +
        EXTRA_SENDS_CROWDED;
  }
}

function totalBytes(parts: readonly Uint8Array[]): number {
  return parts.reduce(
    (total, part) => total + part.length + UPDATE_FRAMING_BYTES,
    0,
  );
}
