import { expect, test } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CapacityAdmission } from "@oleanderdeck/admission";
import { SystemClock } from "@oleanderdeck/settings";
import { FakePeers } from "../packages/leases/_fake_peers.ts";
import { BenchPolicies } from "./_overload_simulation.ts";

/** Calls per second that a node sends. */
const CALLS_PER_SECOND = 180;
const CALL_COUNT = 20_000;

/** Share of a core that a node may use for control, from 0 to 1. */
const MAX_CORE_SHARE = 0.023;

/** Latency that a complete hop may add at the 99th percentile. */
const MAX_HOP_LATENCY_MS = 0.67;

// Guards against an admission path that returns a promise, which delays each
// call, or that costs too much latency or processor time per call.
test("calls are admitted synchronously within the cost limits", async () => {
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
  let asynchronousAdmissions = 0;
  for (let call = 0; call < CALL_COUNT; call++) {
    if (call % 20 === 0) await new Promise((resolve) => setTimeout(resolve, 5));
    const start = performance.now();
    const admissionResult = caller.admit({
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
    if (admissionResult instanceof Promise) asynchronousAdmissions += 1;
    else {
      admissionResult.ifRight((attempt) =>
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
  const percentileMs = (share: number) =>
    sorted[Math.floor(share * CALL_COUNT)]!;
  const meanMs = samples.reduce((sum, value) => sum + value, 0) / CALL_COUNT;
  const coreShare = meanMs * CALLS_PER_SECOND / 1_000;
  process.stdout.write(
    `admit and finish: p50 ${(1_000 * percentileMs(0.5)).toFixed(1)} us, p99 ${
      (1_000 * percentileMs(0.99)).toFixed(1)
    } us, mean ${(1_000 * meanMs).toFixed(1)} us, ${
      (100 * coreShare).toFixed(2)
    }% of a core at ${CALLS_PER_SECOND} calls/s\n`,
  );
  expect(asynchronousAdmissions).toBe(0);
  expect(percentileMs(0.99)).toBeLessThan(MAX_HOP_LATENCY_MS);
  expect(coreShare).toBeLessThan(MAX_CORE_SHARE);
});
