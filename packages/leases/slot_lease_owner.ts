import {
  type LeaseGrant,
  LeaseGrantSchema,
  LeaseKind,
  type LeaseRequest,
  type Member,
  PressureUpdateSchema,
} from "@oleanderdeck/protocol";
import { create } from "@bufbuild/protobuf";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import type { Clock } from "@oleanderdeck/settings";
import { type HolderRecord, LeaseLedger } from "./_lease_ledger.ts";
import { AdaptiveLimit } from "./adaptive_limit.ts";
import { allocate, type HolderDemand } from "./allocation.ts";
import {
  type DemandEntry,
  HEADROOM_RANK,
  readDemands,
} from "./lease_demand.ts";
import { SHORTAGE_INTERVAL_MS, SLOT_TERM_MS } from "./lease_timing.ts";

/** The node's own worker, as its backend server registered it. */
export interface LocalWorker {
  readonly service: string;
  /** host:port of the backend server. */
  readonly address: string;
  readonly slots: number;
  readonly connectionLimit: number;
  /** Time over which a cold worker's offer grows to all slots. */
  readonly warmUpMs: number;
  readonly state: "serving" | "draining";
}

/** Options of {@linkcode SlotLeaseOwner}. */
export interface SlotLeaseOwnerOptions {
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  /** Weight of an organisation, above 0. */
  readonly weight: (organisation: string) => number;
  /** Demand of forwarded calls and of the node's own calls. */
  readonly ownDemands: () => readonly DemandEntry[];
  /** Admission threshold of the worker's service, sent to holders. */
  readonly threshold: () => number;
  /** Is called when own calls may have a free slot. */
  readonly onAvailable: () => void;
  /** Is called with the calls that a holder started since its last report. */
  readonly onCalls: (calls: number) => void;
  /** Whether the limit follows observed durations; true if absent. */
  readonly adaptive?: boolean;
}

/** Share of the slots that is never leased and serves forwarded calls. */
const RESERVE_SHARE = 0.1;

/**
 * Time after which indivisible slots move on to other holders. Each move leaves
 * slots unused until the earlier holder has confirmed it.
 */
const ROTATION_MS = 5_000;

/** Share of the slots that a cold worker offers at first. */
const COLD_SHARE = 0.1;

/**
 * Grants the slots of the node's own worker to other nodes in terms of 2 s.
 * The slots that holders may use and those in use by the node itself never
 * exceed the offer, because a reduced share counts in full until its holder has
 * confirmed it or its term has ended.
 */
export class SlotLeaseOwner {
  readonly #options: SlotLeaseOwnerOptions;
  readonly #startedAt: number;
  readonly #ledger = new LeaseLedger(SLOT_TERM_MS);
  readonly #limit = new AdaptiveLimit();
  readonly #closing = new AbortController();
  readonly #removeHandler: () => void;
  #worker: LocalWorker | undefined;
  #servingSince = 0;
  #ownRunning = 0;
  #dueSlots: ReadonlyMap<string, number> = new Map();
  #epoch = 1n;
  #fences: { readonly epoch: bigint; readonly until: number }[] = [];
  #updateNumber = 0;
  #pushedThreshold = 512;
  #pushedAt = -Infinity;
  #pushScheduled = false;

  /** @param options Collaborators of the owner. */
  constructor(options: SlotLeaseOwnerOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#removeHandler = options.channel.onMessage(
      "leaseRequest",
      (request, sender) => {
        if (request.kind === LeaseKind.SLOTS) this.#receive(request, sender);
      },
    );
  }

  /** The worker; undefined while no backend server is registered. */
  get worker(): LocalWorker | undefined {
    return this.#worker;
  }

  /** Calls of the node itself that hold a slot. */
  get ownRunning(): number {
    return this.#ownRunning;
  }

  /**
   * Sets or renews the worker. A worker that drains or is gone loses all grants
   * at once; holders that miss the message stop at the end of their terms.
   *
   * @param worker The registration; undefined when it has expired.
   */
  setWorker(worker: LocalWorker | undefined): void {
    const now = this.#options.clock.now();
    const wasServing = this.#worker?.state === "serving";
    const replaced = this.#worker?.address !== worker?.address;
    this.#worker = worker;
    if (worker?.state === "serving") {
      if (!wasServing || replaced) {
        this.#servingSince = now;
        this.#limit.reset();
      }
      this.#options.onAvailable();
    } else if (wasServing) {
      this.#dueSlots = new Map();
      for (const holder of this.#ledger.holders()) this.#send(holder, 0);
    }
  }

  /** Lowest fencing token that the backend server still accepts. */
  lowestValidFencingToken(): string {
    const now = this.#options.clock.now();
    while (this.#fences.length > 0 && this.#fences[0]!.until <= now) {
      this.#fences.shift();
    }
    return this.#fence(this.#fences[0]?.epoch ?? this.#epoch);
  }

  /** Fencing token for a call of the node itself. */
  ownFence(): string {
    return this.#fence(this.#epoch);
  }

  /** Slots that the worker offers now, reserve included. */
  offeredSlots(): number {
    const worker = this.#worker;
    if (worker === undefined || worker.state !== "serving") return 0;
    const age = this.#options.clock.now() - this.#servingSince;
    const warmth = worker.warmUpMs <= 0
      ? 1
      : Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * age / worker.warmUpMs);
    const limit = this.#options.adaptive === false
      ? worker.slots
      : this.#limit.limit(worker.slots);
    return Math.max(1, Math.floor(Math.min(worker.slots * warmth, limit)));
  }

  /** Calls in progress: own ones and those that holders reported last. */
  inUse(): number {
    return this.#ownRunning + this.#ledger.inUse();
  }

  /** Slots that holders may use at this moment. */
  leasedSlots(): number {
    return this.#ledger.committed(this.#options.clock.now());
  }

  /** Slots that the node itself may take now. */
  ownFree(): number {
    const offered = this.offeredSlots();
    if (offered === 0) return 0;
    // Grants of an earlier incarnation of this node may be in use for one term.
    const usable = this.#starting() ? this.#reserve(offered) : offered;
    return usable - this.#claimedSlots(offered) - this.#ownRunning;
  }

  /** Slots that holders may use or are to be granted. */
  #claimedSlots(offered: number): number {
    const now = this.#options.clock.now();
    let claimed = 0;
    for (const holder of this.#ledger.holders()) {
      if (holder.until <= now) continue;
      const target = this.#dueSlots.get(holder.nodeId) ?? 0;
      claimed += Math.max(holder.committed(now), target);
    }
    // The targets leave the reserve free, but commitments may not yet.
    const most = Math.max(this.leasedSlots(), offered - this.#reserve(offered));
    return Math.min(claimed, most);
  }

  /** Takes a slot for a call of the node itself. */
  tryAcquire(): boolean {
    if (this.ownFree() < 1) return false;
    this.#ownRunning += 1;
    return true;
  }

  /**
   * Gives back a slot.
   *
   * @param durationMs Time of the call; undefined when it tells nothing about
   * the worker.
   */
  release(durationMs: number | undefined): void {
    this.#ownRunning -= 1;
    if (durationMs !== undefined) {
      this.#limit.record(durationMs, 1, this.#options.clock.now());
    }
    this.#grantFreed();
  }

  /** Grants a slot that the node itself has freed to a holder that lacks it. */
  #grantFreed(): void {
    const now = this.#options.clock.now();
    const targets = this.#dueSlots;
    for (const holder of this.#ledger.holders()) {
      if ((targets.get(holder.nodeId) ?? 0) <= holder.lastAmount) continue;
      const amount = this.#affordable(holder, targets, now);
      if (amount > holder.lastAmount) this.#sendSoon(holder, amount, now);
    }
  }

  /** Tells holders a changed threshold, at most every 50 ms. */
  pushThreshold(): void {
    if (this.#pushScheduled) return;
    if (this.#options.threshold() === this.#pushedThreshold) return;
    this.#pushScheduled = true;
    void this.#push();
  }

  /** Revokes all grants and stops answering. */
  close(): void {
    this.#removeHandler();
    this.setWorker(undefined);
    this.#closing.abort();
  }

  async #push(): Promise<void> {
    const { clock, channel } = this.#options;
    const wait = this.#pushedAt + SHORTAGE_INTERVAL_MS - clock.now();
    if (wait > 0) await clock.sleep(wait, this.#closing.signal);
    this.#pushScheduled = false;
    const threshold = this.#options.threshold();
    const worker = this.#worker;
    if (this.#closing.signal.aborted || worker === undefined) return;
    if (threshold === this.#pushedThreshold) return;
    this.#pushedThreshold = threshold;
    this.#pushedAt = clock.now();
    this.#updateNumber += 1;
    const value = create(PressureUpdateSchema, {
      ownerIncarnation: this.#options.members.self().incarnation,
      updateNumber: this.#updateNumber,
      threshold,
    });
    for (const holder of this.#ledger.holders()) {
      channel.send(holder.nodeId, { case: "pressureUpdate", value });
    }
  }

  #fence(epoch: bigint): string {
    return `${this.#options.members.self().incarnation}.${epoch}`;
  }

  #starting(): boolean {
    return this.#options.clock.now() - this.#startedAt < SLOT_TERM_MS;
  }

  #reserve(offered: number): number {
    return Math.max(1, Math.round(offered * RESERVE_SHARE));
  }

  #receive(request: LeaseRequest, sender: Member): void {
    const self = this.#options.members.self();
    if (request.ownerIncarnation !== self.incarnation) return;
    const now = this.#options.clock.now();
    const holder = this.#ledger.accept(request, sender, now);
    if (holder === undefined) return;
    const report = readDemands(request);
    if (report.calls > 0) {
      this.#options.onCalls(report.calls);
      this.#limit.record(report.meanDurationMs, report.calls, now);
    }
    this.#reallocate(holder);
  }

  #reallocate(asker: HolderRecord): void {
    const now = this.#options.clock.now();
    this.#ledger.expire(now);
    const targets = this.#targets(HEADROOM_RANK);
    // Own calls may use headroom of holders until it is granted.
    this.#dueSlots = this.#targets(HEADROOM_RANK - 1);
    // Reductions first, since they make room for the others.
    const others = this.#ledger.holders().filter((holder) => holder !== asker);
    for (const holder of others) {
      const target = targets.get(holder.nodeId) ?? 0;
      // Small corrections wait for the holder's next report.
      if (holder.lastAmount - target > Math.max(1, holder.lastAmount / 10)) {
        this.#sendSoon(holder, target, now);
      }
    }
    this.#send(asker, this.#affordable(asker, targets, now));
    for (const holder of others) {
      const amount = this.#affordable(holder, targets, now);
      if (amount - holder.lastAmount >= Math.max(1, holder.lastAmount / 10)) {
        this.#sendSoon(holder, amount, now);
      }
    }
    this.#options.onAvailable();
  }

  /** Slots that the allocation gives to each holder, at most to a rank. */
  #targets(mostRank: number): Map<string, number> {
    const offered = this.offeredSlots();
    if (offered === 0 || this.#starting()) return new Map();
    const self = this.#options.members.self().nodeId;
    const own = this.#options.ownDemands();
    const demands: HolderDemand[] = [
      ...this.#ledger.holders().flatMap((holder) =>
        holder.demands.map((demand) => ({ ...demand, holder: holder.nodeId }))
      ),
      ...own.map((demand) => ({ ...demand, holder: self })),
    ].filter((demand) => demand.priority <= mostRank);
    const reserve = this.#reserve(offered);
    const options = {
      weight: this.#options.weight,
      rotation: Math.floor(this.#options.clock.now() / ROTATION_MS),
    };
    const targets = allocate(offered, demands, options);
    const missing = reserve - (targets.get(self) ?? 0);
    targets.delete(self);
    const leased = [...targets.values()].reduce((sum, share) => sum + share, 0);
    const excess = leased - (offered - reserve);
    if (missing <= 0 || excess <= 0) return targets;
    return allocate(
      offered - reserve,
      demands.filter((demand) => demand.holder !== self),
      options,
    );
  }

  /** Target of a holder, as far as the commitments to others leave room. */
  #affordable(
    holder: HolderRecord,
    targets: ReadonlyMap<string, number>,
    now: number,
  ): number {
    const offered = this.offeredSlots();
    const target = targets.get(holder.nodeId) ?? 0;
    const others = this.#ledger.committed(now, holder);
    const room = offered - others -
      Math.max(this.#ownRunning, this.#reserve(offered));
    return Math.max(0, Math.min(target, room));
  }

  #sendSoon(holder: HolderRecord, amount: number, now: number): void {
    if (now - holder.lastSentAt < SHORTAGE_INTERVAL_MS) return;
    this.#send(holder, amount);
  }

  #send(holder: HolderRecord, amount: number): void {
    const now = this.#options.clock.now();
    this.#epoch += 1n;
    const grant: LeaseGrant = create(LeaseGrantSchema, {
      kind: LeaseKind.SLOTS,
      ownerIncarnation: this.#options.members.self().incarnation,
      requestNumber: holder.requestNumber,
      amount,
      connections: this.#connections(amount),
      termMilliseconds: SLOT_TERM_MS,
      epoch: this.#epoch,
      threshold: this.#options.threshold(),
    });
    holder.grant(this.#epoch, amount, now);
    this.#fences.push({ epoch: this.#epoch, until: now + SLOT_TERM_MS });
    if (this.#fences.length > 4_096) this.lowestValidFencingToken();
    this.#options.channel.send(holder.nodeId, {
      case: "leaseGrant",
      value: grant,
    });
  }

  #connections(amount: number): number {
    const worker = this.#worker;
    if (worker === undefined || amount === 0) return 0;
    const share = worker.connectionLimit * amount / worker.slots;
    return Math.max(1, Math.floor(share));
  }
}
