import { afterEach, beforeEach, expect, test } from "vitest";
import { SystemClock } from "@oleanderdeck/settings";
import {
  HttpStore,
  MemoryStore,
  PAGE_BYTES,
  type PlatformStandIn,
  startPlatformStandIn,
} from "./mod.ts";

let memory: MemoryStore;
let server: PlatformStandIn;
let store: HttpStore;

beforeEach(async () => {
  memory = new MemoryStore({ clock: new SystemClock() });
  server = await startPlatformStandIn({
    store: memory,
    host: "127.0.0.1",
    port: 0,
  });
  store = new HttpStore({ origin: server.origin, timeoutMs: 1_000 });
});

afterEach(async () => {
  await store.close();
  await server.close();
});

// Guards against clients that overwrite each other's writes.
test("a conditional write fails when the version differs", async () => {
  const first = await store.put("policy/a b", "1", { expectedVersion: 0 });
  expect(first.unsafeCoerce().version).toBe(1);
  const second = await store.put("policy/a b", "2", { expectedVersion: 0 });
  expect(second.swap().unsafeCoerce().kind).toBe("conflict");
  const removed = await store.delete("policy/a b", { expectedVersion: 1 });
  expect(removed.unsafeCoerce()).toMatchObject({ version: 2, deleted: true });
  const read = await store.get("policy/a b");
  expect(read.swap().unsafeCoerce().kind).toBe("not_found");
});

// Guards against a watch that misses a write, and against counting a waiting
// watch more than once.
test("a watch waits for a change and counts as one call", async () => {
  const waiting = store.watch("policy/", { afterRevision: 0, waitMs: 5_000 });
  await store.put("seeds", "x", { expectedVersion: 0 });
  await store.put("policy/menus", "{}", { expectedVersion: 0 });
  const listing = (await waiting).unsafeCoerce();
  expect(listing.objects.map(({ name }) => name)).toEqual(["policy/menus"]);
  expect(listing.revision).toBe(2);
  const nothing = await store.watch("policy/", {
    afterRevision: 2,
    waitMs: 20,
  });
  expect(nothing.unsafeCoerce().objects).toEqual([]);
  expect(memory.counters()).toMatchObject({ watch: 2, put: 2 });
});

// Guards against a client that reports a write as not run although it took
// effect and only its answer was lost.
test("the outcome of a write with a lost answer is unknown", async () => {
  memory.setFaults({ loseWriteAnswers: 1 });
  const lost = await store.put("policy/menus", "{}", { expectedVersion: 0 });
  expect(lost.swap().unsafeCoerce())
    .toMatchObject({ kind: "store_unavailable", run: "unknown" });
  expect((await store.get("policy/menus")).unsafeCoerce().version).toBe(1);
});

// Guards against calls without a time limit during an outage or if the store is
// slow.
test("outages and delays end calls within the timeout", async () => {
  memory.setFaults({ outage: "refuse" });
  const refused = await store.put("policy/menus", "{}", { expectedVersion: 0 });
  expect(refused.swap().unsafeCoerce())
    .toMatchObject({ kind: "store_unavailable", run: "no" });
  for (const faults of [{ outage: "hang" }, { delayMs: 60_000 }] as const) {
    memory.setFaults({ outage: "none", ...faults });
    const start = performance.now();
    const slow = await store.put("policy/menus", "{}", { expectedVersion: 0 });
    expect(slow.swap().unsafeCoerce())
      .toMatchObject({ kind: "store_unavailable", run: "unknown" });
    expect(performance.now() - start).toBeLessThan(10_000);
  }
  // Connections of calls that timed out are not reused.
  memory.setFaults({ outage: "none", delayMs: 0 });
  expect((await store.list("")).isRight()).toBe(true);
  await server.close();
  // The first write may use a connection that closes at the same time, so that
  // its outcome is unknown. For the second one, the connection is refused.
  await store.put("policy/menus", "{}", { expectedVersion: 0 });
  const closed = await store.put("policy/menus", "{}", { expectedVersion: 0 });
  expect(closed.swap().unsafeCoerce())
    .toMatchObject({ kind: "store_unavailable", run: "no" });
});

// Guards against answers of unbounded size.
test("a long listing has pages and an object's size is limited", async () => {
  const value = "x".repeat(900_000);
  const names = Array.from({ length: 6 }, (_, index) => `policy/${index}`);
  for (const name of names) {
    await memory.put(name, value, { expectedVersion: 0 });
  }
  const listing = (await store.list("policy/")).unsafeCoerce();
  expect(listing.objects.map(({ name }) => name)).toEqual(names);
  const cut = (await store.watch("", { afterRevision: 0, waitMs: 0 }))
    .unsafeCoerce();
  expect(cut.objects.length).toBe(Math.ceil(PAGE_BYTES / value.length));
  expect(cut.revision).toBe(cut.objects.at(-1)!.version);
  const large = await store.put("policy/large", "x".repeat(1_000_001), {
    expectedVersion: 0,
  });
  expect(large.swap().unsafeCoerce().kind).toBe("too_large");
});

// Guards against a store whose memory use grows without limit.
test("the numbers of objects and concurrent calls are limited", async () => {
  const small = new MemoryStore({
    clock: new SystemClock(),
    maximumObjects: 1,
    maximumCalls: 1,
  });
  await small.put("policy/a", "1", { expectedVersion: 0 });
  const full = await small.put("policy/b", "1", { expectedVersion: 0 });
  expect(full.swap().unsafeCoerce().kind).toBe("too_large");
  const waiting = small.watch("", { afterRevision: 1, waitMs: 60_000 });
  const busy = await small.get("policy/a");
  expect(busy.swap().unsafeCoerce())
    .toMatchObject({ kind: "store_unavailable", run: "no" });
  await small.close();
  expect((await waiting).isLeft()).toBe(true);
});

// Guards against control endpoints that accept unknown faults.
test("faults and counters are controlled over HTTP", async () => {
  const faults = `${server.origin}/control/faults`;
  const patch = (body: string) => fetch(faults, { method: "PATCH", body });
  expect(await (await patch(`{"delayMs":5}`)).json())
    .toEqual({ outage: "none", delayMs: 5, loseWriteAnswers: 0 });
  expect((await patch(`{"delay":5}`)).status).toBe(400);
  expect((await patch("{")).status).toBe(400);
  await store.get("policy/menus");
  const counters = `${server.origin}/control/counters`;
  expect(await (await fetch(counters)).json()).toMatchObject({ get: 1 });
  await fetch(counters, { method: "DELETE" });
  expect(memory.counters().get).toBe(0);
});
