import { Left, Right } from "purify-ts";
import { type Priority, SHED_KEY_COUNT } from "@oleanderdeck/agreement";
import { DeckError, type ErrorKind } from "@oleanderdeck/errors";
import type { DemandEntry } from "@oleanderdeck/leases";
import type { AdmissionContext } from "./_admission_context.ts";
import { DemandEstimate, DurationEstimate } from "./_estimates.ts";
import {
  ADMIT_ALL_THRESHOLD,
  SHED_INTERVAL_MS,
  SheddingThreshold,
} from "./_shedding.ts";
import {
  type AdmissionResult,
  cancelledError,
  WaitingAttempts,
} from "./_waiting_attempts.ts";
import { acquireOwnSlot, ServiceWorkers } from "./_service_workers.ts";
import type { HeldSlot } from "./_peer_worker.ts";
import type {
  AdmissionRequest,
  AdmittedAttempt,
  AttemptResult,
  ServiceLoad,
} from "./admission_control.ts";

/** Time for which a slot stays occupied after its call was abandoned. */
const ABANDONED_HOLD_MS = 50;

/** Interval of the checks for deadlines and shortages while attempts wait. */
const QUEUE_INTERVAL_MS = 20;

/** Time without calls after which the periodic task of a service ends. */
const IDLE_MS = 10_000;

/** Weight of the latest interval in the moving average of the start rate. */
const START_RATE_WEIGHT = 0.3;

/** Workers on which the calls of a {@linkcode ServiceAdmission} may run. */
export type Placement = "own worker" | "any worker";

/** Admission of one service on this node: its queue, threshold and workers. */
export class ServiceAdmission {
  readonly #context: AdmissionContext;
  readonly #service: string;
  readonly #placement: Placement;
  readonly #queue: WaitingAttempts;
  readonly #shedding: SheddingThreshold;
  readonly #workers: ServiceWorkers;
  readonly #durations = new DurationEstimate();
  readonly #demand = new DemandEstimate();
  #running = 0;
  #startsPerMs = 0;
  #starts = 0;
  #lastCallAt = 0;
  #intervalEndsAt = 0;
  #task: AbortController | undefined;
  #closed = false;

  /**
   * @param context Collaborators of the node.
   * @param service Name of the service.
   * @param placement Workers on which its calls may run.
   */
  constructor(
    context: AdmissionContext,
    service: string,
    placement: Placement,
  ) {
    this.#context = context;
    this.#service = service;
    this.#placement = placement;
    this.#queue = new WaitingAttempts(context.weight);
    this.#shedding = new SheddingThreshold(context.weight);
    this.#workers = new ServiceWorkers(context, service, {
      demand: () => this.demand(),
      onChange: () => {
        this.startWaiting();
        context.onThresholdChange(service);
      },
    });
  }

  /**
   * Returns the lower of the threshold that follows from queueing delay on this
   * node and the one that the service's workers report.
   */
  threshold(): number {
    const own = this.#shedding.threshold;
    return this.#context.mechanisms.pressure
      ? Math.min(own, this.#workers.threshold())
      : own;
  }

  /** Returns the load of the service for operators. */
  load(): ServiceLoad {
    return {
      service: this.#service,
      running: this.#running,
      queued: this.#queue.length,
      slots: this.#placement === "own worker"
        ? Math.max(0, this.#context.owner.ownFreeSlots()) + this.#running
        : this.#workers.slots(),
      threshold: this.threshold(),
    };
  }

  /** Returns the demand for slots by priority and organisation. */
  demand(): readonly DemandEntry[] {
    const entries = new Map<string, DemandEntry>();
    const add = (priority: number, organisation: string, amount: number) => {
      const key = `${priority} ${organisation}`;
      const known = entries.get(key)?.amount ?? 0;
      if (amount <= known) return;
      entries.set(key, { priority, organisation, amount });
    };
    this.#queue.forEach(add);
    const now = this.#context.clock.now();
    this.#demand.forEach(this.#durations.expectedMs(now), add);
    return [...entries.values()];
  }

  /** Returns the part of the demand that is directed at the own worker. */
  ownDemand(): readonly DemandEntry[] {
    return this.#placement === "own worker"
      ? this.demand()
      : this.#workers.demandFor(this.#context.members.self().nodeId);
  }

  /**
   * Checks a request against the threshold and its deadline.
   *
   * @param request The attempt.
   * @param threshold Lowest threshold that applies, including the service's
   * own.
   * @returns The refusal; undefined if the request would run or wait.
   */
  refusal(
    request: AdmissionRequest,
    threshold: number,
  ): DeckError | undefined {
    const now = this.#context.clock.now();
    const isOwnThreshold = threshold >= this.#shedding.threshold;
    // The queue is fair between organisations, so an organisation without a
    // waiting attempt does not cause the queueing delay of that priority.
    const isExempt = isOwnThreshold &&
      request.priority === Math.floor(threshold / SHED_KEY_COUNT) &&
      this.#queue.waiting(request) === 0;
    if (!isExempt && this.#shedding.refuses(request, threshold)) {
      return new DeckError(
        isOwnThreshold ? "shed_low_priority" : "downstream_pressure",
      );
    }
    if (!this.#context.mechanisms.deadlines) return undefined;
    const remaining = request.deadline - now;
    const wait = this.expectedWaitMs(request.priority);
    if (
      remaining <= 0 || remaining < wait + this.#durations.upperBoundMs(now)
    ) {
      return new DeckError("deadline_too_short");
    }
    return undefined;
  }

  /** Returns the expected wait of a new attempt, in milliseconds. */
  expectedWaitMs(priority: Priority): number {
    const before = this.#queue.lengthBefore(priority);
    if (before === 0) return 0;
    const durationMs = this.#durations.expectedMs(this.#context.clock.now());
    const rate = Math.max(
      this.#startsPerMs,
      this.#running / Math.max(durationMs, 1),
    );
    return rate === 0 ? 0 : before / rate;
  }

  /**
   * Admits, queues or refuses an attempt.
   *
   * @param request The attempt.
   * @param threshold Lowest threshold that applies.
   * @param signal Withdraws a waiting attempt.
   * @returns The result; a promise while the attempt waits for a slot or a rate
   * token.
   */
  admit(
    request: AdmissionRequest,
    threshold: number,
    signal: AbortSignal | undefined,
  ): AdmissionResult | Promise<AdmissionResult> {
    const now = this.#context.clock.now();
    this.#lastCallAt = now;
    this.#startTask();
    this.#shedding.recordArrival(request);
    const refusal = this.refusal(request, threshold);
    // If an attempt of a lower priority is waiting, it is shed instead.
    const admissible = refusal === undefined ||
      refusal.kind === "shed_low_priority" &&
        this.#queue.evictLowerPriority(request);
    if (!admissible) return Left(refusal);
    if (signal?.aborted) return Left(cancelledError());
    if (this.#unavailable(request)) {
      return Left(new DeckError(this.#unavailable(request)!));
    }
    if (request.countsForLimit && !request.forwarded) {
      const allowed = this.#context.acquireRateToken(request.organisation);
      if (allowed instanceof Promise) {
        return allowed.then((isAllowed) =>
          isAllowed
            ? this.#place(request, signal)
            : Left(new DeckError("organisation_limit"))
        );
      }
      if (!allowed) return Left(new DeckError("organisation_limit"));
    }
    return this.#place(request, signal);
  }

  /** Starts waiting attempts while slots are free. */
  startWaiting(): void {
    for (;;) {
      const entry = this.#queue.peek();
      if (entry === undefined) return;
      const now = this.#context.clock.now();
      if (entry.request.deadline - now < this.#minTimeLeftMs(now)) {
        this.#queue.refuse(entry, "deadline_too_short");
        continue;
      }
      const slot = this.#acquire(entry.request);
      if (slot === undefined) return;
      this.#queue.remove(entry);
      this.#shedding.recordStart(
        entry.request.priority,
        now - entry.enqueuedAt,
      );
      entry.resolve(Right(this.#admitted(entry.request, slot)));
    }
  }

  /** Updates the workers after a change of membership. */
  refreshMembers(): void {
    this.#workers.refreshMembers();
  }

  /** Refuses all waiting attempts with an error kind. */
  refuseAll(kind: ErrorKind): void {
    this.#queue.refuseWhere(kind, () => true);
  }

  /** Refuses waiting attempts, releases leases and ends the periodic task. */
  close(): void {
    this.#closed = true;
    this.refuseAll("draining");
    this.#workers.close();
    this.#task?.abort();
  }

  /** Starts an attempt if a slot is free, and queues it otherwise. */
  #place(
    request: AdmissionRequest,
    signal: AbortSignal | undefined,
  ): AdmissionResult | Promise<AdmissionResult> {
    // The node may have stopped while the call waited for a rate token.
    if (this.#closed) return Left(new DeckError("draining"));
    this.#demand.record(request.priority, request.organisation);
    if (this.#queue.length === 0) {
      const slot = this.#acquire(request);
      if (slot !== undefined) {
        this.#shedding.recordStart(request.priority, 0);
        return Right(this.#admitted(request, slot));
      }
    }
    return this.#wait(request, this.#context.clock.now(), signal);
  }

  /** Returns why no worker may run a request; undefined if one may. */
  #unavailable(request: AdmissionRequest): ErrorKind | undefined {
    if (this.#placement === "own worker") {
      const worker = this.#context.owner.worker;
      if (worker === undefined || worker.service !== this.#service) {
        return "no_worker";
      }
      return worker.state === "draining" ? "draining" : undefined;
    }
    const available = this.#workers.members().some((member) =>
      !request.excludedNodes.includes(member.nodeId)
    );
    return available ? undefined : "no_worker";
  }

  #acquire(request: AdmissionRequest): HeldSlot | undefined {
    return this.#placement === "own worker"
      ? acquireOwnSlot(this.#context)
      : this.#workers.acquire(request, this.expectedWaitMs(request.priority));
  }

  #admitted(request: AdmissionRequest, slot: HeldSlot): AdmittedAttempt {
    this.#running += 1;
    this.#starts += 1;
    this.#queue.start(request);
    const borrowed = this.#isBeyondShare(request.organisation);
    let finished = false;
    return {
      target: slot.target,
      finish: (result: AttemptResult) => {
        if (finished) return;
        finished = true;
        this.#running -= 1;
        this.#queue.finish(request);
        // The duration of a forwarded call is not recorded, since it includes
        // the wait at the serving node.
        if (result.failure === undefined && slot.target.kind === "direct") {
          this.#durations.record(result.durationMs, this.#context.clock.now());
        }
        this.#context.usage.finish(
          request.organisation,
          result.durationMs,
          borrowed,
        );
        this.#release(slot, result);
      },
    };
  }

  // A backend server detects that a call was abandoned later than this node
  // does. If the slot were reused at once, the server would see one call more
  // than it has slots.
  #release(slot: HeldSlot, result: AttemptResult): void {
    const release = () => {
      slot.release(result);
      this.startWaiting();
    };
    if (slot.target.kind === "direct" && isAbandoned(result.failure)) {
      void this.#context.clock.sleep(ABANDONED_HOLD_MS).then(release);
    } else release();
  }

  /**
   * Whether an organisation uses more than its weighted share of the slots.
   * They are divided between the organisations with waiting, running or recent
   * calls.
   */
  #isBeyondShare(organisation: string): boolean {
    const organisations = this.#queue.organisations();
    if (organisations.size < 2) return false;
    let total = 0;
    for (const name of organisations) total += this.#context.weight(name);
    const slots = Math.max(this.#running, this.load().slots);
    const share = slots * this.#context.weight(organisation) / total;
    return this.#queue.running(organisation) > share;
  }

  #wait(
    request: AdmissionRequest,
    now: number,
    signal: AbortSignal | undefined,
  ): AdmissionResult | Promise<AdmissionResult> {
    this.#workers.reportShortage();
    const policy = this.#context.policies().service(this.#service);
    const limit = policy?.queueLength ?? 0;
    return this.#queue.wait(request, { now, limit, signal });
  }

  #startTask(): void {
    if (this.#task !== undefined || this.#closed) return;
    this.#task = new AbortController();
    void this.#run(this.#task.signal);
  }

  /** Runs the periodic task until the service is idle or closed. */
  async #run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#context;
    this.#intervalEndsAt = clock.now() + SHED_INTERVAL_MS;
    for (;;) {
      await clock.sleep(
        this.#queue.length > 0 ? QUEUE_INTERVAL_MS : SHED_INTERVAL_MS,
        signal,
      );
      if (signal.aborted) return;
      const now = clock.now();
      this.#expire(now);
      this.startWaiting();
      if (this.#queue.length > 0) this.#workers.reportShortage();
      if (now >= this.#intervalEndsAt) this.#endInterval(now);
      const isIdle = now - this.#lastCallAt > IDLE_MS && this.#running === 0 &&
        this.#queue.length === 0 && this.#workers.idle &&
        this.#shedding.threshold === ADMIT_ALL_THRESHOLD;
      if (isIdle) break;
    }
    this.#task = undefined;
  }

  /** Refuses waiting attempts that can no longer meet their deadline. */
  #expire(now: number): void {
    const minTimeLeftMs = this.#minTimeLeftMs(now);
    this.#queue.refuseWhere(
      "deadline_too_short",
      (request) => request.deadline - now < minTimeLeftMs,
    );
  }

  // Refuses waiting attempts of priorities that the threshold sheds completely.
  // Otherwise they would run while upstream nodes refuse more important
  // requests because of the same threshold.
  #refuseShedPriorities(): void {
    const partialPriority = Math.floor(
      this.#shedding.threshold / SHED_KEY_COUNT,
    );
    this.#queue.refuseWhere(
      "shed_low_priority",
      (request) => request.priority > partialPriority,
    );
  }

  /**
   * Returns the time that must be left until an attempt's deadline for it to be
   * started, in milliseconds.
   */
  #minTimeLeftMs(now: number): number {
    return this.#context.mechanisms.deadlines
      ? this.#durations.upperBoundMs(now)
      : 0;
  }

  /** Updates the threshold, the estimates and the leases. */
  #endInterval(now: number): void {
    this.#intervalEndsAt = now + SHED_INTERVAL_MS;
    const before = this.threshold();
    if (this.#context.mechanisms.shedding) {
      this.#shedding.endInterval(
        this.#queue.oldestAges(now),
        this.#durations.expectedMs(now),
      );
      this.#refuseShedPriorities();
    }
    this.#startsPerMs += START_RATE_WEIGHT *
      (this.#starts / SHED_INTERVAL_MS - this.#startsPerMs);
    this.#starts = 0;
    this.#demand.update(now);
    this.#queue.decay();
    this.#workers.endInterval(now);
    if (this.threshold() !== before) {
      this.#context.onThresholdChange(this.#service);
    }
  }
}

/** Whether a failed call may still be running at the backend server. */
function isAbandoned(failure: ErrorKind | undefined): boolean {
  return failure === "caller_cancelled" || failure === "deadline_exceeded" ||
    failure === "connection_lost" || failure === "answer_cut";
}
