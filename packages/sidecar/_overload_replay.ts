import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { vi } from "vitest";
import { CallTask, LocalChannel, type TaskResult } from "@oleanderdeck/calling";
import { RepeatBudget } from "@oleanderdeck/retries";
import {
  rankOfNested,
  rankOfRoot,
  type WorkerCall,
  type WorkerConnections,
  WorkerGate,
  type WorkerResult,
  WorkerTracker,
} from "@oleanderdeck/serving";
import { LoadReporter } from "./load_reporter.ts";

/** Kind of request: its service, its work and the calls that the work makes. */
interface RequestKind {
  readonly service: string;
  readonly isIdempotent: boolean;
  readonly priority: number;
  readonly holdMs: number;
  readonly timeoutMs: number;
  readonly calls: readonly string[];
}

/** Call graph of a club's menus: each kind with the calls of its work. */
const KINDS: Readonly<Record<string, RequestKind>> = {
  "menu-read": {
    service: "menus",
    isIdempotent: true,
    priority: 2,
    holdMs: 210,
    timeoutMs: 1_500,
    calls: ["booking-check"],
  },
  "book-seat": {
    service: "bookings",
    isIdempotent: false,
    priority: 0,
    holdMs: 280,
    timeoutMs: 2_000,
    calls: ["upload-status"],
  },
  "booking-check": {
    service: "bookings",
    isIdempotent: true,
    priority: 0,
    holdMs: 15,
    timeoutMs: 1_000,
    calls: ["upload-status"],
  },
  "upload-status": {
    service: "uploads",
    isIdempotent: true,
    priority: 0,
    holdMs: 15,
    timeoutMs: 800,
    calls: Array(4).fill("diet-lookup"),
  },
  "diet-lookup": {
    service: "members",
    isIdempotent: true,
    priority: 0,
    holdMs: 50,
    timeoutMs: 300,
    calls: [],
  },
};

/** Way in which refused calls are handled. */
export type Variant = "as built" | "repeats on each level" | "no repeats";

/** Load of one replay. */
export interface Replay {
  readonly variant: Variant;
  /** Workers of each service. */
  readonly workers: Readonly<Record<string, number>>;
  /** Requests of each kind in a second. */
  readonly requestsPerSecond: Readonly<Record<string, number>>;
  /** Share of the calls that the workers of `members` reject. */
  readonly rejectedShare: number;
  readonly seconds: number;
  readonly seed: number;
}

/** What callers and the deepest service saw. */
export interface ReplayResult {
  /** Share of the requests of each kind that were served. */
  readonly served: Readonly<Record<string, number>>;
  /** Repeats that reached the workers of the deepest service. */
  readonly repeats: number;
  /** Repeats that the limit allowed there. */
  readonly allowedRepeats: number;
}

/** Limit on the repeats of a service, as in the settings of a node. */
const RATIO = 0.2;
const BASE_REPEATS = 213;
const WINDOW_MS = 10_000;

/**
 * Replays a load in virtual time with the call tasks, gates and budgets of the
 * nodes, and workers without sockets. One host stands for the callers.
 */
export class OverloadReplay {
  readonly #replay: Replay;
  readonly #random: () => number;
  readonly #channels = new Map<string, LocalChannel[]>();
  #firstCalls = 0;
  #repeats = 0;
  #identities = 0;

  constructor(replay: Replay) {
    this.#replay = replay;
    const generator = xoroshiro128plus(replay.seed);
    this.#random = () => uniformFloat64(generator);
    vi.spyOn(Math, "random").mockImplementation(this.#random);
    Object.entries(replay.workers).forEach(([service, count]) =>
      this.#channels.set(
        service,
        Array.from(
          { length: count },
          (_, index) => this.#addWorker(service, index, count),
        ),
      )
    );
  }

  /** Plays the load; timers have to be faked. */
  async run(): Promise<ReplayResult> {
    const { requestsPerSecond, seconds } = this.#replay;
    const counts = new Map<string, { sent: number; served: number }>();
    Object.entries(requestsPerSecond).forEach(([kind, perSecond]) => {
      const count = { sent: 0, served: 0 };
      counts.set(kind, count);
      const requests = perSecond * seconds;
      for (let index = 0; index < requests; index++) {
        setTimeout(() => {
          count.sent++;
          this.#call(kind, {}, (result) => {
            if (isSuccess(result)) count.served++;
          });
        }, (index + this.#random()) * 1_000 / perSecond);
      }
    });
    await vi.advanceTimersByTimeAsync(seconds * 1_000 + 6_000);
    return {
      served: Object.fromEntries(
        [...counts].map(([kind, { sent, served }]) => [kind, served / sent]),
      ),
      repeats: this.#repeats,
      allowedRepeats: BASE_REPEATS + RATIO * this.#firstCalls,
    };
  }

  #addWorker(service: string, index: number, count: number): LocalChannel {
    const tracker = new WorkerTracker();
    tracker.applyHeartbeat({
      workerId: `${service}-${index}`,
      service,
      address: "10.0.0.1:1",
      slots: 40,
      state: "ready",
      sequence: 1,
      startedAt: 1,
    });
    const send: WorkerConnections["send"] = (call, finish) =>
      this.#work(gate, call, finish);
    const gate: WorkerGate = new WorkerGate({
      tracker,
      connections: { send } as WorkerConnections,
      names: {
        requestId: "",
        timeLeftMs: "",
        answerSignature: "",
        expectedWorker: "",
        notRun: "",
        requestsPerSecond: "",
        leaving: "",
        callerService: "",
        credential: "",
        organisation: "",
      },
      repeats: new RepeatBudget({
        ratio: () => RATIO,
        baseRepeats: () => BASE_REPEATS / count,
        windowMs: WINDOW_MS,
        now: () => performance.now(),
      }),
    });
    const reporter = new LoadReporter({
      gate,
      channels: () => {
        throw new Error("Pressure is not part of the replay");
      },
    });
    return new LocalChannel({
      node: `${service}-${index}`,
      dataCentre: "a",
      gate,
      load: () => reporter.load,
    });
  }

  // The worker rejects the call, or works and then makes its calls in turn.
  #work(
    gate: WorkerGate,
    call: WorkerCall,
    finish: (result: WorkerResult) => void,
  ) {
    const kind = KINDS[call.route]!;
    if (kind.service === "members") {
      if (call.isRepeat) this.#repeats++;
      else this.#firstCalls++;
      if (this.#random() < this.#replay.rejectedShare) {
        setTimeout(() => finish(REJECTED), 1);
        return { cancel: () => undefined };
      }
    }
    const callNext = (position: number): void => {
      const next = kind.calls[position];
      if (next === undefined) return finish(answer(200));
      this.#call(
        next,
        { call, gate },
        (result) =>
          isSuccess(result) ? callNext(position + 1) : finish(answer(500)),
      );
    };
    setTimeout(() => callNext(0), kind.holdMs * (0.5 + this.#random()));
    return { cancel: () => undefined };
  }

  #call(
    route: string,
    { call: parent, gate }: {
      readonly call?: WorkerCall;
      readonly gate?: WorkerGate;
    },
    finish: (result: TaskResult) => void,
  ): void {
    const { variant } = this.#replay;
    const kind = KINDS[route]!;
    const own = `${++this.#identities}`;
    const requestId = parent === undefined ? own : `${parent.requestId}.${own}`;
    const running = gate?.parentRequestOf(requestId);
    new CallTask({
      requestId,
      route,
      method: "GET",
      target: "/",
      headers: [],
      body: Buffer.alloc(0),
      service: kind.service,
      isIdempotent: kind.isIdempotent,
      maxAttempts: variant === "no repeats" ? 1 : 2,
      latencyTargetMs: kind.timeoutMs,
      rank: parent === undefined
        ? rankOfRoot(kind.priority)
        : rankOfNested(parent.rank),
      isRepeat: parent?.isRepeat ?? false,
      deadline: performance.now() + kind.timeoutMs,
    }, {
      dataCentre: "a",
      channels: (service) => this.#channels.get(service)!,
      pressureOf: () => 0,
      finish: (result) => {
        const isRefused = result.kind === "answer"
          ? result.isRefusedBelow
          : result.status === 503;
        if (isRefused && variant !== "repeats on each level" && running) {
          gate?.markRefusedBelow(running);
        }
        finish(result);
      },
    }).start();
  }
}

const REJECTED: WorkerResult = {
  kind: "failure",
  error: "worker_refused",
  mayHaveRun: false,
  wasSent: true,
  retryAfterMs: 0,
};

function answer(status: number): WorkerResult {
  return {
    kind: "answer",
    status,
    headers: [],
    body: Buffer.alloc(0),
    isRefusedBelow: false,
  };
}

function isSuccess(result: TaskResult): boolean {
  return result.kind === "answer" && result.status === 200;
}
