import type { RequestQuota } from "@oleanderdeck/calling";
import type { Configuration, Organisation } from "@oleanderdeck/directory";
import type { Frame } from "@oleanderdeck/hop";
import type { HostShare, HostShareOptions } from "@oleanderdeck/leases";
import type { QuotaExchange, QuotaExchangeOptions } from "./quota_exchange.ts";
import type { FrameSink } from "./peer_state_sync.ts";

/** Classes under test; variants of them show what a bound is needed for. */
export interface QuotaClasses {
  readonly HostShare: new (options: HostShareOptions) => HostShare;
  readonly QuotaExchange: new (
    options: QuotaExchangeOptions,
  ) => QuotaExchange;
}

/** Returns a generator of numbers from 0 to 1 that depend on a seed only. */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let value = Math.imul(state ^ (state >>> 15), 1 | state);
    value ^= value + Math.imul(value ^ (value >>> 7), 61 | value);
    return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Returns an organisation with a limit. */
export function organisation(
  name: string,
  ratePerSecond: number,
  burst: number,
): Organisation {
  return { name, ratePerSecond, burst, keyHashes: [], priority: undefined };
}

/** Frame under way between two hosts. */
export interface Passage {
  readonly from: string;
  readonly to: string;
}

/** Host of a {@linkcode QuotaFleet}. */
export interface QuotaHost {
  readonly name: string;
  exchange: QuotaExchange;
  /** Number of the process; timers and links of earlier ones are dropped. */
  life: number;
  /** Time until which nothing runs. */
  frozenUntil: number;
  /** Names of the hosts whose records this one knows. */
  known: readonly string[];
  /** Elected nodes in the view of this host; the first known ones if undefined. */
  elected: readonly string[] | undefined;
  /** Configuration in force here. */
  configuration: Configuration;
  /** Time for which the process was suspended. */
  suspendedMs: number;
}

/** Request that ran. */
export interface QuotaRun {
  readonly at: number;
  readonly organisation: string;
}

interface Task {
  readonly at: number;
  readonly run: () => void;
}

/** Delay of a frame that is lost. */
export const LOST = Infinity;

/** Hosts with quotas in virtual time. */
export class QuotaFleet {
  readonly hosts = new Map<string, QuotaHost>();
  readonly runs: QuotaRun[] = [];
  readonly random: () => number;
  readonly #classes: QuotaClasses;
  /** Latest first; of those at the same time, the one that was added last. */
  readonly #tasks: Task[] = [];
  now = 0;
  refused = 0;
  /** Returns the delay of a frame in milliseconds. */
  delayOf: (passage: Passage) => number = () => 1 + this.random() * 9;
  propagationMs = 15_000;

  constructor(seed: number, classes: QuotaClasses) {
    this.random = seededRandom(seed);
    this.#classes = classes;
  }

  /** Starts hosts that know each other's records. */
  start(
    names: readonly string[],
    configuration: Configuration,
    options: { readonly isFirstStart?: boolean } = {},
  ): void {
    names.forEach((name) => this.add(name, names, configuration, options));
  }

  /** Starts one host. */
  add(
    name: string,
    known: readonly string[],
    configuration: Configuration,
    { isFirstStart = false } = {},
  ): QuotaHost {
    const host = {
      name,
      life: 0,
      frozenUntil: 0,
      known,
      elected: undefined,
      configuration,
      suspendedMs: 0,
    } as Omit<QuotaHost, "exchange"> as QuotaHost;
    this.hosts.set(name, host);
    this.restart(host, isFirstStart);
    return host;
  }

  /** Starts a new process on a host. */
  restart(host: QuotaHost, isFirstStart = false): void {
    const life = ++host.life;
    const { HostShare, QuotaExchange } = this.#classes;
    const hostShare = new HostShare({
      isFirstStart,
      propagationMs: this.propagationMs,
    });
    host.exchange = new QuotaExchange({
      node: host.name,
      elected: () => host.elected ?? [...host.known].sort(),
      hostShare,
      send: (to, frame) => this.#sendRequest(host, to, frame),
      now: () => this.now - host.suspendedMs,
      wallNow: () => this.now,
      schedule: (callback, delayMs) => {
        let isCancelled = false;
        this.#runAt(host, life, this.now + delayMs, () => {
          if (!isCancelled) callback();
        });
        return () => isCancelled = true;
      },
      random: this.random,
    });
    host.exchange.applyConfiguration(host.configuration);
    this.#check(host, life);
  }

  /** Stops the process of a host for good. */
  stop(host: QuotaHost): void {
    host.life++;
    host.exchange.close();
    this.hosts.delete(host.name);
  }

  /** Puts a configuration in force at a host. */
  configure(host: QuotaHost, configuration: Configuration): void {
    host.configuration = configuration;
    this.#runAt(
      host,
      host.life,
      this.now,
      () => host.exchange.applyConfiguration(configuration),
    );
  }

  /** Sends a request to a host. */
  request(host: QuotaHost, name: string): void {
    if (this.hosts.get(host.name) !== host) return;
    const quota: RequestQuota = host.exchange;
    this.#runAt(host, host.life, this.now, () =>
      void quota.acquire({
        organisation: name,
        maxWaitMs: 1_000,
        decide: ({ isGranted }) => {
          if (isGranted) this.runs.push({ at: this.now, organisation: name });
          else this.refused++;
        },
      }));
  }

  /** Calls a function at a time. */
  at(time: number, run: () => void): void {
    let [from, to] = [0, this.#tasks.length];
    while (from < to) {
      const middle = (from + to) >> 1;
      if (this.#tasks[middle]!.at > time) from = middle + 1;
      else to = middle;
    }
    this.#tasks.splice(from, 0, { at: time, run });
  }

  /** Lets time pass. */
  advanceTo(time: number): void {
    for (
      let task = this.#tasks.at(-1);
      task !== undefined && task.at <= time;
      task = this.#tasks.at(-1)
    ) {
      this.#tasks.pop();
      this.now = Math.max(this.now, task.at);
      task.run();
    }
    this.now = time;
  }

  // What a frozen host receives, and its timers, wait until it runs again.
  #runAt(host: QuotaHost, life: number, time: number, run: () => void): void {
    this.at(time, () => {
      if (host.life !== life) return;
      if (host.frozenUntil > this.now) {
        this.#runAt(host, life, host.frozenUntil, run);
      } else run();
    });
  }

  #check(host: QuotaHost, life: number): void {
    const isKnown = host.known.includes(host.name);
    host.exchange.update(host.known.length, isKnown);
    this.#runAt(
      host,
      life,
      this.now + 250,
      () => this.#check(host, life),
    );
  }

  #sendRequest(from: QuotaHost, name: string, frame: Frame): void {
    const { life } = from;
    this.#pass(from, name, (to) => {
      const sink: FrameSink = {
        send: (reply) =>
          this.#pass(to, from.name, (host) => {
            const isReply = reply.kind === "quota_grant" && host.life === life;
            if (isReply) host.exchange.receiveGrant(reply, to.name);
          }),
      };
      to.exchange.identify(sink, from.name);
      if (frame.kind === "quota_request") {
        to.exchange.receiveRequest(frame, sink);
      }
    });
  }

  #pass(
    from: QuotaHost,
    name: string,
    receive: (host: QuotaHost) => void,
  ): void {
    const delayMs = this.delayOf({ from: from.name, to: name });
    const to = this.hosts.get(name);
    if (delayMs === LOST || to === undefined) return;
    // Frames of one link keep their order.
    const key = `${from.name} ${name}`;
    const at = Math.max(this.now + delayMs, this.#arrivals.get(key) ?? 0);
    this.#arrivals.set(key, at);
    this.#runAt(to, to.life, at, () => receive(to));
  }

  readonly #arrivals = new Map<string, number>();
}

/** Returns a configuration with organisations. */
export function quotaConfiguration(
  version: number,
  organisations: readonly Organisation[],
): Configuration {
  return {
    version,
    organisations,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 0,
      maxBodyBytes: 0,
      headerTimeoutMs: 0,
      idleTimeoutMs: 0,
    },
  };
}

/** Returns the greatest number of runs of an organisation in a window. */
export function maxRuns(
  runs: readonly QuotaRun[],
  name: string,
  windowMs = 5_000,
): number {
  const times = runs.filter(({ organisation: own }) => own === name)
    .map(({ at }) => at);
  let first = 0;
  let max = 0;
  times.forEach((at, index) => {
    while (at - times[first]! > windowMs) first++;
    max = Math.max(max, index - first + 1);
  });
  return max;
}
