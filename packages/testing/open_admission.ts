import { type Either, Left, Right } from "purify-ts";
import {
  AdmissionControl,
  type AdmissionExplanation,
  type AdmissionRequest,
  type AdmittedAttempt,
  type AttemptResult,
  type CallTarget,
  type OrganisationUsage,
  type ServiceLoad,
} from "@oleanderdeck/admission";
import { DeckError } from "@oleanderdeck/errors";

/**
 * Admission control that admits every attempt immediately and distributes them
 * round-robin over the given targets. For tests and benchmarks of the data path.
 */
export class OpenAdmission extends AdmissionControl {
  /** Targets by service. */
  readonly targets: Map<string, readonly CallTarget[]>;
  /** Admitted attempts, in order. */
  readonly requests: AdmissionRequest[] = [];
  /** Results of finished attempts, in order. */
  readonly results: AttemptResult[] = [];
  /** Whether {@linkcode requests} and {@linkcode results} are recorded. */
  recordsRequests = true;
  #nextTarget = 0;

  /** @param targets Targets by service. */
  constructor(targets: Readonly<Record<string, readonly CallTarget[]>>) {
    super();
    this.targets = new Map(Object.entries(targets));
  }

  admit(
    request: AdmissionRequest,
    _signal?: AbortSignal,
  ): Either<DeckError, AdmittedAttempt> {
    const free = (this.targets.get(request.service) ?? []).filter((target) =>
      !request.excludedNodes.includes(target.nodeId)
    );
    const target = free[this.#nextTarget++ % Math.max(1, free.length)];
    if (target === undefined) return Left(new DeckError("no_worker"));
    if (this.recordsRequests) this.requests.push(request);
    return Right({
      target,
      finish: (result) => {
        if (this.recordsRequests) this.results.push(result);
      },
    });
  }

  explain(_request: AdmissionRequest): AdmissionExplanation {
    return { refusal: undefined, reasons: ["Every request is admitted"] };
  }

  threshold(_service: string): number {
    return 512;
  }

  services(): readonly ServiceLoad[] {
    return [];
  }

  usage(): readonly OrganisationUsage[] {
    return [];
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
