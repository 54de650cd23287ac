import { create } from "@bufbuild/protobuf";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type Member,
  MemberState,
  WorkerSchema,
  WorkerState,
} from "@oleanderdeck/protocol";
import { SystemClock } from "@oleanderdeck/settings";
import { vi } from "vitest";
import { Membership } from "./membership.ts";
import { type LinkOptions, MemoryNetwork } from "./memory_network.ts";
import { PeerKeys } from "./peer_keys.ts";

const clock = new SystemClock();
const keys = new PeerKeys(["test"]);
const SEED_COUNT = 3;
const STEP_MS = 10;

/** Address of the node with an index; the index appears in the host. */
export function addressOf(index: number): string {
  return `10.0.${index >> 8}.${index & 255}:7000`;
}

/** Members on a network in memory, on the fake timers of vitest. */
export class TestFleet {
  readonly network: MemoryNetwork;
  readonly nodes: Membership[] = [];
  readonly #seed: number;
  #starts = 0;

  constructor(seed: number, link: Partial<LinkOptions> = {}) {
    this.#seed = seed;
    const random = xoroshiro128plus(seed);
    this.network = new MemoryNetwork({ clock, random, link });
  }

  /** Starts a node at an index, as a new process. */
  async start(index: number, nodeId = `node-${index}`): Promise<Membership> {
    this.#starts += 1;
    const node = new Membership({
      nodeId,
      callAddress: addressOf(index).replace(":7000", ":7001"),
      controlAddress: addressOf(index).replace(":7000", ":7002"),
      dataCentre: `dc-${index % 4}`,
      region: `region-${index % 2}`,
      transport: this.network.transport(addressOf(index)),
      keys,
      clock,
      random: xoroshiro128plus(this.#seed * 1000 + this.#starts),
      seeds: () =>
        Promise.resolve(
          Array.from({ length: SEED_COUNT }, (_, seed) => addressOf(seed)),
        ),
    });
    node.setWorker(worker(index, WorkerState.SERVING));
    await node.start();
    this.nodes[index] = node;
    return node;
  }

  /** Starts nodes and advances the time until all of them know each other. */
  async startAll(count: number): Promise<void> {
    await Promise.all(
      Array.from({ length: count }, (_, index) => this.start(index)),
    );
    await this.until(60_000, () => this.isComplete(this.nodes));
  }

  /** Whether each of the nodes holds all of them as alive. */
  isComplete(nodes: readonly Membership[]): boolean {
    return nodes.every((node) =>
      nodes.every((other) =>
        node.find(other.self().nodeId)?.state === MemberState.ALIVE
      )
    );
  }

  /** Whether a condition holds for the record of a node at all other nodes. */
  allKnow(nodeId: string, condition: (member: Member) => boolean): boolean {
    return this.nodes.every((node) => {
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

  async close(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.close()));
  }
}

/** Worker of the node with an index. */
export function worker(index: number, state: WorkerState) {
  return create(WorkerSchema, {
    service: "menus",
    address: addressOf(index).replace(":7000", ":8000"),
    slots: 40,
    connectionLimit: 360,
    state,
  });
}

/**
 * Advances the fake time in steps, with the tasks run in between. The
 * asynchronous functions of vitest wait 1 ms of real time for each timer.
 */
export async function advance(milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
    vi.advanceTimersByTime(STEP_MS);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Replaces all timers but the one that {@linkcode advance} uses. */
export function useVirtualTime(): void {
  vi.useFakeTimers({
    toFake: ["setTimeout", "clearTimeout", "performance", "Date"],
  });
}
