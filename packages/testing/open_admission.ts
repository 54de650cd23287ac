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
 * Admission that lets every attempt run at once on one of the given targets,
 * in turn. For tests and benchmarks of the data path.
 */
export class OpenAdmission extends AdmissionControl {
  /** Targets by service. */
  readonly targets: Map<string, readonly CallTarget[]>;
  /** Attempts that were admitted, in order. */
  readonly requests: AdmissionRequest[] = [];
  /** Results of finished attempts, in order. */
  readonly results: AttemptResult[] = [];
  /** Whether requests and results are kept. */
  keeps = true;
  #turn = 0;

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
    const target = free[this.#turn++ % Math.max(1, free.length)];
    if (target === undefined) return Left(new DeckError("no_worker"));
    if (this.keeps) this.requests.push(request);
    return Right({
      target,
      finish: (result) => {
        if (this.keeps) this.results.push(result);
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
