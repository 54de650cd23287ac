import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { WATCH_MARGIN_MS, WorkerDirectory } from "@oleanderdeck/directory";
import {
  ConfigurationFreshness,
  ConfigurationWatchers,
  type LocalTime,
  watchWaitMs,
} from "./mod.ts";

/** Time after an acknowledgement from which on no revoked key may be used. */
export const LIMIT_MS = 5_000;

/** Hosts of a replay; six of them watch the store. */
export const HOSTS = 8;

/** Length of a replay, in milliseconds. */
export const REPLAY_MS = 30_000;

/** Time for a host to have a proof again after its last fault, in milliseconds. */
export const RECOVERY_MS = 6_000;

/** Time until the operator writes a lost version again, in milliseconds. */
export const OLDER_FOR_MS = 6_000;

const STEP_MS = 10;
const CHECK_MS = 250;
const BROADCAST_MS = 500;

/** What may befall a host; `cut_off` is from the store and all peers. */
export const FAULT_KINDS = [
  "frozen",
  "suspended",
  "cut_off",
  "cut_from_peers",
  "silent_store",
  "restarted",
  "wall_clock_set",
] as const;

/** Stands for all hosts in a fault. */
export const ALL_HOSTS = -1;

/** Fault of a host, in milliseconds from the start of the replay. */
export interface Fault {
  readonly host: number;
  readonly kind: typeof FAULT_KINDS[number];
  readonly from: number;
  readonly forMs: number;
}

/** Schedule of a replay, in milliseconds from its start. */
export interface Schedule {
  readonly seed: number;
  readonly faults: readonly Fault[];
  /** Times at which a configuration is acknowledged that takes a key away. */
  readonly changes: readonly number[];
  /** Time at which the store comes back without its latest version. */
  readonly olderAt?: number;
}

/** Faults put into the code, each of which has to break the limit. */
export type Mutation =
  | "age_from_answer"
  | "suspension_ignored"
  | "passed_on_from_receipt"
  | "unconfirmed_reads";

/** Outcome of a replay. */
export interface ReplayResult {
  /** Requests with a key that was taken away longer ago than the limit. */
  readonly late: number;
  /** Last time at which a host that ran had no proof. */
  readonly lastUnprovenAt: number;
  /** Hosts that have a proof at the end. */
  readonly provenHosts: number;
  readonly storeCalls: number;
}

interface Message {
  readonly at: number;
  readonly process: Process | undefined;
  readonly run: () => void;
}

/** One process of a node, with the real decisions and a stand-in for the rest. */
class Process {
  readonly freshness: ConfigurationFreshness;
  readonly watchers: ConfigurationWatchers;
  version = 0;
  nextCheck = 0;
  nextBroadcast = 0;
  call: { readonly sentAt: LocalTime; readonly until: number } | undefined;
  /** Version that the last read of the store had; 0 if it has to be read. */
  storedVersion = 0;
  /** Time of receipt of the last proof, for a mutation. */
  receivedAt = -Infinity;
  constructor(
    freshness: (process: Process) => ConfigurationFreshness,
    watchers: ConfigurationWatchers,
  ) {
    this.watchers = watchers;
    this.freshness = freshness(this);
  }
}

/** Hosts, links and a store in virtual time. */
export class FreshnessReplay {
  readonly #schedule: Schedule;
  readonly #mutation: Mutation | undefined;
  readonly #random: RandomGenerator;
  readonly #directory = new WorkerDirectory();
  readonly #processes: Process[] = [];
  readonly #inboxes: Message[][] = [];
  /** Time that each host has been suspended for, and shift of its wall clock. */
  readonly #suspendedMs: number[] = Array(HOSTS).fill(0);
  readonly #suspendedUntil: number[] = Array(HOSTS).fill(0);
  readonly #wallShiftMs: number[] = Array(HOSTS).fill(0);
  /** Times of the first acknowledgement of each version. */
  readonly #acknowledgedAt = [-Infinity, -Infinity];
  #storeVersion = 1;
  #storeSteps: { readonly at: number; readonly run: () => void }[] = [];
  #now = 0;
  #late = 0;
  #storeCalls = 0;
  #lastUnprovenAt = -Infinity;

  constructor(schedule: Schedule, mutation?: Mutation) {
    this.#schedule = schedule;
    this.#mutation = mutation;
    this.#random = xoroshiro128plus(schedule.seed);
    for (let host = 0; host < HOSTS; host++) {
      this.#directory.put({
        revision: host + 1,
        record: {
          node: `${host}`,
          address: `10.0.0.${host}:1`,
          service: "menus",
          dataCentre: "wa-a",
          slots: 4,
          workerId: `i-${host}`,
        },
      });
      this.#inboxes.push([]);
      this.#processes.push(this.#start(host));
    }
  }

  run(): ReplayResult {
    const { changes, faults, olderAt } = this.#schedule;
    for (; this.#now < REPLAY_MS; this.#now += STEP_MS) {
      if (changes.includes(this.#now)) this.#change();
      if (this.#now === olderAt) this.#storeVersion--;
      const isRewritten = olderAt !== undefined &&
        this.#now === olderAt + OLDER_FOR_MS;
      if (isRewritten) this.#storeVersion++;
      faults.filter(({ from }) => from === this.#now)
        .forEach((fault) => this.#begin(fault));
      const steps = this.#storeSteps;
      this.#storeSteps = steps.filter(({ at }) => at > this.#now);
      steps.filter(({ at }) => at <= this.#now).forEach(({ run }) => run());
      for (let host = 0; host < HOSTS; host++) this.#step(host);
    }
    return {
      late: this.#late,
      lastUnprovenAt: this.#lastUnprovenAt,
      provenHosts:
        this.#processes.filter((process) => process.freshness.mayUseCredentials)
          .length,
      storeCalls: this.#storeCalls,
    };
  }

  #change(): void {
    this.#storeVersion++;
    this.#acknowledgedAt[this.#storeVersion] = this.#now;
  }

  #begin({ host, kind, forMs }: Fault): void {
    if (host === ALL_HOSTS) return;
    if (kind === "wall_clock_set") {
      this.#wallShiftMs[host]! += this.#draw(-5_000, 5_000);
    }
    if (kind === "suspended") {
      const from = Math.max(this.#now, this.#suspendedUntil[host]!);
      const until = Math.max(from, this.#now + forMs);
      this.#suspendedMs[host]! += until - from;
      this.#suspendedUntil[host] = until;
    }
    if (kind === "restarted") this.#processes[host] = this.#start(host);
  }

  #has(host: number, ...kinds: readonly Fault["kind"][]): boolean {
    return this.#schedule.faults.some((fault) =>
      (fault.host === host || fault.host === ALL_HOSTS) &&
      kinds.includes(fault.kind) &&
      fault.from <= this.#now && this.#now < fault.from + fault.forMs
    );
  }

  #step(host: number): void {
    if (this.#has(host, "frozen", "suspended", "restarted")) return;
    const process = this.#processes[host]!;
    // A request is the first thing that a host sees after it stood still.
    this.#judge(host);
    if (!process.freshness.mayUseCredentials) this.#lastUnprovenAt = this.#now;
    const inbox = this.#inboxes[host]!;
    const due = inbox.filter(({ at }) => at <= this.#now);
    this.#inboxes[host] = inbox.filter(({ at }) => at > this.#now);
    due.filter(({ process: receiver }) => receiver === process)
      .forEach(({ run }) => {
        run();
        this.#judge(host);
      });
    this.#runTimers(host, process);
  }

  #judge(host: number): void {
    const { freshness, version } = this.#processes[host]!;
    if (version === 0 || !freshness.mayUseCredentials) return;
    const revokedAt = this.#acknowledgedAt[version + 1] ?? Infinity;
    if (this.#now > revokedAt + LIMIT_MS) this.#late++;
  }

  #runTimers(host: number, process: Process): void {
    const now = this.#monotonic(host);
    if (process.call !== undefined && now > process.call.until) {
      process.call = undefined;
      process.storedVersion = 0;
    }
    if (now >= process.nextCheck) {
      process.nextCheck = now + CHECK_MS;
      process.freshness.check();
    }
    if (process.call === undefined && process.watchers.mustWatch) {
      this.#callStore(host, process);
    }
    if (now < process.nextBroadcast) return;
    process.nextBroadcast = now + BROADCAST_MS;
    if (!process.watchers.elected.includes(`${host}`)) return;
    for (let peer = 0; peer < HOSTS; peer++) {
      if (peer !== host) this.#sendVersion(host, peer);
    }
  }

  #sendVersion(host: number, peer: number): void {
    const { version } = this.#processes[host]!;
    this.#send(host, peer, (receiver) => this.#name(peer, receiver, version));
  }

  // A host fetches a version that it has heard of after a short time.
  #name(host: number, process: Process, version: number): void {
    process.freshness.hear(version);
    if (version <= process.version) return;
    this.#deliver(host, this.#draw(5, 200), (receiver) => {
      receiver.version = Math.max(receiver.version, version);
    });
  }

  #callStore(host: number, process: Process): void {
    this.#storeCalls++;
    const waitMs = watchWaitMs(LIMIT_MS);
    const isRead = process.freshness.isReadDue;
    const call = {
      sentAt: process.freshness.now(),
      until: this.#monotonic(host) + waitMs + WATCH_MARGIN_MS,
    };
    process.call = call;
    const respond = (until: number): void => {
      if (this.#has(host, "cut_off", "silent_store")) return;
      const version = this.#storeVersion;
      const isDue = isRead || version !== process.storedVersion ||
        this.#now >= until;
      if (!isDue) return this.#later(STEP_MS, () => respond(until));
      this.#deliver(host, this.#delay(), (receiver) => {
        if (receiver.call !== call) return;
        receiver.call = undefined;
        receiver.storedVersion = version;
        receiver.version = Math.max(receiver.version, version);
        receiver.freshness.recordRead(
          version,
          this.#mutation === "age_from_answer"
            ? receiver.freshness.now()
            : call.sentAt,
        );
      });
    };
    this.#later(this.#delay(), () => respond(this.#now + waitMs));
  }

  // Runs a step of the store, whatever the state of the hosts.
  #later(delayMs: number, run: () => void): void {
    this.#storeSteps.push({ at: this.#now + delayMs, run });
  }

  #start(host: number): Process {
    return new Process(
      (process) =>
        new ConfigurationFreshness({
          node: `${host}`,
          limitMs: LIMIT_MS,
          clocks: this.#clocks(host),
          random: () => uniformFloat64(this.#random),
          version: () => process.version,
          elected: () => process.watchers.elected,
          isNear: (peer) => Number(peer) % 3 === host % 3,
          isAlone: () => this.#mutation === "unconfirmed_reads",
          isFirstStart: false,
          send: (peer, frame) => this.#ask(host, Number(peer), frame.id),
          onPeerProof: () => process.watchers.recordAnnouncement(),
          log: { write: () => {} },
        }),
      new ConfigurationWatchers({
        node: `${host}`,
        directory: this.#directory,
        now: () => this.#monotonic(host),
      }),
    );
  }

  #ask(host: number, peer: number, id: number): void {
    this.#send(host, peer, (asked) => {
      const proof = asked.freshness.answer({ kind: "proof_request", id });
      const passedOn = this.#monotonic(peer) - asked.receivedAt;
      const ageMs = this.#mutation === "passed_on_from_receipt"
        ? Math.min(proof.ageMs, passedOn)
        : proof.ageMs;
      this.#send(peer, host, (receiver) => {
        if (ageMs < LIMIT_MS) receiver.receivedAt = this.#monotonic(host);
        receiver.freshness.receive({ ...proof, ageMs });
        this.#name(host, receiver, proof.configurationVersion);
      });
    });
  }

  #send(from: number, to: number, run: (receiver: Process) => void): void {
    const isCut = [from, to].some((host) =>
      this.#has(host, "cut_off", "cut_from_peers")
    );
    if (!isCut) this.#deliver(to, this.#delay(), run);
  }

  #deliver(
    host: number,
    delayMs: number,
    run: (receiver: Process) => void,
  ): void {
    if (this.#has(host, "restarted")) return;
    const process = this.#processes[host]!;
    this.#inboxes[host]!.push({
      at: this.#now + delayMs,
      process,
      run: () => run(process),
    });
  }

  #clocks(host: number) {
    const monotonic = () => this.#monotonic(host);
    if (this.#mutation === "suspension_ignored") {
      return { monotonic, wall: monotonic };
    }
    return {
      monotonic,
      wall: () => Math.floor(this.#now + this.#wallShiftMs[host]!),
    };
  }

  #monotonic(host: number): number {
    return this.#now - this.#suspendedMs[host]!;
  }

  #delay(): number {
    return uniformFloat64(this.#random) < 0.05
      ? this.#draw(50, 3_000)
      : this.#draw(1, 50);
  }

  #draw(least: number, most: number): number {
    return least + uniformFloat64(this.#random) * (most - least);
  }
}
