import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, relative } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  type LoopbackNetwork,
  reserveLoopbackNetwork,
} from "@oleanderdeck/testing";
import { applyDocuments } from "./apply_documents.ts";
import {
  type DeployedHost,
  deploymentSchema,
  writeHosts,
} from "./deployment.ts";
import { ProcessGroup, type StartedProcess } from "./process_group.ts";
import { isNodeReady, readStandIn } from "./stand_in_control.ts";

// The tests use the built programs; `npm run verify` builds them first.
const PROGRAMS = fileURLToPath(new URL("../../dist/", import.meta.url));
const DOCUMENTS = fileURLToPath(
  new URL("../../examples/lunchtable/documents", import.meta.url),
);
const TOKEN = "operator-token";
const SERVICE_TIME_MS = 1_500;
const START_TIMEOUT_MS = 15_000;

const PAIRS = [
  ["SIGTERM", "SIGTERM"],
  ["SIGTERM", "SIGINT"],
  ["SIGINT", "SIGHUP"],
] as const;

let directory: string;
let group: ProcessGroup;
let network: LoopbackNetwork;

beforeEach(async () => {
  network = await reserveLoopbackNetwork();
  directory = mkdtempSync(join(tmpdir(), "oleanderdeck-test-"));
  group = new ProcessGroup();
});

afterEach(async () => {
  await group.close();
  await network.close();
  rmSync(directory, { recursive: true, force: true });
}, 30_000);

function start(program: string, ...parameters: string[]): StartedProcess {
  return group.start(program, [
    join(PROGRAMS, `${program}.mjs`),
    ...parameters,
  ]);
}

/** Sends one signal, and another one twice; returns the exit code. */
async function signal(
  process: StartedProcess,
  [first, second]: readonly [NodeJS.Signals, NodeJS.Signals],
): Promise<number | null> {
  for (const name of [first, second, second]) {
    process.signal(name);
    await sleep(50);
  }
  await expect.poll(() => process.isRunning(), { timeout: 12_000 }).toBe(false);
  return process.stop();
}

function requestScript() {
  return [{
    method: "*",
    path: "*",
    serviceTime: {
      distribution: "constant" as const,
      milliseconds: SERVICE_TIME_MS,
    },
  }];
}

function describeDeployment() {
  const { prefix } = network;
  return {
    name: "test",
    region: "wa",
    platformAddress: `${prefix}.0.1:9400`,
    demo: { slowService: "", killedHost: "", stoppedHost: "" },
    services: [{
      service: "menus",
      slots: 8,
      connectionLimit: 100,
      hosts: PAIRS.map((_, index) => ({
        dataCentre: "wa-a",
        ip: `${prefix}.1.${index + 1}`,
      })),
      requests: requestScript(),
    }],
  };
}

/** Starts a platform, and a node and a backend server on each host. */
async function startHosts(): Promise<{
  readonly hosts: readonly DeployedHost[];
  readonly nodes: readonly StartedProcess[];
}> {
  const deployment = deploymentSchema.parse(describeDeployment());
  const hosts = writeHosts(deployment, {
    directory,
    peerKey: "0123456789abcdef",
    operatorTokenHash: createHash("sha256").update(TOKEN).digest("hex"),
  });
  start("platform_stand_in", "--address", deployment.platformAddress);
  const nodes = hosts.map(({ settingsFile }) =>
    start("oleanderdeckd", "--settings", settingsFile)
  );
  hosts.forEach(({ behaviourFile }) =>
    start("backend_stand_in", "--file", behaviourFile)
  );
  const areReady = async () =>
    (await Promise.all(hosts.map((host) => isNodeReady(host.callAddress))))
      .every(Boolean);
  await expect.poll(areReady, { timeout: START_TIMEOUT_MS }).toBe(true);
  await applyDocuments({
    programs: PROGRAMS,
    documents: DOCUMENTS,
    node: hosts[0]!.controlAddress,
    token: TOKEN,
  });
  return { hosts, nodes };
}

async function call(address: string): Promise<number> {
  const { statusCode, body } = await request(`http://${address}/menus/today`, {
    headers: {
      "oleanderdeck-credential": "albany-club:albany-club-example-secret",
    },
  });
  await body.dump();
  return statusCode;
}

// Guards against a daemon that a second signal ends while calls run (LOST).
test("signals that come again cut off no call of a daemon", async () => {
  const { hosts, nodes } = await startHosts();
  await Promise.all(
    hosts.map(({ callAddress }) =>
      expect.poll(() => call(callAddress), { timeout: START_TIMEOUT_MS }).toBe(
        200,
      )
    ),
  );
  const calls = hosts.map(({ callAddress }) => call(callAddress));
  const inFlight = async () =>
    (await Promise.all(hosts.map((host) => readStandIn(host.backendAddress))))
      .reduce((sum, state) => sum + state.inFlight, 0);
  await expect.poll(inFlight).toBe(hosts.length);
  const codes = nodes.map((node, index) => signal(node, PAIRS[index]!));
  expect(await Promise.all(calls)).toEqual(hosts.map(() => 200));
  expect(await Promise.all(codes)).toEqual(hosts.map(() => 0));
}, 60_000);

// Guards against a hangup, meant to reload settings, that ends a daemon.
test("a daemon goes on at SIGHUP", async () => {
  const { hosts, nodes } = await startHosts();
  nodes[0]!.signal("SIGHUP");
  await sleep(100);
  expect(await isNodeReady(hosts[0]!.callAddress)).toBe(true);
}, 60_000);

// Guards against a backend server that a second signal ends in a request (LOST).
test.each(PAIRS)("%s and then %s cut off no request", async (...pair) => {
  const listen = `${network.prefix}.1.1:8080`;
  const file = join(directory, "behaviour.json");
  writeFileSync(
    file,
    JSON.stringify({ service: "menus", listen, requests: requestScript() }),
  );
  const backend = start("backend_stand_in", "--file", file);
  await expect.poll(() => backend.output(), { timeout: START_TIMEOUT_MS })
    .toContain("event=started");
  const answer = request(`http://${listen}/today`);
  await expect.poll(async () => (await readStandIn(listen)).inFlight).toBe(1);
  const code = signal(backend, pair);
  expect((await answer).statusCode).toBe(200);
  expect(await code).toBe(0);
});

// Guards against processes of a demonstration that outlive it at a hangup.
test("a demonstration ends its processes at SIGHUP", async () => {
  const { prefix } = network;
  writeFileSync(
    join(directory, "deployment.jsonc"),
    JSON.stringify(describeDeployment()),
  );
  const calls = [{ service: "menus", callsPerSecond: 1 }];
  writeFileSync(
    join(directory, "load.jsonc"),
    JSON.stringify({
      nodes: [`${prefix}.1.1:7100`],
      phases: [{ durationMs: 1_000, multiplier: 1 }],
      calls,
    }),
  );
  const isPlatformUp = () =>
    request(`http://${prefix}.0.1:9400/control/faults`)
      .then(({ body }) => body.dump()).then(() => true, () => false);
  const examples = join(PROGRAMS, "..", "examples");
  const demo = start("demo", relative(examples, directory));
  await expect.poll(isPlatformUp, { timeout: START_TIMEOUT_MS }).toBe(true);
  demo.signal("SIGHUP");
  await expect.poll(isPlatformUp, { timeout: 3_000 }).toBe(false);
}, 30_000);

// Guards against a second stop of a process that sends it another signal.
test("a process is asked to stop once", async () => {
  const file = join(directory, "count.mjs");
  writeFileSync(
    file,
    "let count = 0;" +
      "process.on('SIGTERM', () => setTimeout(() => process.exit(10 + count), 300, ++count));" +
      "setInterval(() => {}, 1e3); console.log('ready');",
  );
  const counting = group.start("count", [file]);
  await expect.poll(() => counting.output()).toContain("ready");
  const codes = [counting.stop(), sleep(50).then(() => counting.stop())];
  expect(await Promise.all(codes)).toEqual([11, 11]);
});
