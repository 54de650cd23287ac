import { type Either, Left, Right } from "purify-ts";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { DeckError } from "@oleanderdeck/errors";
import type { MemberView } from "@oleanderdeck/membership";
import { ADMIT_ALL_THRESHOLD } from "./_shedding.ts";
import { UsageAccounts } from "./_usage.ts";
import {
  AdmissionControl,
  type AdmissionExplanation,
  type AdmissionRequest,
  type AdmittedAttempt,
  type OrganisationUsage,
  type ServiceLoad,
} from "./admission_control.ts";

/** Options of {@linkcode UncontrolledAdmission}. */
export interface UncontrolledAdmissionOptions {
  readonly members: MemberView;
  /** Random generator for the choice of workers. */
  readonly random: RandomGenerator;
}

/**
 * Baseline without admission control: sends each attempt at once to a serving
 * worker that is chosen at random.
 */
export class UncontrolledAdmission extends AdmissionControl {
  readonly #members: MemberView;
  readonly #random: RandomGenerator;
  readonly #usage = new UsageAccounts();
  readonly #running = new Map<string, number>();
  #closed = false;

  /** @param options Collaborators of the node. */
  constructor(options: UncontrolledAdmissionOptions) {
    super();
    this.#members = options.members;
    this.#random = options.random;
  }

  override admit(
    request: AdmissionRequest,
  ): Either<DeckError, AdmittedAttempt> {
    const { organisation, service } = request;
    if (this.#closed) return this.#refuse(request, "draining");
    const workers = this.#workers(request);
    if (workers.length === 0) return this.#refuse(request, "no_worker");
    const index = workers.length === 1
      ? 0
      : uniformInt(this.#random, 0, workers.length - 1);
    const member = workers[index]!;
    this.#usage.admit(organisation);
    this.#running.set(service, (this.#running.get(service) ?? 0) + 1);
    let finished = false;
    return Right({
      target: {
        kind: "direct",
        nodeId: member.nodeId,
        incarnation: member.incarnation,
        address: member.worker?.address ?? "",
        // The highest epoch of an incarnation is always a valid fencing token.
        fence: `${member.incarnation}.${2n ** 64n - 1n}`,
      },
      finish: ({ durationMs }) => {
        if (finished) return;
        finished = true;
        this.#running.set(service, (this.#running.get(service) ?? 1) - 1);
        this.#usage.finish(organisation, durationMs, false);
      },
    });
  }

  override explain(request: AdmissionRequest): AdmissionExplanation {
    return this.#workers(request).length === 0
      ? { refusal: "no_worker", reasons: ["No worker serves the service"] }
      : { refusal: undefined, reasons: ["Every request is admitted"] };
  }

  override threshold(): number {
    return ADMIT_ALL_THRESHOLD;
  }

  override services(): readonly ServiceLoad[] {
    return [...this.#running].map(([service, running]) => ({
      service,
      running,
      queued: 0,
      slots: this.#members.servingMembers(service).reduce(
        (sum, member) => sum + (member.worker?.slots ?? 0),
        0,
      ),
      threshold: ADMIT_ALL_THRESHOLD,
    }));
  }

  override usage(): readonly OrganisationUsage[] {
    return this.#usage.read();
  }

  override close(): Promise<void> {
    this.#closed = true;
    return Promise.resolve();
  }

  #workers(request: AdmissionRequest) {
    const workers = this.#members.servingMembers(request.service)
      .filter((member) => !request.excludedNodes.includes(member.nodeId));
    if (!request.forwarded) return workers;
    const self = this.#members.self().nodeId;
    return workers.filter((member) => member.nodeId === self);
  }

  #refuse(
    request: AdmissionRequest,
    kind: "draining" | "no_worker",
  ): Either<DeckError, AdmittedAttempt> {
    this.#usage.refuse(request.organisation, kind);
    return Left(new DeckError(kind));
  }
}
