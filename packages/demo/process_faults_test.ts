import { createHash } from "node:crypto";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { inspect } from "node:util";
import { afterEach, beforeEach, expect, test } from "vitest";
import { loadDescriptionSchema, runLoad } from "@oleanderdeck/load";
import {
  type LoopbackNetwork,
  reserveLoopbackNetwork,
} from "@oleanderdeck/testing";
import { applyDocuments } from "./apply_documents.ts";
import {
  type DeployedHost,
  type Deployment,
  deploymentSchema,
  writeHosts,
} from "./deployment.ts";
import { RunningDeployment } from "./running_deployment.ts";

// The tests use the built programs; `npm run verify` builds them first.
const PROGRAMS = fileURLToPath(new URL("../../dist/", import.meta.url));
const DOCUMENTS = fileURLToPath(
  new URL("../../examples/lunchtable/documents", import.meta.url),
);

const TOKEN = "operator-token";
const SLOTS = 8;

/** Nothing of what a failed load has shown is left out. */
const INSPECTED = { maxArrayLength: null, maxStringLength: null, depth: null };

function service(name: string, ips: readonly string[]) {
  return {
    service: name,
    slots: SLOTS,
    connectionLimit: 100,
    hosts: ips.map((ip) => ({ dataCentre: "wa-a", ip })),
    requests: [{
      method: "*",
      path: "*",
      serviceTime: { distribution: "constant" as const, milliseconds: 20 },
    }],
  };
}

function describeDeployment(prefix: string): Deployment {
  return deploymentSchema.parse({
    name: "test",
    region: "wa",
    platformAddress: `${prefix}.0.1:9400`,
    demo: { slowService: "", killedHost: "", stoppedHost: "" },
    services: [
      service("bookings", [`${prefix}.1.1`, `${prefix}.1.2`]),
      service("menus", [`${prefix}.1.3`, `${prefix}.1.4`]),
    ],
  });
}

let directory: string;
let hosts: readonly DeployedHost[];
let running: RunningDeployment;
let network: LoopbackNetwork;

/** Returns the IP address of a host; hosts are numbered from 1. */
const host = (number: number) => `${network.prefix}.1.${number}`;

beforeEach(async () => {
  network = await reserveLoopbackNetwork();
  const deployment = describeDeployment(network.prefix);
  directory = mkdtempSync(join(tmpdir(), "oleanderdeck-test-"));
  hosts = writeHosts(deployment, {
    directory,
    peerKey: "0123456789abcdef",
    operatorTokenHash: createHash("sha256").update(TOKEN).digest("hex"),
  });
  running = new RunningDeployment({
    deployment,
    hosts,
    programs: PROGRAMS,
  });
  running.start();
  await running.waitUntilReady();
  await applyDocuments({
    programs: PROGRAMS,
    documents: DOCUMENTS,
    node: hosts[0]!.controlAddress,
    token: TOKEN,
  });
  await sleep(1500);
}, 30_000);

afterEach(async () => {
  await running.close();
  await network.close();
  rmSync(directory, { recursive: true, force: true });
}, 30_000);

function load(nodes: readonly string[], durationMs: number) {
  const retry = { attempts: 3, when: "useful" };
  const common = { timeoutMs: 2000, retry };
  return runLoad(loadDescriptionSchema.parse({
    nodes,
    phases: [{ durationMs, multiplier: 1 }],
    calls: [
      {
        ...common,
        name: "book",
        service: "bookings",
        method: "POST",
        path: "/orders",
        bodyBytes: 100,
        credential: "fremantle-club:fremantle-club-example-secret",
        callsPerSecond: 60,
        permit: "first",
      },
      {
        ...common,
        name: "read",
        service: "menus",
        path: "/today",
        credential: "albany-club:albany-club-example-secret",
        callsPerSecond: 80,
      },
    ],
  }));
}

async function readViolations() {
  running.checkProcesses();
  const states = await running.readStandIns();
  return {
    duplicates: states.flatMap(({ duplicatePosts }) =>
      Object.keys(duplicatePosts)
    ),
    beyondSlots: states.reduce(
      (sum, { counts }) => sum + counts.refusedFull,
      0,
    ),
  };
}

const NO_VIOLATIONS = { duplicates: [], beyondSlots: 0 };

// Guards against a lease holder that resumes after a pause and uses slots that
// were granted to others meanwhile, or runs a request a second time.
test(
  "a node paused beyond the term of its leases violates no invariant",
  async () => {
    const nodes = hosts.map(({ callAddress }) => callAddress);
    const loading = load(nodes, 7000);
    await sleep(1000);
    running.signalNode(host(1), "SIGSTOP");
    await sleep(4000);
    running.signalNode(host(1), "SIGCONT");
    const report = await loading;
    expect(await readViolations()).toEqual(NO_VIOLATIONS);
    const { whole = 0, rejected = 0 } = report.totals.calls.outcomes;
    expect(whole).toBeGreaterThan(0);
    expect(report.totals.attempts.outcomes.wrong_body ?? 0).toBe(0);
    expect(whole + rejected).toBeGreaterThan(report.totals.sent / 2);
  },
  60_000,
);

// Guards against killed hosts that make calls on other hosts fail for long, and
// against a restarted host that runs a request again because the records of its
// predecessor are lost.
test("killed and restarted hosts run no request twice", async () => {
  const nodes = [`${host(1)}:7100`, `${host(3)}:7100`];
  const loading = load(nodes, 6000);
  await sleep(1000);
  running.kill(host(2));
  running.kill(host(4));
  await sleep(2000);
  running.restart(host(2));
  running.restart(host(4));
  const report = await loading;
  expect(await readViolations()).toEqual(NO_VIOLATIONS);
  expect(report.totals.attempts.outcomes.wrong_body ?? 0).toBe(0);
  const again = await load(nodes, 2000);
  const { calls } = again;
  if (again.totals.calls.outcomes.whole !== again.totals.sent) {
    console.info(inspect({ calls, outputs: running.outputs() }, INSPECTED));
  }
  expect(again.totals.calls.outcomes).toEqual({ whole: again.totals.sent });
}, 60_000);

// Guards against a graceful stop that interrupts calls in flight.
test("SIGTERM under load interrupts no call", async () => {
  const nodes = hosts.map(({ callAddress }) => callAddress);
  const loading = load(nodes, 5000);
  await sleep(1000);
  expect(await running.stop(host(3))).toBe(true);
  const report = await loading;
  expect(await readViolations()).toEqual(NO_VIOLATIONS);
  const { outcomes } = report.totals.attempts;
  expect(outcomes.connection_lost ?? 0).toBe(0);
  expect(outcomes.cut ?? 0).toBe(0);
}, 60_000);
