import {
  retryAfterRefusalMs,
  RootAdmission,
  type RootDecision,
  RootShedding,
} from "@oleanderdeck/calling";
import type { AdmissionShare, LoadReport } from "@oleanderdeck/hop";
import { AdmissionCache } from "./_admission_cache.ts";
import { KINDS } from "./_chain_kinds.ts";
import { ReplayChannel, type ReplayWorker } from "./_chain_workers.ts";
import { admissionOfLoads, pressureOfLoads } from "./service_loads.ts";

/** Workers of a service that a node calls; see `WorkerSubset`. */
const SUBSET_SIZE = 16;

/** Way in which nodes admit the requests that begin chains. */
export type AdmissionVariant = "pressure" | "shares";

/** Node at which chains begin, or a worker's node that makes calls. */
export class ReplayNode {
  readonly #shedding = new RootShedding();
  readonly #rootAdmission = new RootAdmission();
  readonly #admissions = new AdmissionCache((service, route) =>
    admissionOfLoads(this.#loadsOf(service), route, false)
  );
  readonly #channels = new Map<string, readonly ReplayChannel[]>();
  readonly #workers: ReadonlyMap<string, readonly ReplayWorker[]>;
  readonly #random: () => number;

  constructor(
    workers: ReadonlyMap<string, readonly ReplayWorker[]>,
    random: () => number,
  ) {
    this.#workers = workers;
    this.#random = random;
  }

  channels(service: string): readonly ReplayChannel[] {
    const known = this.#channels.get(service);
    if (known !== undefined) return known;
    const workers = this.#workers.get(service)!
      .map((worker) => ({ worker, order: this.#random() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, SUBSET_SIZE);
    const channels = workers.map(({ worker }) => new ReplayChannel(worker));
    this.#channels.set(service, channels);
    return channels;
  }

  pressureOf(service: string, route: string): number {
    return pressureOfLoads(this.#loadsOf(service), route);
  }

  admissionOf(
    service: string,
    route: string,
  ): readonly AdmissionShare[] | undefined {
    return admissionOfLoads(this.#loadsOf(service), route, true);
  }

  #loadsOf(service: string): readonly LoadReport[] {
    return this.channels(service)
      .filter(({ isReachable, load }) => isReachable && load.slots > 0)
      .map(({ load }) => load);
  }

  isRepeatBudgetLow(): boolean {
    return false;
  }

  /** Admits or refuses a request that begins a chain, as the proxy does. */
  decide(
    route: string,
    { timeLeftMs, variant }: {
      readonly timeLeftMs: number;
      readonly variant: AdmissionVariant;
    },
  ): RootDecision & { readonly retryAfterMs: number } {
    const { priority, service } = KINDS[route]!;
    const now = performance.now();
    this.#shedding.recordArrival(priority);
    const admittedShare = variant === "shares"
      ? this.#admissions.shareOf({ service, route, priority }, now)
      : undefined;
    if (admittedShare === undefined) {
      const pressure = this.pressureOf(service, route);
      const refused = this.#shedding.refusalShare(priority, pressure);
      const isAdmitted = this.#random() >= refused;
      const retryAfterMs = 300 * (1 + this.#random());
      return { isAdmitted, share: 1, retryAfterMs };
    }
    const decision = this.#rootAdmission.decide(
      { key: route, admittedShare, timeLeftMs },
      now,
    );
    const retryAfterMs = retryAfterRefusalMs(decision.share, this.#random());
    return { ...decision, retryAfterMs };
  }
}
