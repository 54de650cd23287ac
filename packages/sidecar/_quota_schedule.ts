import type { Configuration } from "@oleanderdeck/directory";
import {
  LOST,
  maxRuns,
  organisation,
  type QuotaClasses,
  quotaConfiguration,
  QuotaFleet,
  type QuotaHost,
} from "./_quota_fleet.ts";

/** Length of a schedule, in milliseconds. */
const DURATION_MS = 50_000;

/** Length of the window that limits are checked in, in milliseconds. */
const WINDOW_MS = 5_000;

/** Time in which hosts take a new configuration, in milliseconds. */
const ROLLOUT_MS = 2_500;

const HOSTS = 12;

/** Kinds of faults in one schedule; with all of them each would be rare. */
const FAULTS = 3;

/** Demand of a flood, as a multiple of the rate. */
const FLOOD = 2.5;

const NAME = "o";

interface LimitInForce {
  readonly from: number;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Random schedule of demand and faults for one organisation. */
export class QuotaSchedule {
  readonly #fleet: QuotaFleet;
  readonly #limits: LimitInForce[] = [];
  #configuration: Configuration;
  readonly #faults: readonly (() => void)[];
  #joined = 0;
  readonly #joinedAt = new Map<string, number>();
  /** Group of each host while the network is divided. */
  #groups: ReadonlyMap<string, number> | undefined;
  #healsAt = 0;
  #slowUntil = 0;

  constructor(seed: number, classes: QuotaClasses) {
    this.#fleet = new QuotaFleet(seed, classes);
    this.#configuration = this.#newConfiguration(1);
    const names = Array.from({ length: HOSTS }, (_, index) => `host-${index}`);
    this.#fleet.start(names, this.#configuration, {
      isFirstStart: this.#isTrue(0.2),
    });
    this.#faults = Array.from({ length: FAULTS }, () => this.#pickFault());
    this.#fleet.delayOf = ({ from, to }) => this.#delayOf(from, to);
  }

  /**
   * Plays the schedule.
   *
   * @returns Greatest number of requests by which a window exceeds its bound.
   */
  run(): number {
    this.#planDemand(this.#between(0, 5_000));
    this.#planFault(2_000);
    this.#fleet.advanceTo(DURATION_MS);
    return this.#excess;
  }

  /** Number of requests that ran. */
  get runs(): number {
    return this.#fleet.runs.length;
  }

  // The limit of a window is the greatest in force in it or in the one before.
  get #excess(): number {
    const { runs } = this.#fleet;
    const excesses = this.#limits.map(({ from }, index) => {
      const until = (this.#limits[index + 1]?.from ?? Infinity) + ROLLOUT_MS +
        WINDOW_MS;
      const inForce = this.#limits.filter((other, position) =>
        position === index ||
        (other.from < until && position > index) ||
        (position < index &&
          this.#limits[position + 1]!.from + ROLLOUT_MS + WINDOW_MS > from)
      );
      const [rate, burst] = [
        Math.max(...inForce.map(({ ratePerSecond }) => ratePerSecond)),
        Math.max(...inForce.map((limit) => limit.burst)),
      ];
      const own = runs.filter(({ at }) => at >= from && at < until);
      const bound = (rate * WINDOW_MS / 1_000 + burst) * 1.1 + 20;
      return maxRuns(own, NAME, WINDOW_MS) - bound;
    });
    return Math.max(...excesses);
  }

  #between(least: number, greatest: number): number {
    return least + (greatest - least) * this.#fleet.random();
  }

  #isTrue(probability: number): boolean {
    return this.#fleet.random() < probability;
  }

  get #hosts(): readonly QuotaHost[] {
    return [...this.#fleet.hosts.values()];
  }

  #pick(): QuotaHost {
    const hosts = this.#hosts;
    return hosts[Math.floor(this.#fleet.random() * hosts.length)]!;
  }

  #newConfiguration(version: number): Configuration {
    const ratePerSecond = this.#between(60, 120);
    const burst = ratePerSecond * this.#between(0.2, 2);
    this.#limits.push({ from: this.#fleet.now, ratePerSecond, burst });
    const limit = organisation(NAME, ratePerSecond, burst);
    return quotaConfiguration(version, [limit]);
  }

  get #ratePerSecond(): number {
    return this.#limits.at(-1)!.ratePerSecond;
  }

  // Idle times fill buckets and pools, requests that move from host to host leave
  // grants unused, and a flood uses all that there is.
  #planDemand(at: number): void {
    if (at > DURATION_MS) return;
    const kind = Math.floor(this.#fleet.random() * 3);
    const middle = at + this.#between(1_000, kind === 2 ? 25_000 : 8_000);
    if (kind === 1) this.#sendFrom(at, middle, 0.9, () => this.#pick());
    if (kind === 2) this.#rotate(at, middle);
    const end = middle + this.#between(500, 9_000);
    if (this.#isTrue(0.7)) this.#flood(middle, end);
    else {
      const host = this.#pick();
      this.#sendFrom(middle, end, FLOOD, () => host);
    }
    this.#fleet.at(end, () => this.#planDemand(end + this.#between(0, 2_000)));
  }

  #flood(at: number, end: number): void {
    let next = 0;
    this.#sendFrom(at, end, FLOOD, () => {
      const hosts = this.#hosts;
      return hosts[next++ % hosts.length]!;
    });
  }

  #rotate(at: number, end: number): void {
    const turnMs = this.#between(300, 3_000);
    this.#sendFrom(at, end, this.#between(0.4, 0.8), () => {
      const hosts = this.#hosts;
      return hosts[Math.floor(this.#fleet.now / turnMs) % hosts.length]!;
    });
  }

  #sendFrom(
    at: number,
    end: number,
    factor: number,
    choose: () => QuotaHost,
  ): void {
    if (at > end) return;
    this.#fleet.at(at, () => {
      this.#fleet.request(choose(), NAME);
      const next = at + 1_000 / (factor * this.#ratePerSecond);
      this.#sendFrom(next, end, factor, choose);
    });
  }

  #planFault(at: number): void {
    if (at > DURATION_MS) return;
    this.#fleet.at(at, () => {
      this.#faults[Math.floor(this.#fleet.random() * FAULTS)]!();
      this.#planFault(at + this.#between(300, 4_000));
    });
  }

  #pickFault(): () => void {
    const faults = [
      () => this.#freeze(this.#pick()),
      () => this.#freeze(this.#broker),
      () => this.#suspend(this.#pick()),
      () => this.#restart(this.#pick()),
      () => this.#restart(this.#broker),
      () => this.#hosts.forEach((host) => this.#restart(host)),
      () => this.#die(this.#broker),
      () => this.#splitViews(),
      () => this.#divide(),
      () => this.#slowUntil = this.#fleet.now + this.#between(500, 4_000),
      () => this.#changeLimit(),
      () => this.#join(),
      () => this.#leave(this.#pick()),
    ];
    return faults[Math.floor(this.#fleet.random() * faults.length)]!;
  }

  get #broker(): QuotaHost {
    const view = [...this.#pick().known].sort();
    const broker = this.#fleet.hosts.get(
      view[Math.floor(this.#fleet.random() * 3)] ?? "",
    );
    return broker ?? this.#pick();
  }

  // A host that starts again before the others have counted it takes itself for
  // counted; docs/design/quotas.md names what that may cost.
  #restart(host: QuotaHost): void {
    const joinedAt = this.#joinedAt.get(host.name) ?? -Infinity;
    const isCounted = this.#fleet.now - joinedAt > this.#fleet.propagationMs;
    if (isCounted) this.#fleet.restart(host);
  }

  #freeze(host: QuotaHost): void {
    host.frozenUntil = this.#fleet.now + this.#between(300, 7_000);
  }

  #suspend(host: QuotaHost): void {
    const lengthMs = this.#between(300, 7_000);
    host.frozenUntil = this.#fleet.now + lengthMs;
    host.suspendedMs += lengthMs;
  }

  // The record of a host that is lost stays.
  #die(host: QuotaHost): void {
    if (this.#hosts.length > HOSTS / 2) this.#fleet.stop(host);
  }

  #leave(host: QuotaHost): void {
    if (this.#hosts.length <= HOSTS / 2) return;
    this.#fleet.stop(host);
    this.#hosts.forEach((other) =>
      this.#fleet.at(this.#fleet.now + this.#between(10, 12_000), () => {
        other.known = other.known.filter((name) => name !== host.name);
      })
    );
  }

  // Several hosts join at once, which the others learn late.
  #join(): void {
    const count = Math.floor(this.#between(1, HOSTS));
    const names = Array.from(
      { length: count },
      () => `host-${100 + this.#joined++}`,
    );
    const known = [...new Set([...this.#pick().known, ...names])];
    const former = this.#hosts;
    names.forEach((name) => {
      const others = known.filter((other) => other !== name);
      const host = this.#fleet.add(name, others, this.#configuration);
      this.#joinedAt.set(name, this.#fleet.now + 900);
      this.#fleet.at(this.#fleet.now + this.#between(300, 900), () => {
        host.known = [...host.known, name];
      });
    });
    former.forEach((host) =>
      this.#fleet.at(this.#fleet.now + this.#between(10, 15_000), () => {
        host.known = [...new Set([...host.known, ...names])];
      })
    );
  }

  #splitViews(): void {
    const shift = 1 + Math.floor(this.#fleet.random() * 3);
    const end = this.#fleet.now + this.#between(2_000, 12_000);
    this.#hosts.filter(() => this.#isTrue(0.5)).forEach((host) => {
      host.elected = [...host.known].sort().slice(shift);
      this.#fleet.at(end, () => host.elected = undefined);
    });
  }

  #divide(): void {
    const groups = 2 + Math.floor(this.#fleet.random() * 3);
    this.#groups = new Map(
      this.#hosts.map(({ name }) => [
        name,
        Math.floor(this.#fleet.random() * groups),
      ]),
    );
    this.#healsAt = this.#fleet.now + this.#between(500, 8_000);
  }

  // Frames between the parts of a divided network are lost or arrive at its end.
  #delayOf(from: string, to: string): number {
    const usual = this.#between(0.2, 30);
    const isSlow = this.#fleet.now < this.#slowUntil && this.#isTrue(0.3);
    if (isSlow) return this.#between(50, 3_000);
    const isDivided = this.#fleet.now < this.#healsAt &&
      this.#groups?.get(from) !== this.#groups?.get(to);
    if (!isDivided) return this.#isTrue(0.002) ? LOST : usual;
    return this.#isTrue(0.5) ? LOST : this.#healsAt - this.#fleet.now + usual;
  }

  #changeLimit(): void {
    const configuration = this.#newConfiguration(
      this.#configuration.version + 1,
    );
    this.#configuration = configuration;
    this.#hosts.forEach((host) =>
      this.#fleet.at(this.#fleet.now + this.#between(0, ROLLOUT_MS), () => {
        if (host.configuration.version < configuration.version) {
          this.#fleet.configure(host, configuration);
        }
      })
    );
  }
}
