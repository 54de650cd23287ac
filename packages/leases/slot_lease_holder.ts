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

/** Threshold that admits all levels. */
const OPEN_THRESHOLD = 512;

/** Options of {@linkcode SlotLeaseHolder}. */
export interface SlotLeaseHolderOptions {
  /** Node beside the worker. */
  readonly nodeId: string;
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  /** Demand for slots of this worker. */
  readonly demands: () => readonly DemandEntry[];
  /** Is called when slots or the threshold have changed. */
  readonly onChange: () => void;
}

/**
 * Slots of one peer worker that this node may use. One task per worker reports
 * the demand and renews the lease; the term ends by the holder's own clock, so
 * a paused process uses nothing when it resumes.
 */
export class SlotLeaseHolder {
  readonly #options: SlotLeaseHolderOptions;
  readonly #link: LeaseLink;
  readonly #removeHandler: () => void;
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
    return this.#link.answered;
  }

  /** Slots of the lease that is valid now. */
  heldSlots(): number {
    const lease = this.#link.lease();
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
    const lease = this.#link.lease();
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
    if (durationMs !== undefined) {
      this.#calls += 1;
      this.#totalDurationMs += durationMs;
    }
    // The owner counts the slots beyond a reduced share until it hears of them.
    if (this.#inUse === this.#confirmAt) {
      this.#confirmAt = undefined;
      this.#link.ask();
    }
  }

  /** Reports the demand now, at most every 50 ms, less often in vain. */
  reportShortage(): void {
    this.#link.askForMore();
  }

  /** Stops using the worker and gives the lease back. */
  close(): void {
    this.#link.close();
    this.#removeHandler();
  }

  #confirmAt: number | undefined;

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
    this.#confirmAt = this.#inUse > grant.amount ? grant.amount : undefined;
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
