import {
  type DemandEntry,
  HEADROOM_RANK,
  rankNodes,
} from "@oleanderdeck/leases";
import type { Candidate } from "@oleanderdeck/routing";
import type { Member } from "@oleanderdeck/protocol";
import type { AdmissionContext } from "./_admission_context.ts";
import type { AdmissionRequest } from "./admission_control.ts";
import { OPEN_THRESHOLD } from "./_shedding.ts";
import { type HeldSlot, tellingDuration, WorkerPool } from "./_worker_pool.ts";

/** Leases of one service; a node calls about three services. */
const MOST_LEASES = 8;

/** Time for which a peer worker without demand keeps its lease. */
const IDLE_LEASE_MS = 5_000;

/** Least workers that a demand is spread over, for a choice of two. */
const LEAST_WORKERS = 2;

/** Slots of a lease that are worth its control messages. */
const SLOTS_PER_LEASE = 2;

/** Standard deviations of a Poisson process for which there is headroom. */
const HEADROOM_DEVIATIONS = 2;

/** Most demand entries in a report, so that a request stays small. */
const MOST_ENTRIES = 6;

/** Takes a slot of the node's own worker. */
export function acquireOwn(context: AdmissionContext): HeldSlot | undefined {
  const { owner, members, onOwnSlot } = context;
  const worker = owner.worker;
  if (worker === undefined || !owner.tryAcquire()) return undefined;
  const self = members.self();
  return {
    target: {
      kind: "direct",
      nodeId: self.nodeId,
      incarnation: self.incarnation,
      address: worker.address,
      fence: owner.ownFence(),
    },
    release: (result) => {
      owner.release(tellingDuration(result));
      onOwnSlot();
    },
  };
}

interface PoolUse {
  readonly pool: WorkerPool;
  /** Last time at which the lease was wanted. */
  wantedAt: number;
}

/** Workers of one service as this node uses them. */
export class WorkerPools {
  readonly #context: AdmissionContext;
  readonly #service: string;
  readonly #demand: () => readonly DemandEntry[];
  readonly #onChange: () => void;
  readonly #pools = new Map<string, PoolUse>();
  #members: readonly Member[] | undefined;
  #preferred: readonly Member[] | undefined;

  /**
   * @param context Collaborators of the node.
   * @param service Name of the service.
   * @param uses Demand of the service on this node, the listener for changes.
   */
  constructor(context: AdmissionContext, service: string, uses: {
    readonly demand: () => readonly DemandEntry[];
    readonly onChange: () => void;
  }) {
    this.#context = context;
    this.#service = service;
    this.#demand = uses.demand;
    this.#onChange = uses.onChange;
  }

  /** Live nodes with a serving worker. */
  members(): readonly Member[] {
    this.#members ??= this.#context.members.servingMembers(this.#service);
    return this.#members;
  }

  /** Forgets the cached members after a change of membership. */
  refreshMembers(): void {
    this.#members = undefined;
    this.#preferred = undefined;
  }

  /** Slots that this node may use now. */
  slots(): number {
    let slots = 0;
    for (const member of this.members()) {
      slots += this.#isSelf(member)
        ? Math.max(0, this.#context.owner.ownFree())
        : this.#pools.get(member.nodeId)?.pool.heldSlots() ?? 0;
    }
    return slots;
  }

  /** Calls in progress on peers. */
  running(): number {
    let running = 0;
    for (const { pool } of this.#pools.values()) running += pool.running;
    return running;
  }

  /** Threshold of the service: that of the worker in use that admits most. */
  threshold(): number {
    let highest = 0;
    let used = false;
    for (const { pool } of this.#pools.values()) {
      if (!pool.inUse) continue;
      used = true;
      highest = Math.max(highest, pool.threshold());
    }
    return used ? highest : OPEN_THRESHOLD;
  }

  /**
   * Takes a slot for a call: leased or own if one is free, else a place for a
   * forwarded call.
   */
  acquire(
    request: AdmissionRequest,
    expectedWaitMs: number,
  ): HeldSlot | undefined {
    const members = this.members().filter((member) =>
      !request.excludedNodes.includes(member.nodeId)
    );
    const chosen = this.#select(members, expectedWaitMs, (member) => {
      if (this.#isSelf(member)) {
        const { owner } = this.#context;
        return { free: owner.ownFree(), slots: owner.offeredSlots() };
      }
      const { pool } = this.#use(member);
      return { free: pool.free(), slots: pool.heldSlots() };
    });
    if (chosen !== undefined) {
      const use = this.#pools.get(chosen.nodeId);
      const slot = use === undefined
        ? acquireOwn(this.#context)
        : use.pool.acquire();
      if (slot !== undefined) return slot;
    }
    this.#leaseMore();
    const peers = members.filter((member) => !this.#isSelf(member));
    const forward = this.#select(peers, expectedWaitMs, (member) => {
      const { pool } = this.#use(member);
      return { free: pool.freeForwards(), slots: pool.forwardSlots() };
    });
    return forward && this.#pools.get(forward.nodeId)?.pool.forward();
  }

  /** Reports a shortage to the owners of the workers in use. */
  reportShortage(): void {
    for (const { pool } of this.#pools.values()) pool.reportShortage();
  }

  /** Gives back leases of workers that are gone or not needed any more. */
  endInterval(now: number): void {
    const live = new Map(
      this.members().map((member) => [member.nodeId, member]),
    );
    for (const [nodeId, use] of this.#pools) {
      const member = live.get(nodeId);
      if (member !== undefined) use.pool.member = member;
      const idle = now - use.wantedAt > IDLE_LEASE_MS;
      if (use.pool.running > 0) continue;
      if (member === undefined || idle) use.pool.close();
      if (member === undefined) this.#pools.delete(nodeId);
    }
  }

  /** Whether no peer worker is in use. */
  get idle(): boolean {
    for (const { pool } of this.#pools.values()) if (pool.inUse) return false;
    return true;
  }

  /** Gives all leases back. */
  close(): void {
    for (const { pool } of this.#pools.values()) pool.close();
    this.#pools.clear();
  }

  /**
   * Part of the service's demand that one worker is asked for: an even part
   * over as many workers as the demand needs, in the own data centre if there
   * are any, and a part of what these do not give for the other workers.
   *
   * @param nodeId Node beside the worker.
   */
  demandFor(nodeId: string): readonly DemandEntry[] {
    const members = this.members();
    // A worker that has left is asked for nothing while its lease ends.
    if (!members.some((member) => member.nodeId === nodeId)) return [];
    const demand = this.#demand();
    const total = demand.reduce((sum, entry) => sum + entry.amount, 0);
    if (total === 0) return [];
    const wanted = total + HEADROOM_DEVIATIONS * Math.sqrt(total) + 1;
    const first = this.#firstWorkers(wanted);
    const even = wanted / first.length;
    const isFirst = first.some((member) => member.nodeId === nodeId);
    let given = 0;
    for (const member of isFirst ? first : members) {
      if (member.nodeId !== nodeId) given += this.#given(member, even);
    }
    const missing = Math.max(0, wanted - given);
    const others = members.length - first.length;
    const need = isFirst ? Math.max(even, missing) : missing / others;
    if (!isFirst && need < 1) return [];
    const use = this.#pools.get(nodeId);
    if (use !== undefined) use.wantedAt = this.#context.clock.now();
    return this.#scale(demand, need / wanted, need * (1 - total / wanted));
  }

  /** Workers that a demand is spread over first. */
  #firstWorkers(wanted: number): readonly Member[] {
    if (this.#preferred === undefined) {
      const { dataCentre, nodeId } = this.#context.members.self();
      const workers = this.members();
      const local = workers.filter((member) =>
        member.dataCentre === dataCentre
      );
      const preferred = local.length > 0 ? local : workers;
      const byId = new Map(preferred.map((member) => [member.nodeId, member]));
      // Each node prefers others, so that few callers do not share a worker.
      this.#preferred = rankNodes(nodeId, byId.keys(), preferred.length)
        .map((name) => byId.get(name)!);
    }
    const count = Math.max(LEAST_WORKERS, Math.ceil(wanted / SLOTS_PER_LEASE));
    return this.#preferred.slice(0, Math.min(count, MOST_LEASES));
  }

  /** Begins to lease slots of workers that the demand needs. */
  #leaseMore(): void {
    const now = this.#context.clock.now();
    let leases = 0;
    for (const { pool } of this.#pools.values()) if (pool.leased) leases += 1;
    for (const member of this.members()) {
      if (leases >= MOST_LEASES) return;
      if (this.#isSelf(member)) continue;
      const use = this.#use(member);
      if (use.pool.leased || this.demandFor(member.nodeId).length === 0) {
        continue;
      }
      use.wantedAt = now;
      use.pool.lease();
      leases += 1;
    }
  }

  #given(member: Member, expected: number): number {
    if (this.#isSelf(member)) return expected;
    const use = this.#pools.get(member.nodeId);
    if (use === undefined || !use.pool.leased) return expected;
    return use.pool.answered ? use.pool.heldSlots() : expected;
  }

  #scale(
    demand: readonly DemandEntry[],
    factor: number,
    headroom: number,
  ): DemandEntry[] {
    const entries = [...demand]
      .sort((left, right) => right.amount - left.amount)
      .slice(0, MOST_ENTRIES)
      .sort((left, right) => left.priority - right.priority);
    // Rounding the running total keeps the sum near the exact need.
    let exact = 0;
    let rounded = 0;
    const all = [
      ...entries.map((entry) => ({ ...entry, amount: entry.amount * factor })),
      { priority: HEADROOM_RANK, organisation: "", amount: headroom },
    ];
    return all.map((entry) => {
      exact += entry.amount;
      const amount = Math.ceil(exact - 1e-9) - rounded;
      rounded += amount;
      return { ...entry, amount };
    });
  }

  #isSelf(member: Member): boolean {
    return member.nodeId === this.#context.members.self().nodeId;
  }

  #use(member: Member): PoolUse {
    let use = this.#pools.get(member.nodeId);
    if (use === undefined) {
      const pool = new WorkerPool(this.#context, member, {
        demands: (nodeId) => this.demandFor(nodeId),
        onChange: this.#onChange,
      });
      use = { pool, wantedAt: this.#context.clock.now() };
      this.#pools.set(member.nodeId, use);
    }
    return use;
  }

  #select(
    members: readonly Member[],
    expectedLocalWaitMs: number,
    room: (member: Member) => { readonly free: number; readonly slots: number },
  ): Candidate | undefined {
    const { members: view, random, routing } = this.#context;
    const { dataCentre } = view.self();
    const candidates: Candidate[] = [];
    let localWorkers = false;
    for (const member of members) {
      if (member.dataCentre === dataCentre) localWorkers = true;
      const { free, slots } = room(member);
      if (free < 1) continue;
      candidates.push({
        nodeId: member.nodeId,
        dataCentre: member.dataCentre,
        free,
        slots,
        failureShare: this.#pools.get(member.nodeId)?.pool.failureShare() ?? 0,
        roundTripMs: view.roundTripMs(member.nodeId),
      });
    }
    if (candidates.length === 0) return undefined;
    return routing.select(candidates, {
      dataCentre,
      localWorkers,
      expectedLocalWaitMs,
      random,
    });
  }
}
