import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  CallTask,
  type TaskResult,
  type WorkerChannel,
} from "@oleanderdeck/calling";
import {
  type DownstreamLoad,
  isNestedRank,
  rankOfNested,
  rankOfRoot,
  type WorkerCall,
} from "@oleanderdeck/serving";
import { KINDS } from "./_chain_kinds.ts";
import { type AdmissionVariant, ReplayNode } from "./_chain_node.ts";
import { ReplayWorker, type RunCounts } from "./_chain_workers.ts";
import { VirtualTime } from "./_virtual_time.ts";

/** Usual requests a second of each kind. */
const USUAL_RATES: Readonly<Record<string, number>> = {
  lookup: 703,
  escalation: 311,
  export: 88,
  closure: 82,
};

const WORKERS: Readonly<Record<string, number>> = {
  menus: 39,
  bookings: 29,
  uploads: 8,
  members: 4,
};

/** Slots of a worker, and the work in a millisecond of each at `members`. */
const SLOTS = 82;
const MEMBER_PACES: readonly number[] = [0.7, 0.7, 1.6, 1];

/** A worker whose slots are all in use takes twice as long for its own work. */
const SLOWING_EXPONENT = 4;

/** Least share of its time with which a refused request is sent again. */
const MIN_TIME_SHARE_TO_RETURN = 0.25;

const NO_LOAD: DownstreamLoad = {
  pressure: 0,
  routePressures: [],
  unrepeatableRoutes: [],
};

/** Load of one replay. */
export interface ChainReplayOptions {
  readonly variant: AdmissionVariant;
  readonly firstHops: number;
  /** Rates and slots are divided by this. */
  readonly scale: number;
  /** Returns the requests at a time, as a multiple of the usual ones. */
  readonly loadAt: (timeMs: number) => number;
  readonly seconds: number;
  readonly seed: number;
}

/** Requests of one kind that were sent and served in one second. */
interface KindCounts {
  sent: number;
  served: number;
}

/**
 * Replays call chains that lead to a small deep service, in virtual time, with
 * the call tasks, gates and load reports of the nodes. Callers send refused
 * requests again as long as they have time.
 */
export class ChainReplay {
  readonly workers = new Map<string, readonly ReplayWorker[]>();
  /** Counts of each kind by the second in which it was sent. */
  readonly counts = new Map<string, KindCounts[]>();
  readonly #options: ChainReplayOptions;
  readonly #random: () => number;
  readonly #nodes = new Map<ReplayWorker, ReplayNode>();
  readonly #firstHops: readonly ReplayNode[];
  readonly #time: VirtualTime;
  #identities = 0;

  constructor(options: ChainReplayOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => uniformFloat64(generator);
    this.#time = new VirtualTime(this.#random);
    Object.entries(WORKERS).forEach(([service, count]) =>
      this.workers.set(
        service,
        Array.from(
          { length: count },
          (_, index) => this.#addWorker(service, index),
        ),
      )
    );
    this.#firstHops = Array.from(
      { length: options.firstHops },
      () => this.#newNode(),
    );
    Object.keys(USUAL_RATES).forEach((kind) => {
      this.counts.set(kind, []);
      this.#scheduleRequest(kind);
    });
  }

  /** Plays the load up to a time, in seconds. */
  run(untilSecond = this.#options.seconds): void {
    this.#time.runUntil(untilSecond * 1_000);
  }

  /** Ends the replay; its counts can still be read. */
  close(): void {
    this.#time.close();
  }

  /**
   * Returns the share of the runs at a service that came to nothing, of those
   * started from one second on to another.
   */
  wastedShare(service: string, from: number, to: number): number {
    const runs = this.workers.get(service)!.flatMap(({ counts }) =>
      counts.slice(from, to).filter((entry) => entry !== undefined)
    );
    const sum = (key: keyof RunCounts) =>
      runs.reduce((total, entry) => total + entry[key], 0);
    return 1 - sum("succeeded") / Math.max(1, sum("started"));
  }

  /**
   * Returns the requests of a kind that were served, by the second in which they
   * were sent.
   */
  servedBySecond(kind: string, from: number, to: number): readonly number[] {
    return this.counts.get(kind)!.slice(from, to).map(({ served }) => served);
  }

  /** Returns the served share of the requests of a kind in some seconds. */
  servedShare(kind: string, from: number, to: number): number {
    const counts = this.counts.get(kind)!.slice(from, to);
    const sum = (key: keyof KindCounts) =>
      counts.reduce((total, entry) => total + entry[key], 0);
    return sum("served") / Math.max(1, sum("sent"));
  }

  #newNode(): ReplayNode {
    return new ReplayNode(this.workers, this.#random);
  }

  #addWorker(service: string, index: number): ReplayWorker {
    const worker: ReplayWorker = new ReplayWorker({
      node: `${service}-${index}`,
      service,
      slots: Math.round(SLOTS / this.#options.scale),
      pace: service === "members" ? MEMBER_PACES[index]! : 1,
      firstCheckMs: this.#random() * 250,
      channels: () => this.#nodes.get(worker)!,
      work: (call, at, finish) => this.#work(call, at, finish),
    });
    this.#nodes.set(worker, this.#newNode());
    return worker;
  }

  #scheduleRequest(kind: string): void {
    const { loadAt, scale, seconds } = this.#options;
    const now = performance.now();
    if (now > (seconds + 1) * 1_000) return;
    const perMs = USUAL_RATES[kind]! * loadAt(now) / scale / 1_000;
    setTimeout(() => {
      const second = Math.floor(performance.now() / 1_000);
      const counts = this.counts.get(kind)!;
      const count = counts[second] ??= { sent: 0, served: 0 };
      count.sent++;
      const hop = this.#firstHops[
        Math.floor(this.#random() * this.#firstHops.length)
      ]!;
      const deadline = performance.now() + KINDS[kind]!.timeoutMs;
      this.#request(hop, { kind, deadline, onServed: () => count.served++ });
      this.#scheduleRequest(kind);
    }, -Math.log(1 - this.#random()) / perMs);
  }

  #request(
    hop: ReplayNode,
    request: {
      readonly kind: string;
      readonly deadline: number;
      readonly onServed: () => void;
    },
  ): void {
    const { deadline, kind, onServed } = request;
    const returnIn = (retryAfterMs: number) => {
      const leastMs = KINDS[kind]!.timeoutMs * MIN_TIME_SHARE_TO_RETURN;
      if (deadline - performance.now() - retryAfterMs < leastMs) return;
      setTimeout(() => this.#request(hop, request), retryAfterMs);
    };
    const { isAdmitted, retryAfterMs, share } = hop.decide(kind, {
      timeLeftMs: deadline - performance.now(),
      variant: this.#options.variant,
    });
    if (!isAdmitted) return returnIn(retryAfterMs);
    const { priority } = KINDS[kind]!;
    this.#call(kind, {
      node: hop,
      deadline,
      rank: this.#rootRank(priority),
      admittedShare: share,
      requestId: `${++this.#identities}`,
      finish: (result) => {
        if (isSuccess(result)) return onServed();
        const isRefused = result.kind === "refusal" && result.status === 503;
        if (isRefused) returnIn(result.retryAfterMs);
      },
    });
  }

  // The earlier order of waiting calls was nested calls by priority, and then
  // requests by priority. These ranks have it in the present order.
  #rootRank(priority: number): number {
    if (this.#options.variant === "shares") return rankOfRoot(priority);
    return rankOfRoot(priority === 0 ? 2 : 3);
  }

  #nestedRank(parentRank: number): number {
    const isRoot = !isNestedRank(parentRank);
    if (this.#options.variant === "shares" || !isRoot) {
      return rankOfNested(parentRank);
    }
    return rankOfNested(parentRank) === 2 ? 0 : 1;
  }

  // The worker works and then makes its calls one after another.
  #work(
    call: WorkerCall,
    worker: ReplayWorker,
    finish: (isSuccess: boolean) => void,
  ): () => void {
    const kind = KINDS[call.route]!;
    const deadline = performance.now() + call.timeLeftMs;
    const node = this.#nodes.get(worker)!;
    let isStopped = false;
    let running: CallTask | undefined;
    const callNext = (position: number): void => {
      if (isStopped) return;
      const route = kind.calls[position];
      if (route === undefined) return finish(true);
      const requestId = `${call.requestId}.${++this.#identities}`;
      const parent = worker.gate.parentRequestOf(requestId) ?? call;
      const { service, timeoutMs } = KINDS[route]!;
      worker.recordCall({ parentRoute: parent.route, route, service });
      running = this.#call(route, {
        node,
        deadline: Math.min(deadline, performance.now() + timeoutMs),
        rank: this.#nestedRank(parent.rank),
        admittedShare: parent.admittedShare,
        requestId,
        finish: (result) => {
          if (isRefusedBelow(result)) worker.gate.markRefusedBelow(parent);
          if (isSuccess(result)) callNext(position + 1);
          else finish(false);
        },
      });
    };
    const slots = SLOTS / this.#options.scale;
    const usage = worker.gate.loadReport(NO_LOAD).running / slots;
    const holdMs = kind.holdMs / worker.pace * (1 + usage ** SLOWING_EXPONENT) *
      (0.5 + this.#random());
    const timer = setTimeout(() => callNext(0), holdMs);
    return () => {
      isStopped = true;
      clearTimeout(timer);
      running?.cancel();
    };
  }

  #call(
    route: string,
    { admittedShare, deadline, finish, node, rank, requestId }: {
      readonly node: ReplayNode;
      readonly deadline: number;
      readonly rank: number;
      readonly admittedShare: number | undefined;
      readonly requestId: string;
      readonly finish: (result: TaskResult) => void;
    },
  ): CallTask {
    const { isIdempotent, service, targetMs } = KINDS[route]!;
    const task = new CallTask({
      requestId,
      route,
      method: "GET",
      target: "/",
      headers: [],
      body: Buffer.alloc(0),
      service,
      isIdempotent,
      maxAttempts: isIdempotent ? 2 : 1,
      latencyTargetMs: targetMs,
      rank,
      admittedShare,
      isRepeat: false,
      deadline,
    }, {
      dataCentre: "a",
      channels: (name): readonly WorkerChannel[] => node.channels(name),
      pressureOf: (name, of) => node.pressureOf(name, of),
      finish,
    });
    task.start();
    return task;
  }
}

function isSuccess(result: TaskResult): boolean {
  return result.kind === "answer" && result.status === 200;
}

function isRefusedBelow(result: TaskResult): boolean {
  return result.kind === "answer"
    ? result.status >= 500 && result.isRefusedBelow
    : result.status === 503;
}
