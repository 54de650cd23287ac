import { type Either, Left } from "purify-ts";
import {
  type OrganisationPolicy,
  PolicyView,
  type ServicePolicy,
} from "@oleanderdeck/agreement";
import { DeckError } from "@oleanderdeck/errors";
import type { LocalWorker } from "@oleanderdeck/leases";
import type { AdmissionRequest } from "./admission_control.ts";

/** Policies under which every service exists except `unknown`. */
export class FakePolicies extends PolicyView {
  queueLength = 64;

  service(service: string): ServicePolicy | undefined {
    return service === "unknown" ? undefined : {
      service,
      defaultTimeoutMs: 1_000,
      maximumTimeoutMs: 10_000,
      retries: 3,
      maximumBodyBytes: 1_000_000,
      queueLength: this.queueLength,
      progressTimeoutMs: 1_000,
    };
  }

  organisation(organisation: string): OrganisationPolicy {
    return { organisation, weight: 1, callsPerSecond: undefined };
  }

  organisations(): readonly OrganisationPolicy[] {
    return [];
  }

  authenticate(): Either<DeckError, OrganisationPolicy> {
    return Left(new DeckError("no_agreement"));
  }

  rule() {
    return {
      priority: 2,
      idempotent: true,
      permit: "optional",
      failureCost: 1,
    } as const;
  }
}

/** Returns the registration of a serving worker. */
export function testWorker(service: string, slots = 10): LocalWorker {
  return {
    service,
    address: `${service}:1`,
    slots,
    connectionLimit: 100,
    warmUpMs: 0,
    state: "serving",
  };
}

/** Returns a root request for `menus` with a deadline in 1 s. */
export function testRequest(
  changes: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    service: "menus",
    organisation: "co-op",
    priority: 2,
    shedKey: 0,
    deadline: performance.now() + 1_000,
    excludedNodes: [],
    countsForLimit: true,
    forwarded: false,
    callingService: undefined,
    ...changes,
  };
}
