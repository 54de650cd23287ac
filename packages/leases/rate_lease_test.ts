import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SystemClock } from "@oleanderdeck/settings";
import { FakePeers } from "./_fake_peers.ts";
import {
  rankNodes,
  RateLeaseOwnerRanking,
} from "./rate_lease_owner_ranking.ts";
import { LoopbackChannel } from "./loopback_channel.ts";
import { RateLease } from "./rate_lease.ts";
import { RateLeaseOwner } from "./rate_lease_owner.ts";

const LIMIT = 200;
const TOLERANCE = 0.1;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function startNode(peers: FakePeers, nodeId: string) {
  const peer = peers.add(nodeId, `dc-${nodeId}`);
  const clock = new SystemClock();
  const members = peer.view;
  const channel = new LoopbackChannel(peer.channel, members);
  const ranking = new RateLeaseOwnerRanking({ members, clock });
  const common = { members, channel, clock, ranking };
  const owner = new RateLeaseOwner({ ...common, limit: () => LIMIT });
  const lease = new RateLease({
    ...common,
    organisation: "band",
    limit: () => LIMIT,
    onIdle: () => {},
  });
  return { nodeId, peer, owner, lease, demand: 0, dueCalls: 0 };
}

function startNodes(count: number) {
  const peers = new FakePeers({ delayMs: 5 });
  const names = Array.from({ length: count }, (_, index) => `n${index}`);
  for (const name of names) peers.add(name);
  return { peers, nodes: names.map((name) => startNode(peers, name)) };
}

/**
 * Makes calls at the rate of each node's `demand`.
 *
 * @returns Admitted calls per second of all nodes together.
 */
async function offer(
  nodes: readonly ReturnType<typeof startNode>[],
  milliseconds: number,
): Promise<number> {
  let acquired = 0;
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
    for (const node of nodes) {
      node.dueCalls += node.demand / 100;
      for (; node.dueCalls >= 1; node.dueCalls -= 1) {
        if (node.lease.tryAcquireToken()) acquired += 1;
      }
    }
    await vi.advanceTimersByTimeAsync(10);
  }
  return acquired * 1_000 / milliseconds;
}

test("callers with uneven rates use the limit and stay within it", async () => {
  const { nodes } = startNodes(6);
  nodes.forEach((node, index) => node.demand = 20 * (index + 1) ** 2);
  await offer(nodes, 10_000);
  for (let window = 0; window < 5; window++) {
    const rate = await offer(nodes, 2_000);
    expect(rate).toBeGreaterThanOrEqual(LIMIT * (1 - TOLERANCE));
    expect(rate).toBeLessThanOrEqual(LIMIT * (1 + TOLERANCE));
  }
});

test("one busy node may use nearly all of the limit", async () => {
  const { nodes } = startNodes(6);
  nodes[0]!.demand = 1_000;
  await offer(nodes, 10_000);
  const rate = await offer(nodes, 4_000);
  expect(rate).toBeGreaterThanOrEqual(LIMIT * (1 - TOLERANCE));
});

// Guards against calls above the limit, or a part of the limit that nobody can
// use, while a dead owner is detected and its successor takes over.
test("the limit is used and kept while an owner fails", async () => {
  const { peers, nodes } = startNodes(6);
  const owners = rankNodes("band", nodes.map(({ nodeId }) => nodeId), 4);
  const dead = nodes.find(({ nodeId }) => nodeId === owners[0])!;
  const callers = nodes.filter((node) => node !== dead);
  for (const caller of callers) caller.demand = 100;
  await offer(callers, 10_000);
  peers.drops = (_message, from, to) =>
    from === dead.nodeId || to === dead.nodeId;
  for (let second = 0; second < 20; second++) {
    // The other nodes detect the failure after about 5 s.
    if (second === 5) peers.kill(dead.nodeId);
    const rate = await offer(callers, 1_000);
    expect(rate).toBeLessThanOrEqual(LIMIT * (1 + TOLERANCE));
    expect(rate).toBeGreaterThanOrEqual(LIMIT * (1 - TOLERANCE));
  }
});

// Guards against refusing a node's first calls while the organisation is far
// below its limit.
test("the first calls of a node are not refused", async () => {
  const { nodes } = startNodes(6);
  nodes[0]!.demand = 20;
  await offer(nodes, 3_000);
  const [, first, second] = nodes;
  const results = Promise.all([
    first!.lease.acquireToken(),
    first!.lease.acquireToken(),
    second!.lease.acquireToken(),
  ]);
  await vi.advanceTimersByTimeAsync(250);
  expect(await results).toEqual([true, true, true]);
});

// Guards against waiting calls that are admitted above the limit or accumulate.
test("waiting calls are bounded and stay within the limit", async () => {
  const { nodes } = startNodes(2);
  nodes[0]!.demand = 1_000;
  await offer(nodes, 10_000);
  let acquired = 0;
  let waiting = 0;
  for (let elapsed = 0; elapsed < 2_000; elapsed += 10) {
    for (let call = 0; call < 10; call++) {
      const result = nodes[0]!.lease.acquireToken();
      if (result === true) acquired += 1;
      if (typeof result === "boolean") continue;
      waiting += 1;
      void result.then((allowed) => {
        waiting -= 1;
        if (allowed) acquired += 1;
      });
    }
    expect(waiting).toBeLessThanOrEqual(LIMIT / 4);
    await vi.advanceTimersByTimeAsync(10);
  }
  expect(acquired / 2).toBeLessThanOrEqual(LIMIT * (1 + TOLERANCE));
  expect(acquired / 2).toBeGreaterThanOrEqual(LIMIT * (1 - TOLERANCE));
});
