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

/** Target for a failure to be known everywhere. */
export const MAX_FAILURE_DETECTION_MS = 10_000;
/** Target for a leave to be known everywhere. */
export const MAX_PROPAGATION_MS = 3000;
/** Control budget of a node, sent and received together. */
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
 * Time of the fake timers of vitest with its own list of waits, since the fake
 * timers search all waits of all members for each one that ends.
 */
class VirtualClock extends Clock {
  /** Waits by the time at which they end. */
  #sleeps = new Map<number, Set<() => void>>();
  #firedMs = 0;

  /** Forgets the waits of earlier tests. */
  reset(): void {
    this.#sleeps = new Map();
    this.#firedMs = Math.floor(this.now());
  }

  /** Ends the waits that are due. */
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

/** Members on a network in memory, on the fake timers of vitest. */
export class TestFleet {
  readonly network: MemoryNetwork;
  readonly nodes: Membership[] = [];
  /** Suspicions and deaths that members noticed since the last reset. */
  failureReports: StateChange[] = [];
  readonly #clocks: PausableClock[] = [];
  readonly #seed: number;
  #startCount = 0;

  constructor(seed: number, link: Partial<LinkOptions> = {}) {
    this.#seed = seed;
    const random = xoroshiro128plus(seed);
    this.network = new MemoryNetwork({ clock, random, link });
  }

  /** Starts a node at an index, as a new process. */
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

  /** Starts nodes and waits until all know each other and are quiet. */
  async startAll(count: number): Promise<void> {
    await Promise.all(
      Array.from({ length: count }, (_, index) => this.start(index)),
    );
    const isSettled = () =>
      this.isComplete() &&
      this.live().every((node) => node.counters().pendingUpdates === 0);
    if (await this.until(60_000, isSettled) === Infinity) {
      throw new Error("The fleet is not complete after 60 s");
    }
    this.failureReports = [];
  }

  /** Ends a process without a message. */
  async kill(index: number): Promise<Membership> {
    const node = this.nodes[index]!;
    delete this.nodes[index];
    await node.close();
    return node;
  }

  /** Stops the timers and the receipt of a process. */
  pause(index: number): void {
    this.#clocks[index]!.pause();
    this.network.pause(addressOf(index));
  }

  /** Lets late timers fire, and then the datagrams that waited arrive. */
  async resume(index: number): Promise<void> {
    this.#clocks[index]!.resume();
    await advance(STEP_MS);
    this.network.resume(addressOf(index));
  }

  /** Nodes that were started and not killed. */
  live(): readonly Membership[] {
    return this.nodes.filter((node) => node !== undefined);
  }

  /** Whether each node holds all others as alive in their own incarnation. */
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

  /** Whether a condition holds for the record of a node at all other nodes. */
  allKnow(nodeId: string, condition: (member: Member) => boolean): boolean {
    return this.live().every((node) => {
      const member = node.find(nodeId);
      return node.self().nodeId === nodeId ||
        (member !== undefined && condition(member));
    });
  }

  /** Advances the time until a condition holds; returns the time it took. */
  async until(limitMs: number, holds: () => boolean): Promise<number> {
    const startMs = clock.now();
    while (!holds()) {
      if (clock.now() - startMs >= limitMs) return Infinity;
      await advance(100);
    }
    return clock.now() - startMs;
  }

  /** Time until all other nodes know that nodes are dead. */
  untilDead(nodeIds: readonly string[]): Promise<number> {
    return this.until(
      MAX_FAILURE_DETECTION_MS,
      () =>
        nodeIds.every((nodeId) =>
          this.allKnow(nodeId, ({ state }) => state === MemberState.DEAD)
        ),
    );
  }

  /** Bytes that each node has sent and received, with headers. */
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

/** Advances the fake time in steps, with the tasks run in between. */
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

/** Replaces all timers but the one that {@linkcode advance} uses. */
export function useVirtualTime(): void {
  vi.useFakeTimers({
    toFake: ["setTimeout", "clearTimeout", "performance", "Date"],
  });
  clock.reset();
}
