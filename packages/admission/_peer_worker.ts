import { type DemandEntry, SlotLeaseHolder } from "@oleanderdeck/leases";
import type { ErrorKind } from "@oleanderdeck/errors";
import type { Member } from "@oleanderdeck/protocol";
import type { AdmissionContext } from "./_admission_context.ts";
import type { AttemptResult, CallTarget } from "./admission_control.ts";
import { FailureShare } from "./_estimates.ts";
import { ADMIT_ALL_THRESHOLD } from "./_shedding.ts";

/** Slot that an attempt holds. */
export interface HeldSlot {
  readonly target: CallTarget;
  /** Gives the slot back; is called once. */
  release(result: AttemptResult): void;
}

/** Calls forwarded at the same time to a worker without a lease. */
const FORWARDS_WITHOUT_LEASE = 16;

/**
 * Calls forwarded at the same time to a worker whose leased slots are all in
 * use, so that its reserve does not stay idle.
 */
const FORWARDS_WITH_LEASE = 2;

/** Pause after a serving node refused a forwarded call for lack of room. */
const FORWARD_PAUSE_MS = 20;

/** Time for which a threshold from a forwarded answer holds. */
const ANSWER_THRESHOLD_MS = 1_000;

/** Failures that say something about the worker or its link. */
const WORKER_FAILURES: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  "worker_refused",
  "connection_refused",
  "connection_lost",
  "answer_cut",
  "deadline_exceeded",
  "internal",
]);

/** Failures of a forwarded call that mean that the serving node has no room. */
const NO_CAPACITY_FAILURES: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  "queue_full",
  "shed_low_priority",
  "downstream_pressure",
  "no_worker",
  "draining",
  "not_ready",
]);

/** Duration that tells something about the worker; undefined otherwise. */
export function workerDurationMs(result: AttemptResult): number | undefined {
  return result.failure === undefined || result.failure === "deadline_exceeded"
    ? result.durationMs
    : undefined;
}

/** Collaborators of a {@linkcode PeerWorker}. */
export interface PeerWorkerOptions {
  /** Demand for slots of the worker beside a node. */
  readonly demands: (nodeId: string) => readonly DemandEntry[];
  /** Is called when slots or the threshold may have changed. */
  readonly onChange: () => void;
}

/** What this node uses of one peer worker. */
export class PeerWorker {
  readonly #context: AdmissionContext;
  readonly #failures = new FailureShare();
  readonly #options: PeerWorkerOptions;
  #holder: SlotLeaseHolder | undefined;
  #member: Member;
  #forwards = 0;
  #forwardPausedUntil = 0;
  #answerThreshold = ADMIT_ALL_THRESHOLD;
  #answerThresholdUntil = 0;

  /**
   * @param context Collaborators of the node.
   * @param member Node beside the worker.
   * @param options Demand for slots and the listener for changes.
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

  /** Whether slots are leased or calls are in progress. */
  get inUse(): boolean {
    return this.#holder !== undefined || this.#forwards > 0;
  }

  /** Begins to lease slots. */
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

  /** Node beside the worker. */
  get member(): Member {
    return this.#member;
  }

  /** Takes over a newer record of the member. */
  set member(member: Member) {
    this.#member = member;
  }

  /** Calls in progress, leased and forwarded. */
  get running(): number {
    return this.#forwards + (this.#holder?.inUse ?? 0);
  }

  /** Whether the owner has answered the demand. */
  get ownerAnswered(): boolean {
    return this.#holder?.answered ?? true;
  }

  /** Leased slots. */
  heldSlots(): number {
    return this.#holder?.heldSlots() ?? 0;
  }

  /** Leased slots that are free. */
  freeSlots(): number {
    return this.#holder?.free() ?? 0;
  }

  /** Forwarded calls that may be added. */
  freeForwards(): number {
    if (this.#context.clock.now() < this.#forwardPausedUntil) return 0;
    return Math.max(0, this.#forwardLimit() - this.#forwards);
  }

  /** Forwarded calls that may be in progress. */
  maxForwards(): number {
    return this.#forwardLimit();
  }

  /** Share of recent calls that failed. */
  failureShare(): number {
    return this.#failures.value(this.#context.clock.now());
  }

  /** Threshold that the worker's node told last. */
  threshold(): number {
    const received = this.#context.clock.now() < this.#answerThresholdUntil
      ? this.#answerThreshold
      : ADMIT_ALL_THRESHOLD;
    return Math.min(received, this.#holder?.threshold() ?? ADMIT_ALL_THRESHOLD);
  }

  /** Takes a leased slot. */
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

  /** Takes a place for a forwarded call. */
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
          this.#answerThreshold = result.threshold;
          this.#answerThresholdUntil = now + ANSWER_THRESHOLD_MS;
          this.#options.onChange();
        }
      },
    };
  }

  /** Reports a shortage of slots to the owner. */
  reportShortage(): void {
    this.#holder?.reportShortage();
  }

  /** Gives the lease back. */
  close(): void {
    this.#holder?.close();
    this.#holder = undefined;
  }

  /** Whether the worker has a lease, valid or requested. */
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
