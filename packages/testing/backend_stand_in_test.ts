import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { request } from "undici";
import {
  type BackendDescription,
  BackendStandIn,
  BODY_HASH_FIELD,
  CallServerFixture,
  directTarget,
  isStaleFencingToken,
  OpenPolicy,
  ServiceTimes,
} from "./mod.ts";

const fixture = new CallServerFixture(
  new OpenPolicy({ services: { menus: {}, members: {} } }),
);

afterEach(() => fixture.close());

const constant = (milliseconds: number) => ({
  distribution: "constant" as const,
  milliseconds,
});

async function standIn(description: BackendDescription) {
  const backend = await fixture.backend(description);
  return { backend, url: `http://${backend.address}` };
}

// Guards against a registration that expires while the stand-in runs, or remains
// after it has stopped.
test("registers with its node, renews and drains", async () => {
  const server = await fixture.callServer({});
  const { backend, url } = await standIn({
    service: "menus",
    node: server.address,
    slots: 7,
  });
  const { registration } = server.node;
  expect(registration.current).toMatchObject({ slots: 7, state: "serving" });
  await sleep(3500);
  expect(registration.current).toMatchObject({ state: "serving" });
  await request(`${url}/stand-in/v1/drain`, { method: "POST" });
  expect(registration.current).toMatchObject({ state: "draining" });
  await backend.close();
  await sleep(3200);
  expect(registration.current).toBeUndefined();
});

// Guards against duplicate executions that the stand-in does not report.
test("counts executions by request identity", async () => {
  const { backend, url } = await standIn({ service: "menus" });
  for (const identity of ["a", "b", "a"]) {
    await request(`${url}/list`, {
      headers: { "oleanderdeck-request": identity },
    });
  }
  expect(backend.record.duplicates()).toEqual({ a: 2 });
});

// Guards against a wrong "not run" response, on which retries rely.
test("refuses as not run without a free slot; recognises stale fencing tokens", async () => {
  const { backend, url } = await standIn({
    service: "menus",
    slots: 1,
    requests: [{ method: "*", path: "*", serviceTime: constant(200) }],
  });
  const first = request(`${url}/list`);
  while (backend.inFlight === 0) await sleep(1);
  const second = await request(`${url}/list`);
  expect([second.statusCode, second.headers["oleanderdeck-run"]])
    .toEqual([503, "no"]);
  expect((await first).statusCode).toBe(200);
  expect(backend.record.counts).toMatchObject({ started: 1, refusedFull: 1 });
  expect(isStaleFencingToken("5.9", "6.1")).toBe(true);
  expect(isStaleFencingToken("6.1", "6.2")).toBe(true);
  expect(isStaleFencingToken("6.10", "6.9")).toBe(false);
  expect(isStaleFencingToken("x", "6.9")).toBe(true);
});

// Guards against a slow factor that has no effect, or remains after it is reset.
test("the slow factor multiplies service times", async () => {
  const { url } = await standIn({
    service: "menus",
    requests: [{ method: "*", path: "*", serviceTime: constant(20) }],
  });
  const elapsed = async () => {
    const startedAt = performance.now();
    await (await request(`${url}/list`)).body.dump();
    return performance.now() - startedAt;
  };
  const setFactor = (factor: string) =>
    request(`${url}/stand-in/v1/slow-factor`, { method: "PUT", body: factor });
  await setFactor("20");
  expect(await elapsed()).toBeGreaterThan(390);
  await setFactor("1");
  expect(await elapsed()).toBeLessThan(390);
});

// Guards against service times that differ between runs with the same seed.
test("service times follow the seed and the mean", () => {
  const time = { distribution: "exponential" as const, meanMs: 10 };
  const draw = (seed: number) => {
    const times = new ServiceTimes(seed);
    return Array.from({ length: 2000 }, () => times.draw(time));
  };
  expect(draw(1)).toEqual(draw(1));
  expect(draw(1)).not.toEqual(draw(2));
  const mean = draw(1).reduce((sum, value) => sum + value, 0) / 2000;
  expect(mean).toBeGreaterThan(9);
  expect(mean).toBeLessThan(11);
});

// Guards against corrupt uploads that are accepted and executed.
test("a body that does not match its hash is refused", async () => {
  const { backend, url } = await standIn({ service: "menus" });
  const answer = await request(`${url}/photo`, {
    method: "PUT",
    headers: { [BODY_HASH_FIELD]: "00" },
    body: "photo",
  });
  expect(answer.statusCode).toBe(422);
  expect(backend.record.counts).toMatchObject({ corruptBodies: 1, started: 0 });
});

// Guards against child calls that lose the priority, depth or retries of their
// root request, and against more retries than the root request has lent.
test("child calls carry the context and share the lent retries", async () => {
  const server = await fixture.callServer({
    members: [
      directTarget("127.0.0.1:1", "gone-1"),
      directTarget("127.0.0.1:1", "gone-2"),
      directTarget("127.0.0.1:1", "gone-3"),
    ],
  });
  const backend = await fixture.backend({
    service: "menus",
    node: server.address,
    requests: [{ method: "*", path: "*", calls: [{ service: "members" }] }],
  });
  server.admission.targets.set("menus", [directTarget(backend.address)]);
  const answer = await request(`${server.url}/menus/list`);
  expect(answer.statusCode).toBe(502);
  expect(answer.headers["oleanderdeck-run"]).toBe("yes");
  const children = server.admission.requests.filter((attempt) =>
    attempt.service === "members"
  );
  // The root request has 3 retries and lends 1 of them to its attempt.
  expect(children.length).toBe(2);
  expect(children[0]).toMatchObject({
    callingService: "menus",
    countsForLimit: false,
    shedKey: server.admission.requests[0]!.shedKey,
  });
});

// Guards against a caller that multiplies load by sending one request repeatedly.
test("a caller's repetitions count against the allowance", async () => {
  const { backend } = await standIn({ service: "menus" });
  const server = await fixture.callServer({
    menus: [directTarget(backend.address)],
  });
  const statuses: number[] = [];
  for (let repetition = 0; repetition < 6; repetition++) {
    const answer = await request(`${server.url}/menus/list`, {
      headers: { "oleanderdeck-request": "same" },
    });
    statuses.push(answer.statusCode);
    await answer.body.dump();
  }
  expect(statuses.at(0)).toBe(200);
  expect(statuses.at(-1)).toBe(429);
  expect(backend.record.executionCount("same")).toBeLessThanOrEqual(1 + 3);
});

// Guards against mistyped keys of a description that are silently ignored.
test("an unknown key in the description is refused", () => {
  const description = { service: "menus", slot: 3 } as BackendDescription;
  expect(() => new BackendStandIn(description)).toThrow();
});
