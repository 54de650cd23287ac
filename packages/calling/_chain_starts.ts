import type { Organisation, Route } from "@oleanderdeck/directory";
import type { CallerProxyOptions } from "./caller_proxy_options.ts";
import { FairShares } from "./fair_shares.ts";
import { RootAdmission, type RootDecision } from "./root_admission.ts";
import { RootShedding } from "./root_shedding.ts";

/** Request that would begin a chain. */
export interface ChainStart {
  readonly route: Route;
  readonly service: string;
  /** Priority that counts; 0 is the most important. */
  readonly priority: number;
  readonly organisation: Organisation | undefined;
  /** Time for which the caller still waits, in milliseconds. */
  readonly timeLeftMs: number;
}

/** Options of {@linkcode ChainStarts}. */
export type ChainStartsOptions = Pick<
  CallerProxyOptions,
  "admittedShare" | "pressureOf"
>;

/**
 * Decides which requests begin chains: by the shares that the services admit, which
 * are divided among organisations.
 */
export class ChainStarts {
  readonly #options: ChainStartsOptions;
  readonly #shedding = new RootShedding();
  readonly #fairShares = new FairShares();
  readonly #rootAdmission = new RootAdmission();

  /** @param options What the services admit. */
  constructor(options: ChainStartsOptions) {
    this.#options = options;
  }

  /**
   * Decides on a request and counts it.
   *
   * @param start Request that has arrived.
   * @param hasOrganisations Whether callers belong to organisations.
   */
  decide(start: ChainStart, hasOrganisations: boolean): RootDecision {
    const now = performance.now();
    const { organisation, priority, route, service, timeLeftMs } = start;
    const { name } = route;
    this.#shedding.recordArrival(priority);
    const { admittedShare, pressureOf } = this.#options;
    const shareOfAll = admittedShare?.(service, name, priority) ??
      1 - this.#shedding.refusalShare(priority, pressureOf(service, name));
    const share = hasOrganisations
      ? this.#fairShares.shareOf(
        { priority, organisation, admittedShare: shareOfAll },
        now,
      )
      : shareOfAll;
    const key = organisation === undefined
      ? name
      : `${name} ${organisation.name}`;
    return this.#rootAdmission.decide(
      { key, admittedShare: share, timeLeftMs },
      now,
    );
  }
}
