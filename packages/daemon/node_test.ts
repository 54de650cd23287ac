import { afterEach, beforeEach, expect, test } from "vitest";
import { Code, ConnectError } from "@connectrpc/connect";
import { TestFleet } from "./_test_fleet.ts";

let fleet: TestFleet;

beforeEach(async () => {
  fleet = new TestFleet();
  await fleet.start([
    {
      service: "bookings",
      requests: [{
        method: "*",
        path: "*",
        serviceTime: { distribution: "constant", milliseconds: 30 },
        calls: [{ service: "menus", path: "/today" }],
      }],
    },
    {
      service: "menus",
      requests: [{
        method: "*",
        path: "*",
        calls: [{ service: "members", path: "/names" }],
      }],
    },
    { service: "members" },
    {
      service: "menus",
      requests: [{
        method: "*",
        path: "*",
        calls: [{ service: "members", path: "/names" }],
      }],
    },
  ]);
});

afterEach(() => fleet.close());

// Guards against call chains that only succeed when they start at one of the
// hosts.
test("a chain of three calls succeeds from every node", async () => {
  for (const host of fleet.hosts) {
    const response = await fleet.call(host, "/bookings/orders", {
      method: "POST",
      body: "order",
    });
    expect(response.status).toBe(200);
    expect(response.headers["oleanderdeck-run"]).toBe("yes");
  }
  expect(fleet.hosts[2]!.backend.record.counts.finished).toBe(4);
});

// Guards against a second execution when a client loses the response and sends
// the request again through another node.
test("a request with a permit runs once through two nodes", async () => {
  const [first, second] = [fleet.hosts[0]!, fleet.hosts[2]!];
  const permit = await fleet.fetchPermit(first);
  const options = {
    method: "POST" as const,
    headers: { "oleanderdeck-request": permit },
    body: "order",
  };
  const responses = await Promise.all([
    fleet.call(first, "/bookings/orders", options),
    fleet.call(second, "/bookings/orders", options),
    fleet.call(second, "/bookings/orders", options),
  ]);
  expect(responses.map(({ status }) => status)).toEqual([200, 200, 200]);
  expect(fleet.hosts[0]!.backend.record.executionCount(permit)).toBe(1);
});

// Guards against a restarted issuer that treats a permit of its predecessor as
// unused.
test("a permit of a replaced node never runs", async () => {
  const issuer = fleet.hosts[3]!;
  const permit = await fleet.fetchPermit(issuer);
  await fleet.replaceNode(issuer);
  await fleet.waitUntil(() => fleet.isReady(issuer));
  const options = {
    method: "POST" as const,
    headers: { "oleanderdeck-request": permit },
    body: "order",
  };
  for (const host of [issuer, fleet.hosts[0]!]) {
    const response = await fleet.call(host, "/bookings/orders", options);
    expect(response.headers["oleanderdeck-error"]).toBe("outcome_unknown");
    expect(response.headers["oleanderdeck-run"]).toBe("unknown");
  }
  expect(fleet.hosts[0]!.backend.record.executionCount(permit)).toBe(0);
});

// Guards against a shutdown that aborts calls in flight or closes connections
// under them.
test("a stopping node aborts no call", async () => {
  const stopped = fleet.hosts[1]!;
  const calls = Array.from(
    { length: 40 },
    () =>
      fleet.call(stopped, "/bookings/orders", {
        method: "POST",
        body: "order",
      }),
  );
  await new Promise((resolve) => setTimeout(resolve, 10));
  await stopped.backend.drain();
  const [responses] = await Promise.all([
    Promise.all(calls),
    stopped.node.close(),
  ]);
  const outcomes = responses.map(({ status, headers }) =>
    status === 200 ? "completed" : `run: ${headers["oleanderdeck-run"]}`
  );
  const unexpected = outcomes.filter((outcome) =>
    outcome !== "completed" && outcome !== "run: no"
  );
  expect(unexpected).toEqual([]);
  expect(outcomes.filter((outcome) => outcome === "completed").length)
    .toBeGreaterThan(0);
}, 20_000);

// Guards against a second close that ends before the first one, and closes parts
// which still serve calls.
test("a close that comes again joins the one under way", async () => {
  const { node } = fleet.hosts[1]!;
  const first = node.close();
  expect(node.close()).toBe(first);
  await first;
}, 20_000);

// Guards against requests to a worker that was drained through a node on another
// host.
test("a drained worker gets no new work after 3 s", async () => {
  const drained = fleet.hosts[3]!;
  await fleet.operator(fleet.hosts[0]!).drain({
    workerAddress: `${drained.ip}:8080`,
  });
  await new Promise((resolve) => setTimeout(resolve, 3000));
  const before = drained.backend.record.counts.started;
  await Promise.all(
    Array.from({ length: 20 }, () => fleet.call(fleet.hosts[2]!, "/menus/a")),
  );
  expect(drained.backend.record.counts.started).toBe(before);
});

// Guards against an operator who overwrites a concurrent change without noticing
// it.
test("one of two concurrent changes fails with a conflict", async () => {
  const stored = await fleet.operator(fleet.hosts[0]!).get({
    name: "policy/menus",
  });
  const change = (host: number, retries: number) =>
    fleet.operator(fleet.hosts[host]!).apply({
      name: "policy/menus",
      content: JSON.stringify({ service: "menus", retries }),
      expectedVersion: stored.document!.version,
      changeId: `change-${host}`,
    });
  const results = await Promise.allSettled([change(0, 1), change(1, 2)]);
  const refused = results.filter((result) => result.status === "rejected");
  expect(refused.length).toBe(1);
  expect(ConnectError.from(refused[0]!.reason).code).toBe(Code.Aborted);
});

// Guards against a change that takes effect only on the node that committed it,
// and against a node that returns to an older version.
test("a change takes effect on all nodes within 8 s", async () => {
  const { version } = await fleet.apply("policy/extra", {
    service: "extra",
    retries: 1,
  });
  await fleet.waitUntil(async () => {
    const { counts } = await fleet.operator(fleet.hosts[3]!).rollout({
      name: "policy/extra",
    });
    return counts.some((count) =>
      count.version === version && count.nodes === 4
    );
  }, 8000);
}, 20_000);

// Guards against a fleet that needs the store to serve calls or to admit a new
// node.
test("a node starts from its peers with the store down", async () => {
  fleet.store.setFaults({ outage: "refuse" });
  const added = await fleet.addHost({ service: "members" });
  await fleet.waitUntil(() => fleet.isReady(added));
  const response = await fleet.call(added, "/menus/today");
  expect(response.status).toBe(200);
  const change = fleet.apply("policy/other", { service: "other" });
  await expect(change).rejects.toThrow(ConnectError);
}, 20_000);

// Guards against nodes that serve calls without a configuration, and against
// nodes that do not recover when the store is available again.
test("all nodes restart with the store down and recover with it", async () => {
  fleet.store.setFaults({ outage: "refuse" });
  await Promise.all(fleet.hosts.map((host) => fleet.replaceNode(host)));
  const refused = await fleet.call(fleet.hosts[0]!, "/menus/today");
  expect(refused.headers["oleanderdeck-error"]).toBe("not_ready");
  expect(refused.headers["oleanderdeck-run"]).toBe("no");
  fleet.store.setFaults({ outage: "none" });
  await fleet.waitUntil(
    async () =>
      (await Promise.all(fleet.hosts.map((host) => fleet.isReady(host))))
        .every(Boolean),
    20_000,
  );
  await fleet.waitUntil(async () =>
    (await fleet.call(fleet.hosts[0]!, "/menus/today")).status === 200
  );
});

// Guards against a change that is reported as failed although the store has it,
// because the store's response was lost.
test("a change whose store response was lost is reported as committed", async () => {
  fleet.store.setFaults({ loseWriteAnswers: 1 });
  const stored = await fleet.apply("policy/other", { service: "other" });
  const change = await fleet.operator(fleet.hosts[2]!).getChange({
    name: "policy/other",
    changeId: "policy-other-0",
  });
  expect(change).toMatchObject({ committed: true, version: stored.version });
});
