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

/** The worker on this node's host, as registered by its backend server. */
export interface LocalWorker {
  readonly service: string;
  /** Address of the backend server as `host:port`. */
  readonly address: string;
  readonly slots: number;
  readonly connectionLimit: number;
  /**
   * Time in milliseconds over which the offer of a newly started worker grows
   * to all slots.
   */
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
  /**
   * Returns the demand of calls forwarded to this node and of its own calls.
   */
  readonly ownDemands: () => readonly DemandEntry[];
  /** Returns the admission threshold of the worker's service. */
  readonly threshold: () => number;
  /** Called when a slot may have become free for calls of this node. */
  readonly onAvailable: () => void;
  /** Called with the number of completed calls that a holder reports. */
  readonly onCalls: (calls: number) => void;
  /** Whether the offer follows the observed durations; true if absent. */
  readonly adaptive?: boolean;
}

/** Share of the slots that is never leased, and is used for forwarded calls. */
const RESERVE_SHARE = 0.1;

/**
 * Time after which indivisible slots pass to other holders. With each change,
 * slots stay unused until their former holder has confirmed the reduction.
 */
const ROTATION_MS = 5_000;

/** Share of the slots that a worker offers at the start of its warm-up. */
const COLD_SHARE = 0.1;

/**
 * Grants the slots of this node's worker to other nodes for terms of 2 s. The
 * slots that holders may use and those that this node uses never exceed the
 * offered slots together, because a grant counts in full until its holder has
 * confirmed a reduction or its term has ended.
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
  /** Allocated slots of each holder for its calls, without headroom. */
  #targetsWithoutHeadroom: ReadonlyMap<string, number> = new Map();
  #epoch = 1n;
  /** Epochs of the grants, oldest first, with the ends of their terms. */
  #grantedEpochs: { readonly epoch: bigint; readonly expiresAt: number }[] = [];
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

  /** Number of slots in use by this node. */
  get ownRunning(): number {
    return this.#ownRunning;
  }

  /**
   * Sets or renews the worker. If it drains or is gone, all grants are revoked
   * at once; holders that do not receive the message stop when their terms end.
   *
   * @param worker The registered worker; undefined if its registration expired.
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
      this.#targetsWithoutHeadroom = new Map();
      for (const holder of this.#ledger.holders()) this.#send(holder, 0);
    }
  }

  /**
   * Lowest fencing token that the backend server still accepts; lower ones
   * belong to grants whose terms have ended.
   */
  lowestValidFencingToken(): string {
    const now = this.#options.clock.now();
    while (
      this.#grantedEpochs.length > 0 && this.#grantedEpochs[0]!.expiresAt <= now
    ) {
      this.#grantedEpochs.shift();
    }
    return this.#fencingToken(this.#grantedEpochs[0]?.epoch ?? this.#epoch);
  }

  /** Fencing token for calls that this node sends to its own worker. */
  ownFencingToken(): string {
    return this.#fencingToken(this.#epoch);
  }

  /** Slots that the worker offers now, including the reserve. */
  offeredSlots(): number {
    const worker = this.#worker;
    if (worker === undefined || worker.state !== "serving") return 0;
    const servingMs = this.#options.clock.now() - this.#servingSince;
    const warmUpShare = worker.warmUpMs <= 0 ? 1 : Math.min(
      1,
      COLD_SHARE + (1 - COLD_SHARE) * servingMs / worker.warmUpMs,
    );
    const limit = this.#options.adaptive === false
      ? worker.slots
      : this.#limit.limit(worker.slots);
    return Math.max(1, Math.floor(Math.min(worker.slots * warmUpShare, limit)));
  }

  /** Slots in use: those of this node and those that holders last reported. */
  inUse(): number {
    return this.#ownRunning + this.#ledger.inUse();
  }

  /** Slots that holders may be using now. */
  leasedSlots(): number {
    return this.#ledger.committed(this.#options.clock.now());
  }

  /** Slots that this node may acquire now; below 1 if none is free. */
  ownFreeSlots(): number {
    const offered = this.offeredSlots();
    if (offered === 0) return 0;
    // For one term after the start, grants of this node's earlier incarnation
    // may still be in use.
    const usable = this.#isStarting() ? this.#reserve(offered) : offered;
    return usable - this.#claimedSlots(offered) - this.#ownRunning;
  }

  /** Slots that holders may be using or that are allocated to them. */
  #claimedSlots(offered: number): number {
    const now = this.#options.clock.now();
    let claimed = 0;
    for (const holder of this.#ledger.holders()) {
      if (holder.expiresAt <= now) continue;
      const target = this.#targetsWithoutHeadroom.get(holder.nodeId) ?? 0;
      claimed += Math.max(holder.committed(now), target);
    }
    // The allocation leaves the reserve free, but earlier grants may still
    // include it.
    const maxClaimed = Math.max(
      this.leasedSlots(),
      offered - this.#reserve(offered),
    );
    return Math.min(claimed, maxClaimed);
  }

  /**
   * Acquires a slot for a call that this node sends to its own worker.
   *
   * @returns Whether a slot was acquired.
   */
  tryAcquire(): boolean {
    if (this.ownFreeSlots() < 1) return false;
    this.#ownRunning += 1;
    return true;
  }

  /**
   * Releases a slot that this node acquired.
   *
   * @param durationMs Duration of the call in milliseconds; undefined if it
   * says nothing about the worker.
   */
  release(durationMs: number | undefined): void {
    this.#ownRunning -= 1;
    if (durationMs !== undefined) {
      this.#limit.record(durationMs, 1, this.#options.clock.now());
    }
    this.#grantFreedSlots();
  }

  /**
   * Grants slots that this node freed to holders that have less than allocated.
   */
  #grantFreedSlots(): void {
    const now = this.#options.clock.now();
    const targets = this.#targetsWithoutHeadroom;
    for (const holder of this.#ledger.holders()) {
      if ((targets.get(holder.nodeId) ?? 0) <= holder.lastAmount) continue;
      const amount = this.#grantableSlots(holder, targets, now);
      if (amount > holder.lastAmount) this.#sendIfDue(holder, amount, now);
    }
  }

  /**
   * Sends a changed admission threshold to all holders, at most every 50 ms.
   */
  pushThreshold(): void {
    if (this.#pushScheduled) return;
    if (this.#options.threshold() === this.#pushedThreshold) return;
    this.#pushScheduled = true;
    void this.#sendThreshold();
  }

  /** Revokes all grants and stops answering lease requests. */
  close(): void {
    this.#removeHandler();
    this.setWorker(undefined);
    this.#closing.abort();
  }

  async #sendThreshold(): Promise<void> {
    const { clock, channel } = this.#options;
    const waitMs = this.#pushedAt + SHORTAGE_INTERVAL_MS - clock.now();
    if (waitMs > 0) await clock.sleep(waitMs, this.#closing.signal);
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

  #fencingToken(epoch: bigint): string {
    return `${this.#options.members.self().incarnation}.${epoch}`;
  }

  /** Whether this node started less than one term ago. */
  #isStarting(): boolean {
    return this.#options.clock.now() - this.#startedAt < SLOT_TERM_MS;
  }

  /** Slots that are never leased. */
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

  #reallocate(requester: HolderRecord): void {
    const now = this.#options.clock.now();
    this.#ledger.expire(now);
    const targets = this.#targets(HEADROOM_RANK);
    // Calls of this node may use the headroom of holders until it is granted.
    this.#targetsWithoutHeadroom = this.#targets(HEADROOM_RANK - 1);
    // Reductions are sent first, since only they free slots for other holders.
    const others = this.#ledger.holders().filter((holder) =>
      holder !== requester
    );
    for (const holder of others) {
      const target = targets.get(holder.nodeId) ?? 0;
      // Small reductions are sent with the answer to the holder's next request.
      if (holder.lastAmount - target > Math.max(1, holder.lastAmount / 10)) {
        this.#sendIfDue(holder, target, now);
      }
    }
    this.#send(requester, this.#grantableSlots(requester, targets, now));
    for (const holder of others) {
      const amount = this.#grantableSlots(holder, targets, now);
      if (amount - holder.lastAmount >= Math.max(1, holder.lastAmount / 10)) {
        this.#sendIfDue(holder, amount, now);
      }
    }
    this.#options.onAvailable();
  }

  /**
   * Allocates the offered slots to the holders.
   *
   * @param maxRank Greatest rank of the demands that are considered.
   * @returns Slots by node id of the holder.
   */
  #targets(maxRank: number): Map<string, number> {
    const offered = this.offeredSlots();
    if (offered === 0 || this.#isStarting()) return new Map();
    const self = this.#options.members.self().nodeId;
    const own = this.#options.ownDemands();
    const demands: HolderDemand[] = [
      ...this.#ledger.holders().flatMap((holder) =>
        holder.demands.map((demand) => ({ ...demand, holder: holder.nodeId }))
      ),
      ...own.map((demand) => ({ ...demand, holder: self })),
    ].filter((demand) => demand.priority <= maxRank);
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

  /**
   * Slots that may be granted to a holder: its target, reduced to the slots
   * that neither this node nor other holders may be using.
   */
  #grantableSlots(
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

  /** Sends a grant unless one was sent to the holder within the last 50 ms. */
  #sendIfDue(holder: HolderRecord, amount: number, now: number): void {
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
    this.#grantedEpochs.push({
      epoch: this.#epoch,
      expiresAt: now + SLOT_TERM_MS,
    });
    if (this.#grantedEpochs.length > 4_096) this.lowestValidFencingToken();
    this.#options.channel.send(holder.nodeId, {
      case: "leaseGrant",
      value: grant,
    });
  }

  /** Connections that a holder may open, in proportion to its slots. */
  #connections(amount: number): number {
    const worker = this.#worker;
    if (worker === undefined || amount === 0) return 0;
    const share = worker.connectionLimit * amount / worker.slots;
    return Math.max(1, Math.floor(share));
  }
}
