import type { Clock } from "@oleanderdeck/settings";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { type Member, MemberState } from "@oleanderdeck/protocol";
import { ByteBudget, type ByteBudgetOptions } from "./_byte_budget.ts";
import { AutoResetEvent } from "./_auto_reset_event.ts";
import { encodeMember } from "./_member_record.ts";
import type { MemberTable } from "./_member_table.ts";
import type { PeerLink } from "./_peer_link.ts";
import { UPDATE_FRAMING_BYTES, UpdateQueue } from "./_update_queue.ts";

/** Time between two rounds of gossip while updates are pending. */
const GOSSIP_INTERVAL_MS = 200;

/** Number of peers that receive updates in each round. */
const GOSSIP_PEERS = 3;

/** Sends of an update per doubling of the number of live members. */
const SENDS_PER_DOUBLING = 3;

/** With more updates than this in the queue, each one is sent fewer times. */
const CROWDED_QUEUE_LENGTH = 32;

// With a crowded queue, an update is sent once per doubling and twice more.
const SENDS_PER_DOUBLING_CROWDED = 1;
const EXTRA_SENDS_CROWDED = 2;

// Older updates are dropped and left to anti-entropy. Without the limit, an update
// waits for minutes when all nodes start at once, behind thousands of others that
// all peers have.
const UPDATE_LIFETIME_MS = 15_000;

// In a fleet of 5,100, the change of one record makes a node send about 4 KB within
// 3 s. The burst covers several changes. The rate keeps the recovery of thousands of
// records within the control budget of 6 KB/s, sent and received together.
const UPDATE_BUDGET: ByteBudgetOptions = {
  bytesPerSecond: 1000,
  burstBytes: 30_000,
};

// Bytes of the budget that a crowded queue does not use, so that a failure can be
// announced soon after all nodes have started at once.
const CROWDED_RESERVE_BYTES = 15_000;

/** Bytes of a datagram beside its updates, including the IP and UDP headers. */
const DATAGRAM_OVERHEAD_BYTES = 110;

/** Maximum number of bytes of updates in one datagram. */
export const UPDATE_CAPACITY_BYTES = 950;

/** Options of {@linkcode Disseminator}. */
export interface DisseminatorOptions {
  readonly clock: Clock;
  readonly random: RandomGenerator;
  readonly table: MemberTable;
  readonly link: () => PeerLink;
  readonly nodeId: string;
}

/** Sends updates of member records by gossip and with probes, rate-limited. */
export class Disseminator {
  readonly #options: DisseminatorOptions;
  readonly #queue = new UpdateQueue();
  readonly #budget: ByteBudget;
  readonly #updateAvailable = new AutoResetEvent();
  #ownUpdate: { readonly bytes: Uint8Array; timesSent: number } | undefined;

  constructor(options: DisseminatorOptions) {
    this.#options = options;
    this.#budget = new ByteBudget(options.clock, UPDATE_BUDGET);
  }

  /** Number of updates that still have to be sent. */
  get pending(): number {
    return this.#queue.size + (this.#ownUpdate === undefined ? 0 : 1);
  }

  /** Queues a record for the next rounds of gossip. */
  announce(record: Member): void {
    this.#queue.put(record, this.#options.clock.now());
    this.#updateAvailable.set();
  }

  /**
   * Queues the node's own record for the next rounds of gossip. It is sent even
   * if the budget is used up, since a refutation or a drain must not wait behind
   * updates of other members.
   */
  announceOwn(record: Member): void {
    this.#ownUpdate = { bytes: encodeMember(record), timesSent: 0 };
    this.#updateAvailable.set();
  }

  /** Counts a record that a peer has sent, and therefore has, as sent to it. */
  countReceived(record: Member): void {
    this.#queue.countReceived(record);
  }

  /**
   * Takes updates for a datagram that is sent for another reason.
   *
   * @param capacityBytes Space for updates in the datagram, in bytes.
   * @returns Encoded records.
   */
  piggyback(
    capacityBytes: number = UPDATE_CAPACITY_BYTES,
  ): readonly Uint8Array[] {
    const own = this.#takeOwnUpdate();
    const availableBytes = Math.min(
      capacityBytes - totalBytes(own),
      this.#availableBytes(),
    );
    const others = this.#queue.take(availableBytes, this.#timesToSend());
    const updates = [...own, ...others];
    this.#budget.spend(totalBytes(updates));
    return updates;
  }

  /** Sends pending updates in rounds until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      if (this.pending === 0) await this.#updateAvailable.wait(signal);
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
      const isUrgent = this.#ownUpdate !== undefined;
      if (!isUrgent && this.#availableBytes() < DATAGRAM_OVERHEAD_BYTES) return;
      const updates = this.piggyback();
      if (updates.length === 0) return;
      link().sendTo(member.peerAddress, undefined, updates);
      this.#budget.spend(DATAGRAM_OVERHEAD_BYTES);
    }
  }

  #availableBytes(): number {
    const reserve = this.#isCrowded() ? CROWDED_RESERVE_BYTES : 0;
    return this.#budget.available() - reserve;
  }

  #isCrowded(): boolean {
    return this.#queue.size > CROWDED_QUEUE_LENGTH;
  }

  #takeOwnUpdate(): readonly Uint8Array[] {
    if (this.#ownUpdate === undefined) return [];
    const { bytes } = this.#ownUpdate;
    this.#ownUpdate.timesSent += 1;
    if (this.#ownUpdate.timesSent >= SENDS_PER_DOUBLING * this.#doublings()) {
      this.#ownUpdate = undefined;
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
