import { type Either, Left } from "purify-ts";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { create } from "@bufbuild/protobuf";
import type { PolicyView, Priority } from "@oleanderdeck/agreement";
import { DeckError } from "@oleanderdeck/errors";
import {
  type DemandEntry,
  type LocalWorker,
  SlotLeaseOwner,
} from "@oleanderdeck/leases";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import { WorkerSchema, WorkerState } from "@oleanderdeck/protocol";
import { LocalFirstRouting, type RoutingPolicy } from "@oleanderdeck/routing";
import type { Clock } from "@oleanderdeck/settings";
import {
  type AdmissionContext,
  type AdmissionMechanisms,
  ALL_MECHANISMS,
} from "./_admission_context.ts";
import { CallRatios } from "./_call_ratios.ts";
import { RateLimits } from "./_rate_limits.ts";
import { ServiceAdmission } from "./_service_admission.ts";
import { ADMIT_ALL_THRESHOLD, levelOf } from "./_shedding.ts";
import { UsageAccounts } from "./_usage.ts";
import {
  AdmissionControl,
  type AdmissionExplanation,
  type AdmissionRequest,
  type AdmittedAttempt,
  type OrganisationUsage,
  type ServiceLoad,
} from "./admission_control.ts";

/** Options of {@linkcode CapacityAdmission}. */
export interface CapacityAdmissionOptions {
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  /** Random generator for the choice of workers. */
  readonly random: RandomGenerator;
  /** Returns the current policies; called for each attempt. */
  readonly policies: () => PolicyView;
  /** Policy that selects workers. Default: {@linkcode LocalFirstRouting}. */
  readonly routing?: RoutingPolicy;
  /** Mechanisms to switch off for comparison. By default all are in use. */
  readonly mechanisms?: Partial<AdmissionMechanisms>;
}

/**
 * Priority `normal`, used for all requests when priorities are switched off.
 */
const NORMAL_PRIORITY: Priority = 2;

/** Result of a request for a slot. */
type AdmissionResult = Either<DeckError, AdmittedAttempt>;

/**
 * Admission control by slot leases: an attempt runs on a slot of this node's
 * own worker or on a leased slot, is forwarded to a serving node, waits in the
 * service's queue, or is refused.
 *
 * @example
 * ```ts
 * const admission = new CapacityAdmission({
 *   members,
 *   channel,
 *   clock,
 *   random,
 *   policies: () => documents.view,
 * });
 * admission.setWorker({
 *   service: "menus",
 *   address: "127.0.0.1:8080",
 *   slots: 40,
 *   connectionLimit: 360,
 *   warmUpMs: 5_000,
 *   state: "serving",
 * });
 * ```
 */
export class CapacityAdmission extends AdmissionControl {
  readonly #context: AdmissionContext;
  readonly #services = new Map<string, ServiceAdmission>();
  readonly #ratios = new CallRatios();
  readonly #rates: RateLimits | undefined;
  readonly #removeListener: () => void;
  /** Admission of forwarded requests, which run on the own worker only. */
  #forwardedAdmission: ServiceAdmission | undefined;
  #closed = false;

  /** @param options Collaborators of the node. */
  constructor(options: CapacityAdmissionOptions) {
    super();
    const mechanisms = { ...ALL_MECHANISMS, ...options.mechanisms };
    const weight = (organisation: string) =>
      options.policies().organisation(organisation)?.weight ?? 1;
    const owner = new SlotLeaseOwner({
      ...options,
      weight,
      adaptive: mechanisms.adaptiveLimit,
      ownDemands: () => this.#ownDemands(),
      threshold: () => this.#ownThreshold(),
      onAvailable: () => this.#startWaitingOnOwnWorker(),
      onCalls: (calls) => this.#ratios.recordServed(calls),
    });
    this.#context = {
      ...options,
      routing: options.routing ?? new LocalFirstRouting(),
      mechanisms,
      weight,
      owner,
      usage: new UsageAccounts(),
      acquireRateToken: (organisation) =>
        this.#rates?.acquireToken(organisation) ?? true,
      onOwnSlotReleased: () => this.#startWaitingOnOwnWorker(),
      onThresholdChange: () => owner.pushThreshold(),
    };
    this.#rates = mechanisms.rateLimits ? new RateLimits(options) : undefined;
    this.#removeListener = options.members.onChange(() => {
      for (const service of this.#services.values()) service.refreshMembers();
    });
  }

  /**
   * Sets, renews or removes the worker beside this node, and updates the member
   * record that this node publishes to its peers.
   *
   * @param worker The registration of the worker; undefined once it has
   * expired.
   */
  setWorker(worker: LocalWorker | undefined): void {
    const { members, owner } = this.#context;
    const previous = owner.worker;
    if (previous?.service !== worker?.service) {
      this.#forwardedAdmission?.close();
      this.#forwardedAdmission = undefined;
    }
    if (worker !== undefined && this.#forwardedAdmission === undefined) {
      this.#forwardedAdmission = new ServiceAdmission(
        this.#context,
        worker.service,
        "own worker",
      );
    }
    owner.setWorker(worker);
    if (worker?.state === "draining") {
      this.#forwardedAdmission?.refuseAll("draining");
    }
    if (isSameRecord(previous, worker)) return;
    members.setWorker(
      worker && create(WorkerSchema, {
        service: worker.service,
        address: worker.address,
        slots: worker.slots,
        connectionLimit: worker.connectionLimit,
        state: worker.state === "serving"
          ? WorkerState.SERVING
          : WorkerState.DRAINING,
      }),
    );
    this.#refreshMembers();
  }

  /** Returns the lowest fencing token that the backend server still accepts. */
  lowestValidFencingToken(): string {
    return this.#context.owner.lowestValidFencingToken();
  }

  /**
   * Returns the number of calls in progress on this node's own worker: those
   * that this node sent, and those that lease holders last reported.
   */
  workerInUse(): number {
    return this.#context.owner.inUse();
  }

  override admit(
    request: AdmissionRequest,
    signal?: AbortSignal,
  ): AdmissionResult | Promise<AdmissionResult> {
    const service = this.#findAdmission(request);
    if (service === undefined) {
      return this.#recordResult(request, Left(this.#notFoundError(request)));
    }
    const effective = this.#effectiveRequest(request);
    if (
      request.callingService !== undefined &&
      request.callingService === this.#context.owner.worker?.service &&
      request.excludedNodes.length === 0
    ) this.#ratios.recordCall(request.service);
    if (request.forwarded) this.#ratios.recordServed(1);
    const result = service.admit(
      effective,
      this.#thresholdFor(request),
      signal,
    );
    if (!(result instanceof Promise)) {
      return this.#recordResult(request, result);
    }
    return result.then((later) => this.#recordResult(request, later));
  }

  override explain(request: AdmissionRequest): AdmissionExplanation {
    const service = this.#findAdmission(request);
    if (service === undefined) {
      const { kind, message } = this.#notFoundError(request);
      return { refusal: kind, reasons: [message] };
    }
    const threshold = this.#thresholdFor(request);
    const load = service.load();
    const level = levelOf(request);
    const refusal = service.refusal(this.#effectiveRequest(request), threshold);
    const rate = this.#rates?.callsPerSecond(request.organisation);
    const waitMs = Math.round(service.expectedWaitMs(request.priority));
    return {
      refusal: refusal?.kind,
      reasons: [
        `The level of the request is ${level} and the threshold ${threshold}`,
        `${load.running} calls run and ${load.queued} wait for ${load.slots} slots`,
        `The expected wait is ${waitMs} ms`,
        ...rate === undefined ? [] : [
          `The organisation may make ${rate.toFixed(1)} calls/s on this node`,
        ],
        refusal?.message ?? "The request would be admitted",
      ],
    };
  }

  override threshold(service: string): number {
    return service === this.#context.owner.worker?.service
      ? this.#ownThreshold()
      : this.#services.get(service)?.threshold() ?? ADMIT_ALL_THRESHOLD;
  }

  override services(): readonly ServiceLoad[] {
    const loads = [...this.#services.values()].map((service) => service.load());
    const own = this.#forwardedAdmission?.load();
    if (own === undefined) return loads;
    const same = loads.find((load) => load.service === own.service);
    if (same === undefined) return [...loads, own];
    return [
      ...loads.filter((load) => load !== same),
      {
        ...own,
        running: own.running + same.running,
        queued: own.queued + same.queued,
        slots: Math.max(own.slots, same.slots),
        threshold: Math.min(own.threshold, same.threshold),
      },
    ];
  }

  override usage(): readonly OrganisationUsage[] {
    return this.#context.usage.read();
  }

  override close(): Promise<void> {
    if (this.#closed) return Promise.resolve();
    this.#closed = true;
    this.#removeListener();
    for (const service of this.#services.values()) service.close();
    this.#forwardedAdmission?.close();
    this.#context.owner.close();
    this.#rates?.close();
    return Promise.resolve();
  }

  /**
   * Returns the admission for a request, creating that of a known service at
   * its first request; undefined if no admission applies.
   */
  #findAdmission(request: AdmissionRequest): ServiceAdmission | undefined {
    const { service, forwarded } = request;
    if (this.#closed) return undefined;
    if (this.#context.policies().service(service) === undefined) {
      return undefined;
    }
    if (forwarded) {
      return this.#context.owner.worker?.service === service
        ? this.#forwardedAdmission
        : undefined;
    }
    let known = this.#services.get(service);
    if (known === undefined) {
      known = new ServiceAdmission(this.#context, service, "any worker");
      this.#services.set(service, known);
    }
    return known;
  }

  /** Returns the error of a request for which there is no admission. */
  #notFoundError(request: AdmissionRequest): DeckError {
    if (this.#closed) return new DeckError("draining");
    return this.#context.policies().service(request.service) === undefined
      ? new DeckError("no_such_service")
      : new DeckError("no_worker");
  }

  /** Returns a request without the properties of switched-off mechanisms. */
  #effectiveRequest(request: AdmissionRequest): AdmissionRequest {
    const { fairShares, priorities } = this.#context.mechanisms;
    if (fairShares && priorities) return request;
    return {
      ...request,
      organisation: fairShares ? request.organisation : "",
      priority: priorities ? request.priority : NORMAL_PRIORITY,
    };
  }

  /** Returns the threshold that applies to a request. */
  #thresholdFor(request: AdmissionRequest): number {
    // Only the first hop sheds by threshold. A threshold may change while a
    // request passes down the call chain, and shedding one of its later calls
    // would waste the work already done for the request.
    if (request.callingService !== undefined) return ADMIT_ALL_THRESHOLD;
    if (request.forwarded) return this.#ownThreshold();
    return this.#services.get(request.service)?.threshold() ??
      ADMIT_ALL_THRESHOLD;
  }

  /**
   * Returns the threshold of the own worker's service: the lowest of its own
   * and those of the downstream services that it calls often.
   */
  #ownThreshold(): number {
    const { clock, mechanisms } = this.#context;
    let threshold = this.#forwardedAdmission?.threshold() ??
      ADMIT_ALL_THRESHOLD;
    if (!mechanisms.pressure) return threshold;
    for (const service of this.#ratios.pressureSources(clock.now())) {
      const downstream = this.#services.get(service)?.threshold();
      if (downstream !== undefined) threshold = Math.min(threshold, downstream);
    }
    return threshold;
  }

  #ownDemands(): readonly DemandEntry[] {
    const service = this.#context.owner.worker?.service;
    const local = service === undefined
      ? undefined
      : this.#services.get(service);
    return [
      ...this.#forwardedAdmission?.ownDemand() ?? [],
      ...local?.ownDemand() ?? [],
    ];
  }

  #startWaitingOnOwnWorker(): void {
    this.#forwardedAdmission?.startWaiting();
    const service = this.#context.owner.worker?.service;
    if (service !== undefined) this.#services.get(service)?.startWaiting();
  }

  #refreshMembers(): void {
    for (const service of this.#services.values()) service.refreshMembers();
  }

  #recordResult(
    request: AdmissionRequest,
    result: AdmissionResult,
  ): AdmissionResult {
    const { usage } = this.#context;
    result
      .ifRight(() => usage.admit(request.organisation))
      .ifLeft((error) => usage.refuse(request.organisation, error.kind));
    return result;
  }
}

function isSameRecord(
  left: LocalWorker | undefined,
  right: LocalWorker | undefined,
): boolean {
  if (left === undefined || right === undefined) return left === right;
  return left.service === right.service && left.address === right.address &&
    left.slots === right.slots && left.state === right.state &&
    left.connectionLimit === right.connectionLimit;
}
