import {
  type DemandEntry,
  HEADROOM_RANK,
  rankNodes,
} from "@oleanderdeck/leases";
import type { Candidate } from "@oleanderdeck/routing";
import type { Member } from "@oleanderdeck/protocol";
import type { AdmissionContext } from "./_admission_context.ts";
import type { AdmissionRequest } from "./admission_control.ts";
import { ADMIT_ALL_THRESHOLD } from "./_shedding.ts";
import { type HeldSlot, PeerWorker, workerDurationMs } from "./_peer_worker.ts";

/** Maximum leases per service. A node calls about three services. */
const MAX_LEASES = 8;

/** Time without demand after which the lease on a peer worker is released. */
const IDLE_LEASE_MS = 5_000;

/** Minimum workers that demand is spread over, so that routing has a choice. */
const MIN_WORKERS = 2;

/** Slots per lease that justify the cost of its control messages. */
const SLOTS_PER_LEASE = 2;

/** Headroom, in standard deviations of a Poisson process. */
const HEADROOM_DEVIATIONS = 2;

/** Maximum demand entries per report, which limits the size of the message. */
const MAX_DEMAND_ENTRIES = 6;

/** Acquires a slot of the node's own worker; undefined if none is free. */
export function acquireOwnSlot(
  context: AdmissionContext,
): HeldSlot | undefined {
  const { owner, members, onOwnSlotReleased } = context;
  const worker = owner.worker;
  if (worker === undefined || !owner.tryAcquire()) return undefined;
  const self = members.self();
  return {
    target: {
      kind: "direct",
      nodeId: self.nodeId,
      incarnation: self.incarnation,
      address: worker.address,
      fence: owner.ownFencingToken(),
    },
    release: (result) => {
      owner.release(workerDurationMs(result));
      onOwnSlotReleased();
    },
  };
}

/** Peer worker and the last use of its lease. */
interface PeerEntry {
  readonly peer: PeerWorker;
  /** Last time at which there was demand for the lease. */
  lastWantedAt: number;
}

/** Workers of one service, with the slots that this node may use of each. */
export class ServiceWorkers {
  readonly #context: AdmissionContext;
  readonly #service: string;
  readonly #demand: () => readonly DemandEntry[];
  readonly #onChange: () => void;
  readonly #peers = new Map<string, PeerEntry>();
  #members: readonly Member[] | undefined;
  #rankedMembers: readonly Member[] | undefined;

  /**
   * @param context Collaborators of the node.
   * @param service Name of the service.
   * @param options Demand for the service on this node, and a listener for
   * changes of slots or thresholds.
   */
  constructor(context: AdmissionContext, service: string, options: {
    readonly demand: () => readonly DemandEntry[];
    readonly onChange: () => void;
  }) {
    this.#context = context;
    this.#service = service;
    this.#demand = options.demand;
    this.#onChange = options.onChange;
  }

  /** Returns the live nodes with a serving worker of the service. */
  members(): readonly Member[] {
    this.#members ??= this.#context.members.servingMembers(this.#service);
    return this.#members;
  }

  /** Clears the cached members after a change of membership. */
  refreshMembers(): void {
    this.#members = undefined;
    this.#rankedMembers = undefined;
  }

  /** Returns the sum of the leased slots and the own worker's free slots. */
  slots(): number {
    let slots = 0;
    for (const member of this.members()) {
      slots += this.#isSelf(member)
        ? Math.max(0, this.#context.owner.ownFreeSlots())
        : this.#peers.get(member.nodeId)?.peer.heldSlots() ?? 0;
    }
    return slots;
  }

  /** Returns the number of calls in progress on peer workers. */
  running(): number {
    let running = 0;
    for (const { peer } of this.#peers.values()) running += peer.running;
    return running;
  }

  /**
   * Returns the threshold of the service, which is the highest among the peer
   * workers in use.
   */
  threshold(): number {
    let highest = 0;
    let used = false;
    for (const { peer } of this.#peers.values()) {
      if (!peer.inUse) continue;
      used = true;
      highest = Math.max(highest, peer.threshold());
    }
    return used ? highest : ADMIT_ALL_THRESHOLD;
  }

  /**
   * Acquires a slot for a call: an own or leased slot if routing selects one,
   * otherwise a place for a forwarded call.
   *
   * @param request The attempt.
   * @param expectedWaitMs Expected wait for a slot, in milliseconds.
   * @returns The slot; undefined if the attempt must wait.
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
        return { freeSlots: owner.ownFreeSlots(), slots: owner.offeredSlots() };
      }
      const { peer } = this.#entry(member);
      return { freeSlots: peer.freeSlots(), slots: peer.heldSlots() };
    });
    if (chosen !== undefined) {
      const entry = this.#peers.get(chosen.nodeId);
      const slot = entry === undefined
        ? acquireOwnSlot(this.#context)
        : entry.peer.acquire();
      if (slot !== undefined) return slot;
    }
    this.#leaseMore();
    const peers = members.filter((member) => !this.#isSelf(member));
    const forward = this.#select(peers, expectedWaitMs, (member) => {
      const { peer } = this.#entry(member);
      return { freeSlots: peer.freeForwards(), slots: peer.maxForwards() };
    });
    return forward && this.#peers.get(forward.nodeId)?.peer.forward();
  }

  /** Reports a shortage of slots to the owners of all leases. */
  reportShortage(): void {
    for (const { peer } of this.#peers.values()) peer.reportShortage();
  }

  /**
   * Ends an interval: updates the member records and releases the leases on
   * workers that have left or are no longer needed.
   */
  endInterval(now: number): void {
    const live = new Map(
      this.members().map((member) => [member.nodeId, member]),
    );
    for (const [nodeId, entry] of this.#peers) {
      const member = live.get(nodeId);
      if (member !== undefined) entry.peer.member = member;
      const idle = now - entry.lastWantedAt > IDLE_LEASE_MS;
      if (entry.peer.running > 0) continue;
      if (member === undefined || idle) entry.peer.close();
      if (member === undefined) this.#peers.delete(nodeId);
    }
  }

  /** Whether no peer worker is in use. */
  get idle(): boolean {
    for (const { peer } of this.#peers.values()) if (peer.inUse) return false;
    return true;
  }

  /** Releases all leases. */
  close(): void {
    for (const { peer } of this.#peers.values()) peer.close();
    this.#peers.clear();
  }

  /**
   * Returns the part of the service's demand that is requested from one worker.
   * The demand is divided evenly over as many preferred workers as it needs,
   * which are in the own data centre if it has any. Slots that these do not
   * grant are requested from the other workers as well. The time of a demand is
   * recorded, so that its lease is kept.
   *
   * @param nodeId ID of the node beside the worker.
   */
  demandFor(nodeId: string): readonly DemandEntry[] {
    const members = this.members();
    // Nothing is requested from a worker that has left while its lease expires.
    if (!members.some((member) => member.nodeId === nodeId)) return [];
    const demand = this.#demand();
    const total = demand.reduce((sum, entry) => sum + entry.amount, 0);
    if (total === 0) return [];
    const wanted = total + HEADROOM_DEVIATIONS * Math.sqrt(total) + 1;
    const preferred = this.#preferredWorkers(wanted);
    const evenShare = wanted / preferred.length;
    const isPreferred = preferred.some((member) => member.nodeId === nodeId);
    let granted = 0;
    for (const member of isPreferred ? preferred : members) {
      if (member.nodeId !== nodeId) {
        granted += this.#grantedSlots(member, evenShare);
      }
    }
    const missing = Math.max(0, wanted - granted);
    const others = members.length - preferred.length;
    const need = isPreferred ? Math.max(evenShare, missing) : missing / others;
    if (!isPreferred && need < 1) return [];
    const entry = this.#peers.get(nodeId);
    if (entry !== undefined) entry.lastWantedAt = this.#context.clock.now();
    return this.#scaleDemand(
      demand,
      need / wanted,
      need * (1 - total / wanted),
    );
  }

  /** Returns the workers that the demand is requested from first. */
  #preferredWorkers(wanted: number): readonly Member[] {
    if (this.#rankedMembers === undefined) {
      const { dataCentre, nodeId } = this.#context.members.self();
      const workers = this.members();
      const local = workers.filter((member) =>
        member.dataCentre === dataCentre
      );
      const preferred = local.length > 0 ? local : workers;
      const byId = new Map(preferred.map((member) => [member.nodeId, member]));
      // The ranking differs by node, so that a small number of callers is
      // unlikely to share a worker.
      this.#rankedMembers = rankNodes(nodeId, byId.keys(), preferred.length)
        .map((name) => byId.get(name)!);
    }
    const count = Math.max(MIN_WORKERS, Math.ceil(wanted / SLOTS_PER_LEASE));
    return this.#rankedMembers.slice(0, Math.min(count, MAX_LEASES));
  }

  /** Starts to lease slots of further workers for which there is demand. */
  #leaseMore(): void {
    const now = this.#context.clock.now();
    let leases = 0;
    for (const { peer } of this.#peers.values()) if (peer.leased) leases += 1;
    for (const member of this.members()) {
      if (leases >= MAX_LEASES) return;
      if (this.#isSelf(member)) continue;
      const entry = this.#entry(member);
      if (entry.peer.leased || this.demandFor(member.nodeId).length === 0) {
        continue;
      }
      entry.lastWantedAt = now;
      entry.peer.lease();
      leases += 1;
    }
  }

  /**
   * Returns the slots that a worker contributes to the demand: those leased
   * once the owner has answered, the expected number before.
   */
  #grantedSlots(member: Member, expected: number): number {
    if (this.#isSelf(member)) return expected;
    const entry = this.#peers.get(member.nodeId);
    if (entry === undefined || !entry.peer.leased) return expected;
    return entry.peer.ownerAnswered ? entry.peer.heldSlots() : expected;
  }

  /**
   * Scales the largest demand entries to the part for one worker, as whole
   * slots, and adds an entry for headroom.
   */
  #scaleDemand(
    demand: readonly DemandEntry[],
    factor: number,
    headroom: number,
  ): DemandEntry[] {
    const entries = [...demand]
      .sort((left, right) => right.amount - left.amount)
      .slice(0, MAX_DEMAND_ENTRIES)
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

  /** Returns the entry of a peer worker, which is added if there is none. */
  #entry(member: Member): PeerEntry {
    let entry = this.#peers.get(member.nodeId);
    if (entry === undefined) {
      const peer = new PeerWorker(this.#context, member, {
        demands: (nodeId) => this.demandFor(nodeId),
        onChange: this.#onChange,
      });
      entry = { peer, lastWantedAt: this.#context.clock.now() };
      this.#peers.set(member.nodeId, entry);
    }
    return entry;
  }

  /** Selects a member with free capacity; undefined if waiting is better. */
  #select(
    members: readonly Member[],
    expectedLocalWaitMs: number,
    capacityOf: (
      member: Member,
    ) => { readonly freeSlots: number; readonly slots: number },
  ): Candidate | undefined {
    const { members: view, random, routing } = this.#context;
    const { dataCentre } = view.self();
    const candidates: Candidate[] = [];
    let hasLocalWorkers = false;
    for (const member of members) {
      if (member.dataCentre === dataCentre) hasLocalWorkers = true;
      const { freeSlots, slots } = capacityOf(member);
      if (freeSlots < 1) continue;
      candidates.push({
        nodeId: member.nodeId,
        dataCentre: member.dataCentre,
        freeSlots,
        slots,
        failureShare: this.#peers.get(member.nodeId)?.peer.failureShare() ?? 0,
        roundTripMs: view.roundTripMs(member.nodeId),
      });
    }
    if (candidates.length === 0) return undefined;
    return routing.select(candidates, {
      dataCentre,
      hasLocalWorkers,
      expectedLocalWaitMs,
      random,
    });
  }
}
