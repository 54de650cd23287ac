import { create } from "@bufbuild/protobuf";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type Member,
  MemberState,
  type Worker,
  WorkerSchema,
  WorkerState,
} from "@oleanderdeck/protocol";
import { Clock } from "@oleanderdeck/settings";
import { vi } from "vitest";
import { Membership } from "./membership.ts";
import { type LinkOptions, MemoryNetwork } from "./memory_network.ts";
import { PeerKeys } from "./peer_keys.ts";

/** Target time in which all nodes know of a failure. */
export const MAX_FAILURE_DETECTION_MS = 10_000;
/** Target time in which all nodes know of a leave or a drain. */
export const MAX_PROPAGATION_MS = 3000;
/** Budget of a node's control traffic, sent and received together. */
export const BUDGET_BYTES_PER_SECOND = 6000;

const SEED_COUNT = 3;
const STEP_MS = 10;
const IP_AND_UDP_HEADER_BYTES = 28;
const keys = new PeerKeys(["test"]);

/** Address of the node with an index. */
export function addressOf(index: number): string {
  return `10.0.${index >> 8}.${index & 255}:7000`;
}

/** Index of the node with an address. */
export function indexOf(address: string): number {
  const [, , high, low] = address.split(":")[0]!.split(".").map(Number);
  return high! * 256 + low!;
}

/**
 * Clock on the fake time of vitest with its own schedule of sleeps. The fake timers
 * themselves search all timers of all members for each one that fires.
 */
class VirtualClock extends Clock {
  /** Callbacks that end sleeps, by the time at which they are due. */
  #sleeps = new Map<number, Set<() => void>>();
  #firedMs = 0;

  /** Removes the sleeps of earlier tests. */
  reset(): void {
    this.#sleeps = new Map();
    this.#firedMs = Math.floor(this.now());
  }

  /** Ends the sleeps that are due. */
  fire(): void {
    const nowMs = Math.floor(this.now());
    while (this.#firedMs < nowMs) {
      this.#firedMs += 1;
      const due = this.#sleeps.get(this.#firedMs);
      this.#sleeps.delete(this.#firedMs);
      due?.forEach((finish) => finish());
    }
  }

  now(): number {
    return performance.now();
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    const endMs = Math.max(
      this.#firedMs + 1,
      Math.ceil(this.now() + milliseconds),
    );
    const waits = this.#sleeps.get(endMs) ?? new Set();
    this.#sleeps.set(endMs, waits);
    return new Promise((resolve) => {
      const finish = () => {
        waits.delete(finish);
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      waits.add(finish);
      signal?.addEventListener("abort", finish);
    });
  }
}

const clock = new VirtualClock();

/** Clock of a process that can be paused. */
class PausableClock extends Clock {
  #resumed = Promise.resolve();
  resume: () => void = () => {};

  pause(): void {
    this.#resumed = new Promise((resolve) => this.resume = resolve);
  }

  now(): number {
    return clock.now();
  }

  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    await clock.sleep(milliseconds, signal);
    if (!signal?.aborted) await this.#resumed;
  }
}

/** Change of a member's state as seen by another member. */
export interface StateChange {
  readonly observer: string;
  readonly nodeId: string;
  readonly state: MemberState;
}

/** Fleet of members on an in-memory network, with the fake time of vitest. */
export class TestFleet {
  readonly network: MemoryNetwork;
  readonly nodes: Membership[] = [];
  /** Suspicions and deaths that members have recorded since `startAll`. */
  failureReports: StateChange[] = [];
  readonly #clocks: PausableClock[] = [];
  readonly #seed: number;
  #startCount = 0;

  constructor(seed: number, link: Partial<LinkOptions> = {}) {
    this.#seed = seed;
    const random = xoroshiro128plus(seed);
    this.network = new MemoryNetwork({ clock, random, link });
  }

  /** Starts a new process of the node with an index. */
  async start(index: number, nodeId = `node-${index}`): Promise<Membership> {
    this.#startCount += 1;
    const pausable = new PausableClock();
    const node = new Membership({
      nodeId,
      callAddress: addressOf(index).replace(":7000", ":7001"),
      controlAddress: addressOf(index).replace(":7000", ":7002"),
      dataCentre: `dc-${index % 4}`,
      region: `region-${index % 2}`,
      transport: this.network.transport(addressOf(index)),
      keys,
      clock: pausable,
      random: xoroshiro128plus(this.#seed * 1000 + this.#startCount),
      seeds: () =>
        Promise.resolve(
          Array.from({ length: SEED_COUNT }, (_, seed) => addressOf(seed)),
        ),
      pullMembers: async (peer) => {
        await clock.sleep(10);
        const other = this.nodes[indexOf(peer.peerAddress)];
        if (other?.self().nodeId !== peer.nodeId) throw new Error("No answer");
        return other.syncMembers([]);
      },
    });
    node.setWorker(worker(index, WorkerState.SERVING));
    node.onChange(({ nodeId: changed, state }) => {
      if (state !== MemberState.SUSPECT && state !== MemberState.DEAD) return;
      this.failureReports.push({ observer: nodeId, nodeId: changed, state });
    });
    await node.start();
    this.nodes[index] = node;
    this.#clocks[index] = pausable;
    return node;
  }

  /**
   * Starts nodes and waits until all know each other and have no pending updates.
   */
  async startAll(count: number): Promise<void> {
    await Promise.all(
      Array.from({ length: count }, (_, index) => this.start(index)),
    );
    const isSettled = () =>
      this.isComplete() &&
      this.live().every((node) => node.counters().pendingUpdates === 0);
    if (await this.until(60_000, isSettled) === Infinity) {
      throw new Error("The nodes do not all know each other after 60 s");
    }
    this.failureReports = [];
  }

  /** Ends the process of a node without notifying its peers. */
  async kill(index: number): Promise<Membership> {
    const node = this.nodes[index]!;
    delete this.nodes[index];
    await node.close();
    return node;
  }

  /** Pauses the process of a node: its timers and received datagrams wait. */
  pause(index: number): void {
    this.#clocks[index]!.pause();
    this.network.pause(addressOf(index));
  }

  /** Resumes a process: its late timers fire, then its datagrams arrive. */
  async resume(index: number): Promise<void> {
    this.#clocks[index]!.resume();
    await advance(STEP_MS);
    this.network.resume(addressOf(index));
  }

  /** Nodes that have been started and not killed. */
  live(): readonly Membership[] {
    return this.nodes.filter((node) => node !== undefined);
  }

  /** Whether each node records all nodes as alive, with their incarnations. */
  isComplete(nodes = this.live()): boolean {
    const own = nodes.map((node) => node.self());
    return nodes.every((node) =>
      own.every(({ incarnation, nodeId }) => {
        const member = node.find(nodeId);
        return member?.state === MemberState.ALIVE &&
          member.incarnation === incarnation;
      })
    );
  }

  /** Whether the record of a node meets a condition at all other nodes. */
  allKnow(nodeId: string, condition: (member: Member) => boolean): boolean {
    return this.live().every((node) => {
      const member = node.find(nodeId);
      return node.self().nodeId === nodeId ||
        (member !== undefined && condition(member));
    });
  }

  /**
   * Advances the time until a condition holds.
   *
   * @returns Time that it took in milliseconds; infinite beyond the limit.
   */
  async until(limitMs: number, holds: () => boolean): Promise<number> {
    const startMs = clock.now();
    while (!holds()) {
      if (clock.now() - startMs >= limitMs) return Infinity;
      await advance(100);
    }
    return clock.now() - startMs;
  }

  /** Advances the time until all other nodes record nodes as dead; see `until`. */
  untilDead(nodeIds: readonly string[]): Promise<number> {
    return this.until(
      MAX_FAILURE_DETECTION_MS,
      () =>
        nodeIds.every((nodeId) =>
          this.allKnow(nodeId, ({ state }) => state === MemberState.DEAD)
        ),
    );
  }

  /** Bytes that each node has sent and received, including headers. */
  traffic(): number[] {
    return this.live().map((node) => {
      const counters = node.counters().traffic;
      return counters.bytesSent + counters.bytesReceived +
        (counters.datagramsSent + counters.datagramsReceived) *
          IP_AND_UDP_HEADER_BYTES;
    });
  }

  async close(): Promise<void> {
    await Promise.all(this.live().map((node) => node.close()));
  }
}

/** Worker of the node with an index. */
export function worker(index: number, state: WorkerState): Worker {
  return create(WorkerSchema, {
    service: "menus",
    address: addressOf(index).replace(":7000", ":8000"),
    slots: 40,
    connectionLimit: 360,
    state,
  });
}

/** Advances the fake time in steps, and lets the tasks run in between. */
export async function advance(
  milliseconds: number,
  stepMs = STEP_MS,
): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += stepMs) {
    vi.advanceTimersByTime(stepMs);
    clock.fire();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Replaces all timers except `setImmediate`, which {@linkcode advance} uses. */
export function useVirtualTime(): void {
  vi.useFakeTimers({
    toFake: ["setTimeout", "clearTimeout", "performance", "Date"],
  });
  clock.reset();
}
