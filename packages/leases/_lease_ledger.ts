import type { LeaseRequest, Member } from "@oleanderdeck/protocol";
import { type DemandEntry, readDemands } from "./lease_demand.ts";

/** A grant that a holder may still be using. */
interface OutstandingGrant {
  readonly epoch: bigint;
  readonly amount: number;
  /** Time on the owner's clock at which the term ends, in milliseconds. */
  readonly expiresAt: number;
}

/** State that an owner keeps for one holder: its reports and its grants. */
export class HolderRecord {
  readonly nodeId: string;
  readonly incarnation: bigint;
  demands: readonly DemandEntry[] = [];
  requestNumber = 0;
  /** Time at which the term of a grant for the last request ends. */
  expiresAt = 0;
  /** Amount of the last grant that was sent. */
  lastAmount = 0;
  /** Time at which the last grant was sent. */
  lastSentAt = -Infinity;
  #inUse = 0;
  #grants: readonly OutstandingGrant[];

  constructor(nodeId: string, incarnation: bigint, previous?: HolderRecord) {
    this.nodeId = nodeId;
    this.incarnation = incarnation;
    this.#grants = previous === undefined ? [] : previous.#grants;
  }

  /** Amount in use according to the holder's last report. */
  get inUse(): number {
    return this.#inUse;
  }

  /**
   * Greatest amount that the holder may be using: the amount in use that it
   * reported or the largest unexpired grant that may have reached it, whichever
   * is greater.
   */
  committed(now: number): number {
    let amount = this.expiresAt > now ? this.#inUse : 0;
    for (const grant of this.#grants) {
      if (grant.expiresAt > now && grant.amount > amount) amount = grant.amount;
    }
    return amount;
  }

  /**
   * Records a request, and drops or reduces the outstanding grants according to
   * the grant that the holder confirms.
   */
  accept(request: LeaseRequest, now: number, termMs: number): void {
    this.requestNumber = request.requestNumber;
    this.expiresAt = now + termMs;
    this.#inUse = request.inUse;
    this.demands = readDemands(request).demands;
    // A holder ignores grants older than the one that it holds.
    this.#grants = this.#grants
      .filter((grant) =>
        grant.expiresAt > now && grant.epoch >= request.heldEpoch
      )
      .map((grant) =>
        grant.epoch === request.heldEpoch
          ? { ...grant, amount: Math.min(grant.amount, request.heldAmount) }
          : grant
      );
  }

  /** Records a grant that is being sent. */
  grant(epoch: bigint, amount: number, now: number): void {
    this.lastAmount = amount;
    this.lastSentAt = now;
    this.#grants = [...this.#grants, {
      epoch,
      amount,
      expiresAt: this.expiresAt,
    }];
  }
}

/** Holders of one resource, with the amounts that they may be using. */
export class LeaseLedger {
  readonly #holders = new Map<string, HolderRecord>();
  #termMs: number;

  /** @param termMs Term of a grant in milliseconds. */
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

  get size(): number {
    return this.#holders.size;
  }

  holders(): HolderRecord[] {
    return [...this.#holders.values()];
  }

  /**
   * Records a request. A request of a newer incarnation of a holder starts a
   * new record, which keeps the grants of the earlier one until they expire.
   *
   * @returns The holder; undefined for a duplicate request or one that is out
   * of date.
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

  /** Removes holders whose terms have ended. */
  expire(now: number): void {
    for (const [nodeId, holder] of this.#holders) {
      if (holder.expiresAt <= now) this.#holders.delete(nodeId);
    }
  }

  /** Total amount in use according to the last report of each holder. */
  inUse(): number {
    let sum = 0;
    for (const holder of this.#holders.values()) sum += holder.inUse;
    return sum;
  }

  /** Total amount that holders may be using, without the holder `except`. */
  committed(now: number, except?: HolderRecord): number {
    let sum = 0;
    for (const holder of this.#holders.values()) {
      if (holder !== except) sum += holder.committed(now);
    }
    return sum;
  }
}
