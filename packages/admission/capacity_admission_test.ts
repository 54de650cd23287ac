import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { Either } from "purify-ts";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Priority } from "@oleanderdeck/agreement";
import type { DeckError } from "@oleanderdeck/errors";
import { SystemClock } from "@oleanderdeck/settings";
import { FakePeers } from "../leases/_fake_peers.ts";
import {
  FakePolicies,
  testRequest as request,
  testWorker as worker,
} from "./_test_fakes.ts";
import type { AdmittedAttempt } from "./admission_control.ts";
import { CapacityAdmission } from "./capacity_admission.ts";
import { UncontrolledAdmission } from "./uncontrolled_admission.ts";

type AdmissionResult = Either<DeckError, AdmittedAttempt>;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function startNodes(...names: string[]) {
  const peers = new FakePeers();
  const policies = new FakePolicies();
  const nodes = names.map((name, index) => {
    const { channel, view } = peers.add(name);
    return new CapacityAdmission({
      members: view,
      channel,
      clock: new SystemClock(),
      random: xoroshiro128plus(index + 1),
      policies: () => policies,
    });
  });
  return { peers, policies, nodes };
}

function admitted(
  answer: AdmissionResult | Promise<AdmissionResult>,
): AdmittedAttempt {
  if (answer instanceof Promise) {
    throw new Error("Expected an immediate result, got a promise");
  }
  return answer.unsafeCoerce();
}

const DONE = { durationMs: 10, failure: undefined, threshold: undefined };

test("a call is forwarded until a slot is leased, then sent directly", async () => {
  const { nodes: [caller, server] } = startNodes("a", "b");
  server!.setWorker(worker("menus"));
  await vi.advanceTimersByTimeAsync(2_000);
  const first = admitted(caller!.admit(request()));
  expect(first.target).toMatchObject({ kind: "forward", address: "b:1" });
  await vi.advanceTimersByTimeAsync(100);
  const second = admitted(caller!.admit(request()));
  expect(second.target).toMatchObject({ kind: "direct", address: "menus:1" });
  expect(second.target.fence).toMatch(/^1\.\d+$/);
});

test("a forwarded call runs on the own worker or is refused", () => {
  const { nodes: [node, other] } = startNodes("a", "b");
  other!.setWorker(worker("menus"));
  const forwarded = request({ forwarded: true });
  const refusal = node!.admit(forwarded) as AdmissionResult;
  expect(refusal.extract()).toMatchObject({ kind: "no_worker", run: "no" });
  const { target } = admitted(other!.admit(forwarded));
  expect(target).toMatchObject({ kind: "direct", nodeId: "b" });
});

test("waiting calls are served in the order of priority", async () => {
  const { nodes: [node] } = startNodes("a");
  node!.setWorker(worker("menus", 1));
  const held = admitted(node!.admit(request()));
  const order: number[] = [];
  for (const priority of [3, 2, 0, 1] as Priority[]) {
    void Promise.resolve(node!.admit(request({ priority }))).then((answer) => {
      order.push(priority);
      answer.unsafeCoerce().finish(DONE);
    });
  }
  held.finish(DONE);
  await vi.advanceTimersByTimeAsync(10);
  expect(order).toEqual([0, 1, 2, 3]);
});

test("a full queue evicts a less important call", async () => {
  const { nodes: [node], policies } = startNodes("a");
  policies.queueLength = 1;
  node!.setWorker(worker("menus", 1));
  admitted(node!.admit(request()));
  const low = node!.admit(request({ priority: 3 }));
  const high = node!.admit(request({ priority: 1 }));
  expect((await low).extract()).toMatchObject({ kind: "queue_full" });
  expect(high).toBeInstanceOf(Promise);
  const late = node!.admit(request({ priority: 2 })) as AdmissionResult;
  expect(late.extract()).toMatchObject({ kind: "queue_full", run: "no" });
});

test("a withdrawn attempt is not run", async () => {
  const { nodes: [node] } = startNodes("a");
  node!.setWorker(worker("menus", 1));
  const held = admitted(node!.admit(request()));
  const abort = new AbortController();
  const waiting = node!.admit(request(), abort.signal);
  abort.abort();
  expect((await waiting).extract()).toMatchObject({
    kind: "caller_cancelled",
    run: "no",
  });
  held.finish(DONE);
  held.finish(DONE);
  expect(node!.services()[0]).toMatchObject({ running: 0, queued: 0 });
});

// Guards against one call more than the worker has slots, which occurs if a
// slot is reused while the backend server still counts the abandoned call.
test("the slot of an abandoned call is held for a short time", async () => {
  const { nodes: [node] } = startNodes("a");
  node!.setWorker(worker("menus", 1));
  const abandoned = admitted(node!.admit(request()));
  abandoned.finish({ ...DONE, failure: "caller_cancelled" });
  const waiting = node!.admit(request());
  expect(waiting).toBeInstanceOf(Promise);
  await vi.advanceTimersByTimeAsync(100);
  (await waiting).unsafeCoerce().finish(DONE);
  admitted(node!.admit(request()));
});

test("a call that cannot be answered in time is refused at once", () => {
  const { nodes: [node] } = startNodes("a");
  node!.setWorker(worker("menus"));
  admitted(node!.admit(request())).finish({ ...DONE, durationMs: 200 });
  const short = request({ deadline: performance.now() + 100 });
  expect(node!.explain(short).refusal).toBe("deadline_too_short");
  const answer = node!.admit(short) as AdmissionResult;
  expect(answer.extract()).toMatchObject({ kind: "deadline_too_short" });
});

test("a draining worker refuses waiting calls as not run", async () => {
  const { nodes: [node] } = startNodes("a");
  node!.setWorker(worker("menus", 1));
  admitted(node!.admit(request({ forwarded: true })));
  const waiting = node!.admit(request({ forwarded: true }));
  node!.setWorker({ ...worker("menus", 1), state: "draining" });
  expect((await waiting).extract()).toMatchObject({
    kind: "draining",
    run: "no",
  });
});

// Guards against an unbounded demand for a worker that has left while its lease
// is still renewed. The request cannot be encoded then, and the node exits.
test("demand stays finite after all workers have left", async () => {
  const { nodes: [caller, ...servers] } = startNodes("a", "b", "c");
  servers.forEach((server) => server.setWorker(worker("menus")));
  const call = async () => {
    const answer = await caller!.admit(request({
      deadline: performance.now() + 1_000,
      countsForLimit: false,
    }));
    setTimeout(() => answer.ifRight((attempt) => attempt.finish(DONE)), 10);
  };
  for (let step = 0; step < 600; step++) {
    if (step === 300) {
      servers.forEach((server) =>
        server.setWorker({ ...worker("menus"), state: "draining" })
      );
    }
    void call();
    await vi.advanceTimersByTimeAsync(10);
  }
  expect(caller!.services()[0]).toMatchObject({ running: 0, slots: 0 });
});

test("control messages of a node fit 6 KB/s", async () => {
  const services = ["a", "b", "c"];
  const servers = services.flatMap((service) =>
    [1, 2, 3, 4, 5].map((index) => `${service}-${index}`)
  );
  const callers = Array.from({ length: 15 }, (_, index) => `caller-${index}`);
  const { peers, nodes } = startNodes("node", ...servers, ...callers);
  const node = nodes[0]!;
  node.setWorker(worker("own", 60));
  servers.forEach((name, index) =>
    nodes[1 + index]!.setWorker(worker(name.split("-")[0]!))
  );
  const call = async (from: CapacityAdmission, service: string) => {
    const answer = await from.admit(request({
      service,
      organisation: `organisation-${Math.floor(performance.now()) % 3}`,
      deadline: performance.now() + 1_000,
      countsForLimit: false,
    }));
    setTimeout(
      () =>
        answer.ifRight((attempt) =>
          attempt.finish({ ...DONE, durationMs: 60 })
        ),
      60,
    );
  };
  const run = async (seconds: number) => {
    for (let step = 0; step < seconds * 100; step++) {
      await vi.advanceTimersByTimeAsync(10);
      if (step % 2 === 0) {
        for (const name of services) void call(node, name);
      }
      if (step % 5 !== 0) continue;
      for (const caller of nodes.slice(16)) void call(caller, "own");
    }
  };
  await run(10);
  const peer = peers.nodes.get("node")!;
  const before = { sent: peer.sentBytes, received: peer.receivedBytes };
  await run(20);
  const sent = (peer.sentBytes - before.sent) / 20;
  const received = (peer.receivedBytes - before.received) / 20;
  expect(sent).toBeLessThanOrEqual(6_000);
  expect(received).toBeLessThanOrEqual(6_000);
});

test("an unknown service and a missing worker give different errors", () => {
  const { nodes: [node] } = startNodes("a");
  const refusal = (service: string) =>
    (node!.admit(request({ service })) as AdmissionResult).extract();
  expect(refusal("unknown")).toMatchObject({ kind: "no_such_service" });
  expect(refusal("menus")).toMatchObject({ kind: "no_worker" });
  expect(node!.usage()[0]?.refused).toEqual({
    no_such_service: 1,
    no_worker: 1,
  });
});

test("the baseline sends every call to a serving worker at once", () => {
  const { peers, nodes: [node] } = startNodes("a", "b");
  node!.setWorker(worker("menus", 1));
  const baseline = new UncontrolledAdmission({
    members: peers.nodes.get("b")!.view,
    random: xoroshiro128plus(1),
  });
  for (let call = 0; call < 100; call++) {
    const attempt = baseline.admit(request()).unsafeCoerce();
    expect(attempt.target).toMatchObject({ kind: "direct", nodeId: "a" });
  }
  expect(baseline.services()[0]).toMatchObject({ running: 100, slots: 1 });
});
