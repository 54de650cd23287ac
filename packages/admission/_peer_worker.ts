import { type DemandEntry, SlotLeaseHolder } from "@oleanderdeck/leases";
import type { ErrorKind } from "@oleanderdeck/errors";
import type { Member } from "@oleanderdeck/protocol";
import type { AdmissionContext } from "./_admission_context.ts";
import type { AttemptResult, CallTarget } from "./admission_control.ts";
import { FailureShare } from "./_estimates.ts";
import { ADMIT_ALL_THRESHOLD } from "./_shedding.ts";

/** Slot, or place for a forwarded call, that an attempt holds. */
export interface HeldSlot {
  readonly target: CallTarget;
  /** Releases the slot. Must be called once only. */
  release(result: AttemptResult): void;
}

/** Maximum concurrent forwarded calls to a worker without leased slots. */
const FORWARDS_WITHOUT_LEASE = 16;

/**
 * Maximum concurrent forwarded calls to a worker of which this node has leased
 * slots. Calls are forwarded when all of these are in use, so that the slots
 * that the worker reserves for forwarded calls do not stay idle.
 */
const FORWARDS_WITH_LEASE = 2;

/** Pause of forwarding after a serving node without capacity refused a call. */
const FORWARD_PAUSE_MS = 20;

/** Time for which a threshold received with a forwarded response is valid. */
const RESPONSE_THRESHOLD_VALIDITY_MS = 1_000;

/** Failures that are attributed to the worker or its link. */
const WORKER_FAILURES: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  "worker_refused",
  "connection_refused",
  "connection_lost",
  "answer_cut",
  "deadline_exceeded",
  "internal",
]);

/** Failures of a forwarded call that mean the serving node has no capacity. */
const NO_CAPACITY_FAILURES: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  "queue_full",
  "shed_low_priority",
  "downstream_pressure",
  "no_worker",
  "draining",
  "not_ready",
]);

/**
 * Returns the duration of a call if it says something about the speed of the
 * worker: that of a successful call or of one that exceeded its deadline.
 *
 * @param result Outcome of the call.
 * @returns The duration in milliseconds; undefined for other failures.
 */
export function workerDurationMs(result: AttemptResult): number | undefined {
  return result.failure === undefined || result.failure === "deadline_exceeded"
    ? result.durationMs
    : undefined;
}

/** Options of {@linkcode PeerWorker}. */
export interface PeerWorkerOptions {
  /** Returns the demand for slots of the worker beside a node. */
  readonly demands: (nodeId: string) => readonly DemandEntry[];
  /** Called when the leased slots or the threshold may have changed. */
  readonly onChange: () => void;
}

/** Worker beside another node, with this node's lease and calls in progress. */
export class PeerWorker {
  readonly #context: AdmissionContext;
  readonly #failures = new FailureShare();
  readonly #options: PeerWorkerOptions;
  #holder: SlotLeaseHolder | undefined;
  #member: Member;
  #forwards = 0;
  #forwardPausedUntil = 0;
  #responseThreshold = ADMIT_ALL_THRESHOLD;
  #responseThresholdUntil = 0;

  /**
   * @param context Collaborators of the node.
   * @param member Node beside the worker.
   * @param options Demand for slots and listener for changes.
   */
  constructor(
    context: AdmissionContext,
    member: Member,
    options: PeerWorkerOptions,
  ) {
    this.#context = context;
    this.#member = member;
    this.#options = options;
  }

  /** Whether there is a lease, valid or requested, or a forwarded call. */
  get inUse(): boolean {
    return this.#holder !== undefined || this.#forwards > 0;
  }

  /** Starts to lease slots, unless leases are switched off. */
  lease(): void {
    if (this.#holder !== undefined || !this.#context.mechanisms.leases) return;
    const { channel, clock, members } = this.#context;
    this.#holder = new SlotLeaseHolder({
      nodeId: this.#member.nodeId,
      members,
      channel,
      clock,
      demands: () => this.#options.demands(this.#member.nodeId),
      onChange: this.#options.onChange,
    });
  }

  /** Member record of the node beside the worker. */
  get member(): Member {
    return this.#member;
  }

  /** Replaces the member record with a newer one. */
  set member(member: Member) {
    this.#member = member;
  }

  /** Calls in progress, on leased slots and forwarded. */
  get running(): number {
    return this.#forwards + (this.#holder?.inUse ?? 0);
  }

  /**
   * Whether the lease owner has answered the demand; true as well without a
   * lease.
   */
  get ownerAnswered(): boolean {
    return this.#holder?.ownerAnswered ?? true;
  }

  /** Returns the number of leased slots. */
  heldSlots(): number {
    return this.#holder?.heldSlots() ?? 0;
  }

  /** Returns the number of leased slots that are free. */
  freeSlots(): number {
    return this.#holder?.freeSlots() ?? 0;
  }

  /** Returns the number of calls that may be forwarded now. */
  freeForwards(): number {
    if (this.#context.clock.now() < this.#forwardPausedUntil) return 0;
    return Math.max(0, this.#forwardLimit() - this.#forwards);
  }

  /** Returns the maximum number of concurrent forwarded calls. */
  maxForwards(): number {
    return this.#forwardLimit();
  }

  /** Returns the share of recent calls that failed, 0 to 1. */
  failureShare(): number {
    return this.#failures.value(this.#context.clock.now());
  }

  /**
   * Returns the lower of the thresholds that the worker's node last sent with a
   * response and with the lease, as far as they are still valid.
   */
  threshold(): number {
    const received = this.#context.clock.now() < this.#responseThresholdUntil
      ? this.#responseThreshold
      : ADMIT_ALL_THRESHOLD;
    return Math.min(received, this.#holder?.threshold() ?? ADMIT_ALL_THRESHOLD);
  }

  /** Acquires a leased slot; undefined if none is free. */
  acquire(): HeldSlot | undefined {
    const holder = this.#holder;
    const fence = holder?.tryAcquire();
    if (holder === undefined || fence === undefined) return undefined;
    const member = this.#member;
    return {
      target: {
        kind: "direct",
        nodeId: member.nodeId,
        incarnation: member.incarnation,
        address: member.worker?.address ?? "",
        fence,
      },
      release: (result) => {
        this.#recordOutcome(result);
        holder.release(workerDurationMs(result));
      },
    };
  }

  /** Acquires a place for a forwarded call, without a check of the limit. */
  forward(): HeldSlot {
    const member = this.#member;
    this.#forwards += 1;
    return {
      target: {
        kind: "forward",
        nodeId: member.nodeId,
        incarnation: member.incarnation,
        address: member.callAddress,
        fence: "",
      },
      release: (result) => {
        this.#forwards -= 1;
        this.#recordOutcome(result);
        const now = this.#context.clock.now();
        if (
          result.failure !== undefined &&
          NO_CAPACITY_FAILURES.has(result.failure)
        ) {
          this.#forwardPausedUntil = now + FORWARD_PAUSE_MS;
        }
        if (result.threshold !== undefined) {
          this.#responseThreshold = result.threshold;
          this.#responseThresholdUntil = now + RESPONSE_THRESHOLD_VALIDITY_MS;
          this.#options.onChange();
        }
      },
    };
  }

  /** Reports a shortage of slots to the lease owner. */
  reportShortage(): void {
    this.#holder?.reportShortage();
  }

  /** Releases the lease. */
  close(): void {
    this.#holder?.close();
    this.#holder = undefined;
  }

  /** Whether there is a lease, valid or requested. */
  get leased(): boolean {
    return this.#holder !== undefined;
  }

  #forwardLimit(): number {
    return this.heldSlots() > 0 ? FORWARDS_WITH_LEASE : FORWARDS_WITHOUT_LEASE;
  }

  #recordOutcome(result: AttemptResult): void {
    if (result.failure === "caller_cancelled") return;
    this.#failures.record(
      result.failure !== undefined && WORKER_FAILURES.has(result.failure),
      this.#context.clock.now(),
    );
  }
}
