import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SystemClock } from "@oleanderdeck/settings";
import { FakePeers } from "../leases/_fake_peers.ts";
import { FakePolicies, testRequest, testWorker } from "./_test_fakes.ts";
import { CapacityAdmission } from "./capacity_admission.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

async function call(
  node: CapacityAdmission,
  changes: Parameters<typeof testRequest>[0],
  durationMs: number,
): Promise<void> {
  const answer = await node.admit(testRequest(changes));
  answer.ifRight((attempt) => {
    setTimeout(() =>
      attempt.finish({
        durationMs,
        failure: undefined,
        threshold: undefined,
      }), durationMs);
  });
}

// Guards against pressure that does not reach the first hop, which then admits
// requests that a downstream service cannot serve, and against pressure that
// remains after the overload has ended.
test("pressure reaches the first hop and ends with its cause", async () => {
  const peers = new FakePeers();
  const policies = new FakePolicies();
  const [edge, middle, deep] = ["edge", "middle", "deep"].map((name) =>
    new CapacityAdmission({
      members: peers.add(name).view,
      channel: peers.nodes.get(name)!.channel,
      clock: new SystemClock(),
      random: xoroshiro128plus(1),
      policies: () => policies,
    })
  );
  middle!.setWorker(testWorker("bookings", 60));
  deep!.setWorker(testWorker("members", 4));
  await vi.advanceTimersByTimeAsync(2_500);
  const send = async (seconds: number, memberMs: number) => {
    for (let step = 0; step < seconds * 100; step++) {
      await vi.advanceTimersByTimeAsync(10);
      const shedKey = step * 37 % 128;
      void call(edge!, { service: "bookings", shedKey }, 50);
      void call(middle!, {
        service: "members",
        shedKey,
        callingService: "bookings",
      }, memberMs);
    }
  };
  await send(3, 10);
  expect(edge!.threshold("bookings")).toBe(512);
  await send(3, 200);
  expect(middle!.threshold("bookings")).toBeLessThan(512);
  expect(edge!.threshold("bookings")).toBeLessThan(512);
  const refused = edge!.explain(
    testRequest({ service: "bookings", priority: 3, shedKey: 127 }),
  );
  expect(refused.refusal).toBe("downstream_pressure");
  await send(3, 1);
  expect(edge!.threshold("bookings")).toBe(512);
});
