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
  return { nodeId, peer, owner, lease, demand: 0, debt: 0 };
}

function startNodes(count: number) {
  const peers = new FakePeers({ delayMs: 5 });
  const names = Array.from({ length: count }, (_, index) => `n${index}`);
  for (const name of names) peers.add(name);
  return { peers, nodes: names.map((name) => startNode(peers, name)) };
}

/** Offers calls at each node's rate and counts those that the limit allows. */
async function offer(
  nodes: readonly ReturnType<typeof startNode>[],
  milliseconds: number,
): Promise<number> {
  let taken = 0;
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
    for (const node of nodes) {
      node.debt += node.demand / 100;
      for (; node.debt >= 1; node.debt -= 1) if (node.lease.take()) taken += 1;
    }
    await vi.advanceTimersByTimeAsync(10);
  }
  return taken * 1_000 / milliseconds;
}

test("a limit is held and used with uneven callers on all nodes", async () => {
  const { nodes } = startNodes(6);
  nodes.forEach((node, index) => node.demand = 20 * (index + 1) ** 2);
  await offer(nodes, 10_000);
  for (let window = 0; window < 5; window++) {
    const rate = await offer(nodes, 2_000);
    expect(rate).toBeGreaterThanOrEqual(LIMIT * (1 - TOLERANCE));
    expect(rate).toBeLessThanOrEqual(LIMIT * (1 + TOLERANCE));
  }
});

test("one busy node may use nearly the whole limit", async () => {
  const { nodes } = startNodes(6);
  nodes[0]!.demand = 1_000;
  await offer(nodes, 10_000);
  const rate = await offer(nodes, 4_000);
  expect(rate).toBeGreaterThanOrEqual(LIMIT * (1 - TOLERANCE));
});

test("the limit is held and used while an owner dies", async () => {
  const { peers, nodes } = startNodes(6);
  const owners = rankNodes("band", nodes.map(({ nodeId }) => nodeId), 4);
  const dead = nodes.find(({ nodeId }) => nodeId === owners[0])!;
  const callers = nodes.filter((node) => node !== dead);
  for (const caller of callers) caller.demand = 100;
  await offer(callers, 10_000);
  peers.drops = (_message, from, to) =>
    from === dead.nodeId || to === dead.nodeId;
  for (let second = 0; second < 20; second++) {
    // The failure detection takes about 5 s.
    if (second === 5) peers.kill(dead.nodeId);
    const rate = await offer(callers, 1_000);
    expect(rate).toBeLessThanOrEqual(LIMIT * (1 + TOLERANCE));
    expect(rate).toBeGreaterThanOrEqual(LIMIT * (1 - TOLERANCE));
  }
});

// Guards against the refusal of the first calls at a node while the organisation
// is far below its limit.
test("a node that begins to call is not refused", async () => {
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

// Guards against waiting calls that exceed the limit or pile up.
test("waiting calls are few and stay within the limit", async () => {
  const { nodes } = startNodes(2);
  nodes[0]!.demand = 1_000;
  await offer(nodes, 10_000);
  let taken = 0;
  let waiting = 0;
  for (let elapsed = 0; elapsed < 2_000; elapsed += 10) {
    for (let call = 0; call < 10; call++) {
      const answer = nodes[0]!.lease.acquireToken();
      if (answer === true) taken += 1;
      if (typeof answer === "boolean") continue;
      waiting += 1;
      void answer.then((allowed) => {
        waiting -= 1;
        if (allowed) taken += 1;
      });
    }
    expect(waiting).toBeLessThanOrEqual(LIMIT / 4);
    await vi.advanceTimersByTimeAsync(10);
  }
  expect(taken / 2).toBeLessThanOrEqual(LIMIT * (1 + TOLERANCE));
  expect(taken / 2).toBeGreaterThanOrEqual(LIMIT * (1 - TOLERANCE));
});
