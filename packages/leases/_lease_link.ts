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

/** Requests whose send times are kept; at 50 ms each they span a term. */
const REMEMBERED_REQUESTS = 64;

/** Part of a long term after which the lease is renewed. */
const RENEWALS_PER_TERM = 8;

/** Lease as granted by an owner. */
export interface HeldLease {
  readonly ownerIncarnation: bigint;
  readonly epoch: bigint;
  readonly amount: number;
  readonly connections: number;
  readonly fence: string;
  /** End of the term, counted from when the request was sent. */
  readonly expiresAt: number;
}

/** Content of a request. */
export interface LeaseReport extends DemandReport {
  readonly inUse: number;
  /** Amount held from an earlier owner, while this one has granted nothing. */
  readonly inherited: number;
}

/** Options of {@linkcode LeaseLink}. */
export interface LeaseLinkOptions {
  readonly kind: LeaseKind;
  /** Organisation of a rate lease; empty for slots, as a node has one worker. */
  readonly resource: string;
  /** Node that grants. */
  readonly ownerId: string;
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  readonly report: () => LeaseReport;
  readonly onGrant: (grant: LeaseGrant) => void;
}

/**
 * Holder's end of a lease: one task that reports the demand every second,
 * repeats lost requests, and asks early on a shortage.
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

  /** Lease that is valid now, by the holder's own clock. */
  lease(): HeldLease | undefined {
    const lease = this.#lease;
    if (lease === undefined) return undefined;
    return this.#options.clock.now() < lease.expiresAt ? lease : undefined;
  }

  /** Sends a request as soon as 50 ms have passed since the last one. */
  ask(): void {
    this.#wake.abort();
  }

  /** Asks for more, at most every 50 ms and less often when it is in vain. */
  askForMore(): void {
    const now = this.#options.clock.now();
    if (now - this.#lastSentAt >= this.#shortageIntervalMs) this.ask();
  }

  /** Gives the lease back and ends the task. */
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
      // A lost message is repeated before the term ends.
      if (!signal.aborted && this.#answeredNumber === this.#requestNumber) {
        await clock.sleep(this.#intervalMs - ANSWER_TIMEOUT_MS, signal);
      }
      const early = this.#lastSentAt + SHORTAGE_INTERVAL_MS - clock.now();
      if (early > 0 && !this.#closed) await clock.sleep(early);
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
    this.#sentAt.delete(this.#requestNumber - REMEMBERED_REQUESTS);
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
      fence: `${grant.ownerIncarnation}.${grant.epoch}`,
      expiresAt: sentAt + grant.termMilliseconds,
    };
    this.#intervalMs = Math.max(
      DEMAND_INTERVAL_MS,
      grant.termMilliseconds / RENEWALS_PER_TERM,
    );
    const before = previous?.amount ?? 0;
    this.#shortageIntervalMs = grant.amount > before
      ? SHORTAGE_INTERVAL_MS
      : Math.min(DEMAND_INTERVAL_MS, this.#shortageIntervalMs * 2);
    // The owner can pass a withdrawn share on only after a confirmation.
    if (unsolicited && grant.amount < before) this.ask();
    this.#options.onGrant(grant);
  }
}
