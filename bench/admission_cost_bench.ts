import { expect, test } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CapacityAdmission } from "@oleanderdeck/admission";
import { SystemClock } from "@oleanderdeck/settings";
import { FakePeers } from "../packages/leases/_fake_peers.ts";
import { BenchPolicies } from "./_overload_world.ts";

/** Calls per second of a node as caller. */
const CALLS_PER_SECOND = 180;
const CALLS = 20_000;

/** Share of a core that a node may use for control. */
const CORE_SHARE = 0.023;

/** Latency that a whole hop may add at the 99th percentile. */
const HOP_MS = 0.67;

test("an admitted call costs little and needs no promise", async () => {
  const peers = new FakePeers();
  const policies = new BenchPolicies();
  const nodes = ["caller", "s-1", "s-2", "s-3", "s-4", "s-5"].map((name) => {
    const { channel, view } = peers.add(name);
    const node = new CapacityAdmission({
      members: view,
      channel,
      clock: new SystemClock(),
      random: xoroshiro128plus(1),
      policies: () => policies,
    });
    if (name !== "caller") {
      node.setWorker({
        service: "menus",
        address: name,
        slots: 40,
        connectionLimit: 360,
        warmUpMs: 0,
        state: "serving",
      });
    }
    return node;
  });
  const caller = nodes[0]!;
  const samples: number[] = [];
  let late = 0;
  for (let call = 0; call < CALLS; call++) {
    if (call % 20 === 0) await new Promise((resolve) => setTimeout(resolve, 5));
    const start = performance.now();
    const answer = caller.admit({
      service: "menus",
      organisation: `organisation-${call % 5}`,
      priority: 2,
      shedKey: call % 128,
      deadline: start + 1_000,
      excludedNodes: [],
      countsForLimit: true,
      forwarded: false,
      callingService: undefined,
    });
    if (answer instanceof Promise) late += 1;
    else {
      answer.ifRight((attempt) =>
        attempt.finish({
          durationMs: 10,
          failure: undefined,
          threshold: undefined,
        })
      );
    }
    samples.push(performance.now() - start);
  }
  await Promise.all(nodes.map((node) => node.close()));
  const sorted = samples.sort((left, right) => left - right);
  const at = (share: number) => sorted[Math.floor(share * CALLS)]!;
  const mean = samples.reduce((sum, value) => sum + value, 0) / CALLS;
  const core = mean * CALLS_PER_SECOND / 1_000;
  process.stdout.write(
    `admit and finish: p50 ${(1_000 * at(0.5)).toFixed(1)} us, p99 ${
      (1_000 * at(0.99)).toFixed(1)
    } us, mean ${(1_000 * mean).toFixed(1)} us, ${
      (100 * core).toFixed(2)
    }% of a core at ${CALLS_PER_SECOND} calls/s\n`,
  );
  expect(late).toBe(0);
  expect(at(0.99)).toBeLessThan(HOP_MS);
  expect(core).toBeLessThan(CORE_SHARE);
});
