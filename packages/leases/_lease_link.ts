import { create } from "@bufbuild/protobuf";
import {
  type LeaseGrant,
  type LeaseKind,
  LeaseRequestSchema,
} from "@oleanderdeck/protocol";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import type { Clock } from "@oleanderdeck/settings";
import { type DemandReport, writeDemands } from "./lease_demand.ts";
import {
  ANSWER_TIMEOUT_MS,
  DEMAND_INTERVAL_MS,
  SHORTAGE_INTERVAL_MS,
} from "./lease_timing.ts";

/**
 * Number of requests whose send times are kept. With a request every 50 ms they
 * cover the term of a slot lease.
 */
const MAX_TRACKED_REQUESTS = 64;

/** Renewals of a lease within its term, if the term is long. */
const RENEWALS_PER_TERM = 8;

/** A lease that an owner has granted to this node. */
export interface HeldLease {
  readonly ownerIncarnation: bigint;
  /** Number of the grant, which increases with each grant of the owner. */
  readonly epoch: bigint;
  readonly amount: number;
  /** Connections that the holder may open to the worker's backend server. */
  readonly connections: number;
  /**
   * Owner's incarnation and epoch, sent with each call so that the backend
   * server can refuse calls under an expired lease.
   */
  readonly fencingToken: string;
  /**
   * Time at which the lease expires, on the holder's clock. The term starts
   * when the request is sent, so that the lease ends here before it does at the
   * owner.
   */
  readonly expiresAt: number;
}

/** State of the holder that a lease request reports. */
export interface LeaseReport extends DemandReport {
  readonly inUse: number;
  /** Amount held from an earlier owner; reported until this owner grants. */
  readonly inherited: number;
}

/** Options of {@linkcode LeaseLink}. */
export interface LeaseLinkOptions {
  readonly kind: LeaseKind;
  /**
   * Organisation of a rate lease; empty for slots, since a node has only one
   * worker.
   */
  readonly resource: string;
  /** Node that grants the lease. */
  readonly ownerId: string;
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  /** Returns the content of the next request; called once per request. */
  readonly report: () => LeaseReport;
  /** Called when a new grant has been stored. */
  readonly onGrant: (grant: LeaseGrant) => void;
}

/**
 * Requests one lease from its owner: a task reports the demand every second or,
 * for long terms, eight times per term. It sends a request again if no answer
 * arrives, and sends one early on a shortage.
 */
export class LeaseLink {
  readonly #options: LeaseLinkOptions;
  readonly #sentAt = new Map<number, number>();
  readonly #removeHandler: () => void;
  #wake = new AbortController();
  #closed = false;
  #requestNumber = 0;
  #answeredNumber = 0;
  #lastSentAt = -Infinity;
  #shortageIntervalMs = SHORTAGE_INTERVAL_MS;
  #intervalMs = DEMAND_INTERVAL_MS;
  #lease: HeldLease | undefined;

  constructor(options: LeaseLinkOptions) {
    this.#options = options;
    this.#removeHandler = options.channel.onMessage(
      "leaseGrant",
      (grant, sender) => {
        if (
          grant.kind === options.kind && grant.resource === options.resource &&
          sender.nodeId === options.ownerId
        ) this.#receive(grant);
      },
    );
    void this.#run();
  }

  /** Whether the owner has answered a request. */
  get answered(): boolean {
    return this.#answeredNumber > 0;
  }

  /** The lease if it is still valid on the holder's clock. */
  lease(): HeldLease | undefined {
    const lease = this.#lease;
    if (lease === undefined) return undefined;
    return this.#options.clock.now() < lease.expiresAt ? lease : undefined;
  }

  /** Sends a request once at least 50 ms have passed since the last one. */
  requestSoon(): void {
    this.#wake.abort();
  }

  /**
   * Requests a larger amount, at most every 50 ms. The interval doubles, up to
   * the usual one, with each grant that brings no increase.
   */
  requestMore(): void {
    const now = this.#options.clock.now();
    if (now - this.#lastSentAt >= this.#shortageIntervalMs) this.requestSoon();
  }

  /** Returns the lease to the owner and ends the task. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#request();
    this.#lease = undefined;
    this.#removeHandler();
    this.#wake.abort();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#closed) {
      this.#request();
      this.#wake = new AbortController();
      const { signal } = this.#wake;
      await clock.sleep(ANSWER_TIMEOUT_MS, signal);
      // Without an answer the request is sent again right away, so that a lost
      // message does not end the lease.
      if (!signal.aborted && this.#answeredNumber === this.#requestNumber) {
        await clock.sleep(this.#intervalMs - ANSWER_TIMEOUT_MS, signal);
      }
      const remainingMs = this.#lastSentAt + SHORTAGE_INTERVAL_MS - clock.now();
      if (remainingMs > 0 && !this.#closed) await clock.sleep(remainingMs);
    }
  }

  #request(): void {
    const { channel, clock, kind, members, ownerId } = this.#options;
    const owner = members.find(ownerId);
    if (owner === undefined) return;
    const report = this.#options.report();
    const lease = this.lease();
    const held = lease?.ownerIncarnation === owner.incarnation
      ? lease
      : undefined;
    this.#requestNumber += 1;
    this.#lastSentAt = clock.now();
    this.#sentAt.set(this.#requestNumber, this.#lastSentAt);
    this.#sentAt.delete(this.#requestNumber - MAX_TRACKED_REQUESTS);
    channel.send(ownerId, {
      case: "leaseRequest",
      value: create(LeaseRequestSchema, {
        kind,
        resource: this.#options.resource,
        ownerIncarnation: owner.incarnation,
        holderIncarnation: members.self().incarnation,
        requestNumber: this.#requestNumber,
        inUse: report.inUse,
        ...writeDemands(this.#closed ? { ...report, demands: [] } : report),
        heldEpoch: held?.epoch ?? 0n,
        heldAmount: this.#closed ? 0 : held?.amount ?? report.inherited,
      }),
    });
  }

  #receive(grant: LeaseGrant): void {
    const { members, ownerId } = this.#options;
    const sentAt = this.#sentAt.get(grant.requestNumber);
    if (sentAt === undefined) return;
    if (members.find(ownerId)?.incarnation !== grant.ownerIncarnation) return;
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
      fencingToken: `${grant.ownerIncarnation}.${grant.epoch}`,
      expiresAt: sentAt + grant.termMilliseconds,
    };
    this.#intervalMs = Math.max(
      DEMAND_INTERVAL_MS,
      grant.termMilliseconds / RENEWALS_PER_TERM,
    );
    const previousAmount = previous?.amount ?? 0;
    this.#shortageIntervalMs = grant.amount > previousAmount
      ? SHORTAGE_INTERVAL_MS
      : Math.min(DEMAND_INTERVAL_MS, this.#shortageIntervalMs * 2);
    // The owner cannot grant a withdrawn share to others until this holder has
    // confirmed the reduction.
    if (unsolicited && grant.amount < previousAmount) this.requestSoon();
    this.#options.onGrant(grant);
  }
}
