import { DeckError } from "@oleanderdeck/errors";
import { isStaleFencingToken } from "../fencing_token.ts";
import {
  rejection,
  type SessionAnswer,
  type SessionCall,
} from "./session_call.ts";
import type { CallReceiver } from "./session_network.ts";
import type { SessionNode } from "./session_node.ts";
import type { SessionRecorder } from "./session_recorder.ts";
import type { VirtualClock } from "@oleanderdeck/settings";
import { ProcessClock } from "./process_clock.ts";

/** Time between two registrations at the node, in milliseconds. */
const REGISTRATION_INTERVAL_MS = 1_000;

/** Time after which a registration expires at the node, in milliseconds. */
export const REGISTRATION_TERM_MS = 3_000;

/** Time for which a leaving server stays until no lease is in use, in ms. */
const LEAVE_MS = 4_000;

/** Time after which a server notices that an upload was cut, in ms. */
const CUT_NOTICE_MS = 30;

/** Description of a backend server. */
export interface SessionServerOptions {
  readonly service: string;
  readonly slots: number;
  /** Time of a request, in milliseconds. */
  readonly durationMs: number;
  /** Services that each root request calls one after the other. */
  readonly calls: readonly string[];
  readonly warmUpMs?: number;
}

/** Backend server that runs requests, refuses stale fences and can leave. */
export class SessionServer implements CallReceiver {
  readonly name: string;
  readonly dataCentre: string;
  readonly options: SessionServerOptions;
  readonly clock: ProcessClock;
  readonly killed: Promise<void>;
  /** Factor on the time of a request. */
  slowFactor = 1;
  readonly #node: () => SessionNode;
  readonly #recorder: SessionRecorder;
  readonly #running = new Map<number, SessionCall>();
  #lowestFence = "";
  #state: "serving" | "leaving" = "serving";
  #resolveKilled = () => {};

  constructor(
    place: { readonly name: string; readonly dataCentre: string },
    options: SessionServerOptions,
    uses: {
      readonly clock: VirtualClock;
      readonly recorder: SessionRecorder;
      readonly node: () => SessionNode;
    },
  ) {
    this.name = place.name;
    this.dataCentre = place.dataCentre;
    this.options = options;
    this.clock = new ProcessClock(uses.clock);
    this.killed = new Promise((resolve) => this.#resolveKilled = resolve);
    this.#node = uses.node;
    this.#recorder = uses.recorder;
    this.#record("serving");
    void this.#register();
  }

  /** Whether the server has not begun to leave and has not ended. */
  get serving(): boolean {
    return this.clock.alive && this.#state === "serving";
  }

  /** Begins a planned stop: requests in flight end whole. */
  async leave(): Promise<void> {
    if (!this.serving) return;
    this.#state = "leaving";
    this.#record("leaving");
    this.#tellNode();
    await this.clock.sleep(LEAVE_MS);
    while (this.#running.size > 0) await this.clock.sleep(50);
    this.#end();
  }

  /** Ends at once. */
  kill(): void {
    if (!this.clock.alive) return;
    this.#record("killed");
    for (const execution of this.#running.keys()) {
      this.#recorder.record({
        kind: "execution_ended",
        server: this.name,
        execution,
        result: "interrupted",
      });
    }
    this.#end();
  }

  /** Runs a request, or refuses it as not run. */
  async run(call: SessionCall, fence: string): Promise<SessionAnswer> {
    const full = this.#running.size >= this.options.slots;
    if (full || isStaleFencingToken(fence, this.#lowestFence)) {
      return rejection(new DeckError("worker_refused"));
    }
    const execution = this.#recorder.nextNumber();
    this.#recorder.record({
      kind: "execution_started",
      server: this.name,
      execution,
      sending: call.sending,
      identity: call.identity,
      service: this.options.service,
      attempt: call.attempt,
      fence,
      root: !call.child,
    });
    this.#running.set(execution, call);
    const cut = call.arrivingBytes < call.bodyBytes && !call.bodyEndsCleanly;
    if (cut) await this.clock.sleep(CUT_NOTICE_MS);
    else await this.#work(call);
    this.#running.delete(execution);
    this.#recorder.record({
      kind: "execution_ended",
      server: this.name,
      execution,
      result: cut ? "cut_body" : "complete",
      ...call.bodyBytes > 0 && !cut
        ? { storedBytes: call.arrivingBytes, sentBytes: call.bodyBytes }
        : {},
    });
    if (cut) return rejection(new DeckError("caller_cancelled"));
    const bytes = 200 + call.sending;
    return {
      error: undefined,
      run: "yes",
      answers: call.identity,
      bytes,
      wholeBytes: bytes,
      cut: false,
    };
  }

  async #work(call: SessionCall): Promise<void> {
    const { calls, durationMs } = this.options;
    const deadline = this.clock.now() + call.timeoutMs;
    await this.clock.sleep(durationMs * this.slowFactor / 2);
    for (const service of calls) {
      const node = this.#node();
      if (!node.clock.alive) continue;
      await Promise.race([
        node.handle({
          ...call,
          service,
          timeoutMs: Math.max(1, deadline - this.clock.now()),
          method: "GET",
          path: "/",
          mode: undefined,
          permit: undefined,
          child: true,
          attempt: 1,
          bodyBytes: 0,
          arrivingBytes: 0,
          bodyEndsCleanly: false,
          work: `${service} call`,
        }),
        node.killed,
      ]);
    }
    await this.clock.sleep(durationMs * this.slowFactor / 2);
  }

  async #register(): Promise<void> {
    while (this.clock.alive) {
      this.#tellNode();
      await this.clock.sleep(REGISTRATION_INTERVAL_MS);
    }
  }

  #tellNode(): void {
    const node = this.#node();
    node.clock.run(() => {
      if (!this.clock.alive) return;
      node.register(this, this.#state === "serving" ? "serving" : "draining");
      this.#lowestFence = node.admission.lowestValidFencingToken();
    });
  }

  #record(state: "serving" | "leaving" | "killed"): void {
    this.#recorder.record({
      kind: "server_changed",
      server: this.name,
      state,
    });
  }

  #end(): void {
    this.clock.kill();
    this.#resolveKilled();
  }
}
