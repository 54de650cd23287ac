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

/** Interval of registrations at the node, in milliseconds. */
const REGISTRATION_INTERVAL_MS = 1_000;

/** Time after which a registration expires at the node, in milliseconds. */
export const REGISTRATION_TERM_MS = 3_000;

/**
 * Time that a leaving server keeps running, in milliseconds. After this time no
 * lease for its slots is in use.
 */
const DRAIN_MS = 4_000;

/** Time after which a server detects a truncated upload, in milliseconds. */
const CUT_DETECTION_MS = 30;

/** Description of a backend server. */
export interface SessionServerOptions {
  readonly service: string;
  readonly slots: number;
  /** Duration of a request without its calls, in milliseconds. */
  readonly durationMs: number;
  /** Services that each request calls in sequence. */
  readonly calls: readonly string[];
  readonly warmUpMs?: number;
}

/**
 * Simulated backend server. It runs requests up to its number of slots, rejects
 * requests with stale fencing tokens, and supports planned stops.
 */
export class SessionServer implements CallReceiver {
  readonly name: string;
  readonly dataCentre: string;
  readonly options: SessionServerOptions;
  readonly clock: ProcessClock;
  readonly killed: Promise<void>;
  /** Factor by which the duration of requests is multiplied. */
  slowFactor = 1;
  readonly #node: () => SessionNode;
  readonly #recorder: SessionRecorder;
  readonly #running = new Map<number, SessionCall>();
  #lowestFence = "";
  #state: "serving" | "leaving" = "serving";
  #resolveKilled = () => {};

  constructor(
    identity: { readonly name: string; readonly dataCentre: string },
    options: SessionServerOptions,
    dependencies: {
      readonly clock: VirtualClock;
      readonly recorder: SessionRecorder;
      readonly node: () => SessionNode;
    },
  ) {
    this.name = identity.name;
    this.dataCentre = identity.dataCentre;
    this.options = options;
    this.clock = new ProcessClock(dependencies.clock);
    this.killed = new Promise((resolve) => this.#resolveKilled = resolve);
    this.#node = dependencies.node;
    this.#recorder = dependencies.recorder;
    this.#record("serving");
    void this.#keepRegistered();
  }

  /** Whether the server runs and has not begun a planned stop. */
  get serving(): boolean {
    return this.clock.alive && this.#state === "serving";
  }

  /** Performs a planned stop, in which requests in flight complete. */
  async leave(): Promise<void> {
    if (!this.serving) return;
    this.#state = "leaving";
    this.#record("leaving");
    this.#registerAtNode();
    await this.clock.sleep(DRAIN_MS);
    while (this.#running.size > 0) await this.clock.sleep(50);
    this.#end();
  }

  /** Kills the server, which interrupts requests in flight. */
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

  /** Runs a request, or rejects it as not run. */
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
    if (cut) await this.clock.sleep(CUT_DETECTION_MS);
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
      requestIdentity: call.identity,
      bytes,
      totalBytes: bytes,
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

  async #keepRegistered(): Promise<void> {
    while (this.clock.alive) {
      this.#registerAtNode();
      await this.clock.sleep(REGISTRATION_INTERVAL_MS);
    }
  }

  #registerAtNode(): void {
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
