import type { LeaseRequest, Member } from "@oleanderdeck/protocol";
import { type DemandEntry, readDemands } from "./lease_demand.ts";

/** Grant that a holder may still use. */
interface OutstandingGrant {
  readonly epoch: bigint;
  readonly amount: number;
  /** End of the term on the owner's clock. */
  readonly until: number;
}

/** What an owner knows about one holder. */
export class HolderRecord {
  readonly nodeId: string;
  readonly incarnation: bigint;
  demands: readonly DemandEntry[] = [];
  requestNumber = 0;
  /** End of the term that the last request may be granted. */
  until = 0;
  /** Amount of the last grant. */
  lastAmount = 0;
  lastSentAt = -Infinity;
  #inUse = 0;
  #grants: readonly OutstandingGrant[];

  constructor(nodeId: string, incarnation: bigint, earlier?: HolderRecord) {
    this.nodeId = nodeId;
    this.incarnation = incarnation;
    this.#grants = earlier === undefined ? [] : earlier.#grants;
  }

  /** Amount in use as the holder reported last. */
  get inUse(): number {
    return this.#inUse;
  }

  /** Amount that the holder may use, by any grant that may have reached it. */
  committed(now: number): number {
    let amount = this.until > now ? this.#inUse : 0;
    for (const grant of this.#grants) {
      if (grant.until > now && grant.amount > amount) amount = grant.amount;
    }
    return amount;
  }

  /** Takes over what a request confirms. */
  accept(request: LeaseRequest, now: number, termMs: number): void {
    this.requestNumber = request.requestNumber;
    this.until = now + termMs;
    this.#inUse = request.inUse;
    this.demands = readDemands(request).demands;
    // A holder ignores grants older than the one that it holds.
    this.#grants = this.#grants
      .filter((grant) => grant.until > now && grant.epoch >= request.heldEpoch)
      .map((grant) =>
        grant.epoch === request.heldEpoch
          ? { ...grant, amount: Math.min(grant.amount, request.heldAmount) }
          : grant
      );
  }

  /** Records a grant that is sent now. */
  grant(epoch: bigint, amount: number, now: number): void {
    this.lastAmount = amount;
    this.lastSentAt = now;
    this.#grants = [...this.#grants, { epoch, amount, until: this.until }];
  }
}

/** Holders of one resource and what they may use. */
export class LeaseLedger {
  readonly #holders = new Map<string, HolderRecord>();
  #termMs: number;

  /** @param termMs Term of a grant. */
  constructor(termMs: number) {
    this.#termMs = termMs;
  }

  /** Term of a grant in milliseconds. */
  get termMs(): number {
    return this.#termMs;
  }

  set termMs(termMs: number) {
    this.#termMs = termMs;
  }

  /** Number of holders. */
  get size(): number {
    return this.#holders.size;
  }

  /** All holders. */
  holders(): HolderRecord[] {
    return [...this.#holders.values()];
  }

  /**
   * Takes over a request.
   *
   * @returns The holder; undefined for a request that is out of date.
   */
  accept(
    request: LeaseRequest,
    sender: Member,
    now: number,
  ): HolderRecord | undefined {
    const { nodeId } = sender;
    let holder = this.#holders.get(nodeId);
    if (holder?.incarnation !== request.holderIncarnation) {
      if (holder && holder.incarnation > request.holderIncarnation) {
        return undefined;
      }
      holder = new HolderRecord(nodeId, request.holderIncarnation, holder);
      this.#holders.set(nodeId, holder);
    }
    if (request.requestNumber <= holder.requestNumber) return undefined;
    holder.accept(request, now, this.#termMs);
    return holder;
  }

  /** Forgets holders whose terms have ended. */
  expire(now: number): void {
    for (const [nodeId, holder] of this.#holders) {
      if (holder.until <= now) this.#holders.delete(nodeId);
    }
  }

  /** Amount in use as all holders reported last. */
  inUse(): number {
    let sum = 0;
    for (const holder of this.#holders.values()) sum += holder.inUse;
    return sum;
  }

  /** Amount that all holders may use, one of them left out if given. */
  committed(now: number, except?: HolderRecord): number {
    let sum = 0;
    for (const holder of this.#holders.values()) {
      if (holder !== except) sum += holder.committed(now);
    }
    return sum;
  }
}
