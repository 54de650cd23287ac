import { create } from "@bufbuild/protobuf";
import {
  type LeaseGrant,
  LeaseKind,
  LeaseRequestSchema,
  type Member,
  type PressureUpdate,
} from "@oleanderdeck/protocol";
import type { MemberView, PeerChannel } from "@oleanderdeck/membership";
import type { Clock } from "@oleanderdeck/settings";
import { type DemandEntry, writeDemands } from "./lease_demand.ts";
import {
  ANSWER_TIMEOUT_MS,
  DEMAND_INTERVAL_MS,
  SHORTAGE_INTERVAL_MS,
} from "./lease_timing.ts";

/** Threshold that admits all levels. */
const OPEN_THRESHOLD = 512;

/** Options of {@linkcode SlotLeaseHolder}. */
export interface SlotLeaseHolderOptions {
  /** Node beside the worker. */
  readonly nodeId: string;
  readonly members: MemberView;
  readonly channel: PeerChannel;
  readonly clock: Clock;
  /** Demand for slots of this worker. */
  readonly demands: () => readonly DemandEntry[];
  /** Is called when slots or the threshold have changed. */
  readonly onChange: () => void;
}

interface HeldLease {
  readonly ownerIncarnation: bigint;
  readonly epoch: bigint;
  readonly amount: number;
  readonly connections: number;
  readonly fence: string;
  /** End of the term, counted from when the request was sent. */
  readonly expiresAt: number;
}

/**
 * Slots of one peer worker that this node may use. One task per worker reports
 * the demand and renews the lease; the term ends by the holder's own clock, so
 * a paused process uses nothing when it resumes.
 */
export class SlotLeaseHolder {
  readonly #options: SlotLeaseHolderOptions;
  readonly #sentAt = new Map<number, number>();
  readonly #removeHandlers: readonly (() => void)[];
  #wake = new AbortController();
  #closed = false;
  #requestNumber = 0;
  #answeredNumber = 0;
  #lastSentAt = -Infinity;
  #shortageIntervalMs = SHORTAGE_INTERVAL_MS;
  #lease: HeldLease | undefined;
  #inUse = 0;
  #calls = 0;
  #totalDurationMs = 0;
  #threshold = OPEN_THRESHOLD;
  #thresholdUntil = 0;
  #updateNumber = 0;
  #updateIncarnation = 0n;

  /** @param options Collaborators of the holder. */
  constructor(options: SlotLeaseHolderOptions) {
    this.#options = options;
    this.#removeHandlers = [
      options.channel.onMessage("leaseGrant", (grant, sender) => {
        if (
          grant.kind === LeaseKind.SLOTS && sender.nodeId === options.nodeId
        ) this.#receive(grant);
      }),
      options.channel.onMessage("pressureUpdate", (update, sender) => {
        if (sender.nodeId === options.nodeId) this.#receivePressure(update);
      }),
    ];
    void this.#run();
  }

  /** Node beside the worker. */
  get nodeId(): string {
    return this.#options.nodeId;
  }

  /** Calls in progress on leased slots. */
  get inUse(): number {
    return this.#inUse;
  }

  /** Whether the owner has answered a request. */
  get answered(): boolean {
    return this.#answeredNumber > 0;
  }

  /** Slots of the lease that is valid now. */
  heldSlots(): number {
    const lease = this.#validLease();
    if (lease === undefined) return 0;
    return Math.min(lease.amount, lease.connections);
  }

  /** Slots that are free now. */
  free(): number {
    return Math.max(0, this.heldSlots() - this.#inUse);
  }

  /** Threshold that the owner told last; 512 when none is valid. */
  threshold(): number {
    return this.#options.clock.now() < this.#thresholdUntil
      ? this.#threshold
      : OPEN_THRESHOLD;
  }

  /**
   * Takes a slot.
   *
   * @returns The fencing token of the lease; undefined when no slot is free.
   */
  tryAcquire(): string | undefined {
    const lease = this.#validLease();
    if (lease === undefined) return undefined;
    if (this.#inUse >= Math.min(lease.amount, lease.connections)) {
      return undefined;
    }
    this.#inUse += 1;
    return lease.fence;
  }

  /**
   * Gives back a slot.
   *
   * @param durationMs Time of the call; undefined when it tells nothing about
   * the worker.
   */
  release(durationMs: number | undefined): void {
    this.#inUse -= 1;
    this.count(durationMs);
    const lease = this.#validLease();
    // The owner counts the slots beyond a reduced share until it hears of them.
    if (lease !== undefined && this.#inUse === lease.amount) this.#ask();
  }

  /**
   * Counts a completed call for the statistics of the next report.
   *
   * @param durationMs Time of the call; undefined when it tells nothing.
   */
  count(durationMs: number | undefined): void {
    if (durationMs === undefined) return;
    this.#calls += 1;
    this.#totalDurationMs += durationMs;
  }

  /** Reports the demand now, at most every 50 ms, less often in vain. */
  reportShortage(): void {
    const now = this.#options.clock.now();
    if (now - this.#lastSentAt >= this.#shortageIntervalMs) this.#ask();
  }

  /** Stops using the worker and gives the lease back. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#request([]);
    this.#lease = undefined;
    for (const remove of this.#removeHandlers) remove();
    this.#wake.abort();
  }

  #validLease(): HeldLease | undefined {
    const lease = this.#lease;
    if (lease === undefined) return undefined;
    return this.#options.clock.now() < lease.expiresAt ? lease : undefined;
  }

  #ask(): void {
    this.#wake.abort();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#closed) {
      this.#request(this.#options.demands());
      this.#wake = new AbortController();
      const { signal } = this.#wake;
      await clock.sleep(ANSWER_TIMEOUT_MS, signal);
      // A lost message is repeated before the term ends.
      if (!signal.aborted && this.#answeredNumber === this.#requestNumber) {
        await clock.sleep(DEMAND_INTERVAL_MS - ANSWER_TIMEOUT_MS, signal);
      }
      const early = this.#lastSentAt + SHORTAGE_INTERVAL_MS - clock.now();
      if (early > 0 && !this.#closed) await clock.sleep(early);
    }
  }

  #request(demands: readonly DemandEntry[]): void {
    const { channel, clock, members, nodeId } = this.#options;
    const owner = members.find(nodeId);
    if (owner === undefined) return;
    const now = clock.now();
    const lease = this.#validLease();
    const held = lease?.ownerIncarnation === owner.incarnation
      ? lease
      : undefined;
    this.#requestNumber += 1;
    this.#sentAt.set(this.#requestNumber, now);
    this.#sentAt.delete(this.#requestNumber - 64);
    this.#lastSentAt = now;
    channel.send(nodeId, {
      case: "leaseRequest",
      value: create(LeaseRequestSchema, {
        kind: LeaseKind.SLOTS,
        ownerIncarnation: owner.incarnation,
        holderIncarnation: members.self().incarnation,
        requestNumber: this.#requestNumber,
        inUse: this.#inUse,
        demands: writeDemands({
          demands,
          calls: this.#calls,
          meanDurationMs: this.#calls === 0
            ? 0
            : this.#totalDurationMs / this.#calls,
        }),
        heldEpoch: held?.epoch ?? 0n,
        heldAmount: this.#closed ? 0 : held?.amount ?? 0,
      }),
    });
    this.#calls = 0;
    this.#totalDurationMs = 0;
  }

  #receive(grant: LeaseGrant): void {
    const { clock, members, nodeId } = this.#options;
    const sentAt = this.#sentAt.get(grant.requestNumber);
    const owner: Member | undefined = members.find(nodeId);
    if (sentAt === undefined || owner?.incarnation !== grant.ownerIncarnation) {
      return;
    }
    const previous = this.#lease;
    if (
      previous?.ownerIncarnation === grant.ownerIncarnation &&
      previous.epoch >= grant.epoch
    ) return;
    const unsolicited = grant.requestNumber <= this.#answeredNumber;
    this.#answeredNumber = Math.max(this.#answeredNumber, grant.requestNumber);
    this.#lease = {
      ownerIncarnation: grant.ownerIncarnation,
      epoch: grant.epoch,
      amount: grant.amount,
      connections: grant.connections,
      fence: `${grant.ownerIncarnation}.${grant.epoch}`,
      expiresAt: sentAt + grant.termMilliseconds,
    };
    const before = previous?.amount ?? 0;
    this.#shortageIntervalMs = grant.amount > before
      ? SHORTAGE_INTERVAL_MS
      : Math.min(DEMAND_INTERVAL_MS, this.#shortageIntervalMs * 2);
    this.#setThreshold(grant.threshold, clock.now() + grant.termMilliseconds);
    // The owner can pass a withdrawn share on only after a confirmation.
    if (unsolicited && grant.amount < before) this.#ask();
    this.#options.onChange();
  }

  #receivePressure(update: PressureUpdate): void {
    const { clock } = this.#options;
    if (update.ownerIncarnation < this.#updateIncarnation) return;
    if (update.ownerIncarnation > this.#updateIncarnation) {
      this.#updateIncarnation = update.ownerIncarnation;
      this.#updateNumber = 0;
    }
    if (update.updateNumber <= this.#updateNumber) return;
    this.#updateNumber = update.updateNumber;
    this.#setThreshold(update.threshold, clock.now() + 2 * DEMAND_INTERVAL_MS);
    this.#options.onChange();
  }

  #setThreshold(threshold: number, until: number): void {
    this.#threshold = threshold;
    this.#thresholdUntil = until;
  }
}
