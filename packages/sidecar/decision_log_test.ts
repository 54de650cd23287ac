import { afterEach, beforeEach, expect, test } from "vitest";
import xxhash from "xxhash-wasm";
import { TestFleet, type TestHost } from "./_test_fleet.ts";

// Compares the decisions about a request that nodes log with a golden file. To
// accept a change, run
// `npx vitest run packages/sidecar/decision_log_test.ts -u`.

/** Fields that describe a decision; the others hold times and counts. */
const DECISION_FIELDS = [
  "service",
  "worker",
  "reason",
  "status",
  "may_have_run",
];

/** Of successful requests, one in this many identities is logged. */
const SAMPLE_MODULUS = 64;

let fleet: TestFleet;
beforeEach(() => void (fleet = new TestFleet()));
afterEach(() => fleet.close());

const route = (service: string, priority: number) => ({
  name: service,
  priority,
  shares: [{ service, weight: 1 }],
});

async function startFleet(...services: readonly string[]): Promise<TestHost[]> {
  fleet.configure(1, services.map(route));
  const hosts: TestHost[] = [];
  for (const [index, service] of services.entries()) {
    hosts.push(await fleet.add(`host-${index}`, service));
  }
  await expect.poll(() => fleet.store.entries.size).toBe(services.length);
  for (const host of hosts) {
    for (const service of services) {
      await expect.poll(async () =>
        (await fleet.call(host, `/${service}/warm`)).status
      ).toBe(200);
    }
  }
  return hosts;
}

async function sampledRequestId(prefix: string): Promise<string> {
  const { h32 } = await xxhash();
  let count = 0;
  while (h32(`${prefix}${count}`) % SAMPLE_MODULUS !== 0) count++;
  return `${prefix}${count}`;
}

function decisions(requestId: string): string {
  const lines = fleet.lines.filter((line) =>
    line.includes(` request=${requestId} `)
  );
  return lines.map((line) => {
    const fields = new Map(
      line.trim().split(" ").map((pair) =>
        pair.split("=", 2) as [string, string]
      ),
    );
    const shownFields = DECISION_FIELDS.filter((name) => fields.has(name))
      .map((name) => ` ${name}=${fields.get(name)}`);
    return `${fields.get("event")}${shownFields.join("")}\n`;
  }).join("");
}

async function expectDecisions(name: string, requestId: string): Promise<void> {
  await expect(decisions(requestId))
    .toMatchFileSnapshot(`../../golden/decisions_${name}.txt`);
}

test("decisions of a request that is answered", async () => {
  const [caller] = await startFleet("menus", "members");
  const id = await sampledRequestId("answered");
  await fleet.call(caller!, "/members/1", { id });
  await expectDecisions("answered", id);
});

test("decisions of a request that is repeated", async () => {
  const [caller, near] = await startFleet("menus", "members");
  const far = await fleet.add("far", "members", { dataCentre: "wa-b" });
  await expect.poll(() => fleet.store.entries.size).toBe(3);
  // Each worker receives requests first, since they add to its repeat budget.
  for (let count = 0; count < 40; count++) {
    await fleet.call(caller!, "/members/1");
    await fleet.call(far, "/members/1");
  }
  await new Promise((resolve) => setTimeout(resolve, 600));
  near!.worker.status = 500;
  const id = await sampledRequestId("repeated");
  await fleet.call(caller!, "/members/1", { id });
  await expectDecisions("repeated", id);
});

test("decisions of a request without an available worker", async () => {
  const [caller, server] = await startFleet("menus", "members");
  fleet.sendHeartbeat(server!, "draining");
  await fleet.call(caller!, "/members/1", { id: "refused1" });
  await expectDecisions("refused", "refused1");
});

test("decisions of a request that misses its deadline", async () => {
  const [caller, server] = await startFleet("menus", "members");
  server!.worker.holdMs = 600;
  await fleet.call(caller!, "/members/1", { id: "late1", timeLeftMs: 200 });
  await new Promise((resolve) => setTimeout(resolve, 100));
  await expectDecisions("late", "late1");
});
