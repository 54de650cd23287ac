import {
  type LeaseGrant,
  LeaseKind,
  type PressureUpdate,
} from "@oleanderdeck/protocol";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import type { Clock } from "@oleanderdeck/settings";
import { LeaseLink } from "./_lease_link.ts";
import type { DemandEntry } from "./lease_demand.ts";
import { SLOT_TERM_MS } from "./lease_timing.ts";

/** Admission threshold that admits calls of all priorities and shed keys. */
const ADMIT_ALL_THRESHOLD = 512;

/** Options of {@linkcode SlotLeaseHolder}. */
export interface SlotLeaseHolderOptions {
  /** Node of the worker's host, which owns the lease. */
  readonly nodeId: string;
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  /** Returns the current demand for slots of this worker. */
  readonly demands: () => readonly DemandEntry[];
  /** Called when the slots or the admission threshold may have changed. */
  readonly onChange: () => void;
}

/**
 * Slots of another node's worker that this node may use. One task per worker
 * reports the demand and renews the lease. The lease expires on the holder's
 * own clock, so a process that was paused for a term uses no slots when it
 * resumes.
 */
export class SlotLeaseHolder {
  readonly #options: SlotLeaseHolderOptions;
  readonly #link: LeaseLink;
  readonly #removeHandler: () => void;
  #inUse = 0;
  #calls = 0;
  #totalDurationMs = 0;
  #threshold = ADMIT_ALL_THRESHOLD;
  #thresholdUntil = 0;
  #updateNumber = 0;
  #updateIncarnation = 0n;

  /** @param options Collaborators of the holder. */
  constructor(options: SlotLeaseHolderOptions) {
    this.#options = options;
    this.#link = new LeaseLink({
      ...options,
      kind: LeaseKind.SLOTS,
      resource: "",
      ownerId: options.nodeId,
      report: () => this.#report(),
      onGrant: (grant) => this.#receiveGrant(grant),
    });
    this.#removeHandler = options.channel.onMessage(
      "pressureUpdate",
      (update, sender) => {
        if (sender.nodeId === options.nodeId) this.#receivePressure(update);
      },
    );
  }

  /** Node of the worker's host, which owns the lease. */
  get nodeId(): string {
    return this.#options.nodeId;
  }

  /** Calls in progress on leased slots. */
  get inUse(): number {
    return this.#inUse;
  }

  /** Whether the owner has answered a request. */
  get ownerAnswered(): boolean {
    return this.#link.answered;
  }

  /**
   * Slots of the current lease, at most one per granted connection;
   * 0 without a lease.
   */
  heldSlots(): number {
    const lease = this.#link.lease();
    if (lease === undefined) return 0;
    return Math.min(lease.amount, lease.connections);
  }

  /** Slots of the current lease that are not in use. */
  freeSlots(): number {
    return Math.max(0, this.heldSlots() - this.#inUse);
  }

  /**
   * Admission threshold received last from the owner; 512, which admits all
   * calls, if it has expired.
   */
  threshold(): number {
    return this.#options.clock.now() < this.#thresholdUntil
      ? this.#threshold
      : ADMIT_ALL_THRESHOLD;
  }

  /**
   * Acquires a slot.
   *
   * @returns The fencing token of the lease; undefined if no slot is free.
   */
  tryAcquire(): string | undefined {
    const lease = this.#link.lease();
    if (lease === undefined) return undefined;
    if (this.#inUse >= Math.min(lease.amount, lease.connections)) {
      return undefined;
    }
    this.#inUse += 1;
    return lease.fencingToken;
  }

  /**
   * Releases a slot.
   *
   * @param durationMs Duration of the call in milliseconds; undefined if it
   * says nothing about the worker.
   */
  release(durationMs: number | undefined): void {
    this.#inUse -= 1;
    if (durationMs !== undefined) {
      this.#calls += 1;
      this.#totalDurationMs += durationMs;
    }
    // After a reduction, the owner counts the slots in use beyond the new grant
    // until a request reports that they are free.
    if (this.#inUse === this.#confirmAtInUse) {
      this.#confirmAtInUse = undefined;
      this.#link.requestSoon();
    }
  }

  /**
   * Reports the demand early, at most every 50 ms, and less often while grants
   * bring no increase.
   */
  reportShortage(): void {
    this.#link.requestMore();
  }

  /** Stops using the worker and returns the lease to the owner. */
  close(): void {
    this.#link.close();
    this.#removeHandler();
  }

  /**
   * Number of slots in use at which a reduction is confirmed to the owner;
   * undefined if no reduction is pending.
   */
  #confirmAtInUse: number | undefined;

  #report() {
    const report = {
      demands: this.#options.demands(),
      calls: this.#calls,
      meanDurationMs: this.#calls === 0
        ? 0
        : this.#totalDurationMs / this.#calls,
      inUse: this.#inUse,
      inherited: 0,
    };
    this.#calls = 0;
    this.#totalDurationMs = 0;
    return report;
  }

  #receiveGrant(grant: LeaseGrant): void {
    this.#confirmAtInUse = this.#inUse > grant.amount
      ? grant.amount
      : undefined;
    this.#threshold = grant.threshold;
    this.#thresholdUntil = this.#options.clock.now() + grant.termMilliseconds;
    this.#options.onChange();
  }

  #receivePressure(update: PressureUpdate): void {
    if (update.ownerIncarnation < this.#updateIncarnation) return;
    if (update.ownerIncarnation > this.#updateIncarnation) {
      this.#updateIncarnation = update.ownerIncarnation;
      this.#updateNumber = 0;
    }
    if (update.updateNumber <= this.#updateNumber) return;
    this.#updateNumber = update.updateNumber;
    this.#threshold = update.threshold;
    this.#thresholdUntil = this.#options.clock.now() + SLOT_TERM_MS;
    this.#options.onChange();
  }
}
