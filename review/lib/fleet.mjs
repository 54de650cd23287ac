/**
 * Small deployment on loopback addresses: the node of the deploy file as one
 * process for each host, beside stand-ins of the store, the workers, the clients
 * and the platform. The stand-ins do what PROTOCOL.md and DEPLOY.md say.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Bounds of SYSTEM.md for both deployments. */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  stabilityWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lostSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 48,
  recoveryS: 15,
};

export const HEARTBEAT_MS = 1500;
export const MEMORY_MB = 350;

/** Port of the metrics, which the deploy file states. */
const METRICS_PORT = 9464;

/** Sets of ports and addresses that are tried until all of one set are free. */
const MAX_TRIES = 20;

/** Draws ports, which are the same on all hosts of a deployment. */
function drawPorts() {
  const first = 10_000 + 100 * Math.floor(150 * Math.random());
  return {
    inbound: first,
    worker: first + 1,
    readiness: first + 2,
    outbound: first + 4,
    control: first + 6,
    store: first + 9,
    firstOfRange: first + 20,
    lastOfRange: first + 35,
  };
}

/** Draws the first three bytes of the addresses of a deployment. */
function drawPrefix() {
  const byte = () => 1 + Math.floor(Math.random() * 250);
  return `127.${byte()}.${byte()}`;
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns an address prefix and ports that no other program uses. */
async function freeNetwork(hostCount) {
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const prefix = drawPrefix();
    const ports = drawPorts();
    const hosts = Array.from(
      { length: hostCount },
      (_, index) => hostAddress(prefix, index),
    );
    const checks = [storeAddress(prefix), ...hosts].flatMap((host) =>
      [METRICS_PORT, ...Object.values(ports)].map((port) => isFree(host, port))
    );
    if ((await Promise.all(checks)).every(Boolean)) return { prefix, ports };
  }
  throw new Error("No free ports were found");
}

const storeAddress = (prefix) => `${prefix}.2`;
const hostAddress = (prefix, index) => `${prefix}.${index + 10}`;

/** Writes the log of a case, with the seconds since its start. */
export class Record {
  #startedAt = performance.now();
  #lines = [];
  #path;

  constructor(path) {
    this.#path = path;
  }

  get now() {
    return performance.now() - this.#startedAt;
  }

  line(text, isShown = false) {
    const line = `${(this.now / 1000).toFixed(3).padStart(8)}  ${text}`;
    this.#lines.push(line);
    if (isShown) console.log(line);
  }

  show(text) {
    this.line(text, true);
  }

  save() {
    writeFileSync(this.#path, this.#lines.join("\n") + "\n");
  }
}

/** One host: the node process, and the worker beside it. */
export class Host {
  constructor(fleet, { index, service, zone, slots, worker }) {
    this.fleet = fleet;
    this.index = index;
    this.service = service;
    this.zone = zone;
    this.ip = hostAddress(fleet.prefix, index);
    this.node = `sidecar-${zone}-${index + 1}`;
    this.starts = 0;
    this.ends = [];
    this.output = [];
    this.child = undefined;
    this.settingsPath = join(fleet.directory, `${this.node}.conf`);
    this.worker = new Worker({
      id: `i-${this.node}`,
      service,
      zone,
      slots,
      host: this.ip,
      port: fleet.ports.worker,
      controlPort: fleet.ports.control,
      heartbeatMs: HEARTBEAT_MS,
      record: fleet.record,
      ...worker,
    });
    writeFileSync(this.settingsPath, this.#settings());
  }

  get outbound() {
    return { host: this.ip, port: this.fleet.ports.outbound };
  }

  #settings() {
    const { fleet, ip, node, service, zone } = this;
    const { ports } = fleet;
    const lines = [
      `node=${node}`,
      "role=sidecar-node",
      "machineClass=sidecar",
      "serves=sidecar",
      `ip=${ip}`,
      `zone=${zone}`,
      "region=r",
      `zones.${zone}=r`,
      `listen.inbound=${ip}:${ports.inbound}`,
      `listen.outbound=${ip}:${ports.outbound}`,
      `listen.readinessAddress=${ip}:${ports.readiness}`,
      `listen.control=${ip}:${ports.control}`,
      `portRange=${ports.firstOfRange},${ports.lastOfRange}`,
      "seeds=",
      "bootstrap=true",
      "inFaultBudget=false",
      "limits.cpuShare=0.54",
      "limits.cores=2",
      `limits.memoryMb=${MEMORY_MB}`,
      "limits.maxFds=4100",
      "limits.linkMbps=1000.0",
      "limits.diskMb=0",
      "discovery=static",
      "entry=static",
      `heartbeatMs=${HEARTBEAT_MS}`,
      "contracts=base,drain,config,cost,retry,recover,pressure,platform",
      "tolerate.machines=2",
      "tolerate.zones=0",
      "tolerate.regions=0",
      ...Object.entries(BOUNDS).map(([name, value]) =>
        `bounds.${name}=${value}`
      ),
      `appAddr=${ip}:${ports.worker}`,
      `service=${service}`,
      `platform.address=${fleet.storeHost}:${ports.store}`,
      "platform.form=objects",
      "platform.writesPerS=400",
      "platform.readsPerS=2000",
      "platform.historyS=20",
      "platform.maxValueBytes=1048576",
      "platform.minTtlMs=1000",
    ];
    return lines.join("\n") + "\n";
  }

  /** Starts the process of the node as the platform does. */
  start() {
    const { HOME, LANG, PATH } = process.env;
    this.starts++;
    const child = spawn("node", deployedArguments(), {
      cwd: ROOT,
      env: {
        PATH,
        ...(HOME && { HOME }),
        ...(LANG && { LANG }),
        OLEANDERDECK_BOOT: this.settingsPath,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    const keep = (chunk) => {
      this.output.push(String(chunk));
      if (this.output.length > 4_000) this.output.shift();
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.on("exit", (code, signal) => {
      this.ends.push({ at: this.fleet.record.now, code, signal });
      this.fleet.record.line(`${this.node}: process ended (${code ?? signal})`);
      if (this.child === child) this.child = undefined;
    });
    this.fleet.record.line(`${this.node}: process started (${child.pid})`);
  }

  signal(name) {
    this.fleet.record.line(`${this.node}: ${name}`);
    this.child?.kill(name);
  }

  async ended() {
    while (this.child !== undefined) await sleep(5);
  }

  /** Resident memory of the process in MB; 0 if it does not run. */
  residentMb() {
    if (this.child === undefined) return 0;
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
      return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1024;
    } catch {
      return 0;
    }
  }

  /** Whether the node answers its readiness check with 200. */
  async isReady() {
    try {
      const answer = await fetch(
        `http://${this.ip}:${this.fleet.ports.readiness}/readyz`,
        { signal: AbortSignal.timeout(500) },
      );
      await answer.text();
      return answer.status === 200;
    } catch {
      return false;
    }
  }
}

/** The deployment. */
export class Fleet {
  constructor({ record, hosts, network }) {
    this.record = record;
    this.directory = mkdtempSync(join(tmpdir(), "review-"));
    this.prefix = network.prefix;
    this.ports = network.ports;
    this.storeHost = storeAddress(this.prefix);
    this.store = new Store(record);
    this.hosts = hosts.map((options, index) =>
      new Host(this, { index, ...options })
    );
  }

  /** Starts everything and waits until all nodes are ready. */
  async start(configuration) {
    await this.store.listen(this.storeHost, this.ports.store);
    this.store.put("config", "main", configuration);
    for (const { worker } of this.hosts) await worker.listen();
    this.hosts.forEach((host) => host.start());
    for (let tries = 0; tries < 100; tries++) {
      await sleep(100);
      const ready = await Promise.all(
        this.hosts.map((host) => host.isReady()),
      );
      if (ready.every(Boolean)) break;
      if (tries === 99) throw new Error("The nodes do not become ready");
    }
    this.hosts.forEach(({ worker }) => worker.startHeartbeats());
    // The nodes learn the workers, and a calm time precedes all that follows.
    await sleep(4_000);
  }

  async close() {
    this.hosts.forEach(({ child, worker }) => {
      worker.close();
      child?.kill("SIGCONT");
      child?.kill("SIGKILL");
    });
    await Promise.all(this.hosts.map((host) => host.ended()));
    this.store.close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/** Arguments of Node.js in the `run` line of the deploy file. */
function deployedArguments() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const command = /^run = "node (.*)"$/m.exec(text)?.[1];
  if (command === undefined) throw new Error("The deploy file runs no node");
  return command.split(" ");
}

/** Returns a configuration with one host name and the given paths. */
export function configurationOf(version, services, paths) {
  return {
    version,
    services: services.map((name) => ({
      name,
      healthCheck: "/healthz",
      maxConnections: 508,
      protocol: "h1",
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    baseVersion: 0,
    virtualHosts: [{ host: "lunch.example", paths }],
  };
}

/**
 * Runs a case: exits with 1 if it returns broken rules, 0 if it returns none, and
 * 2 if it could not run.
 */
export async function runCase(directory, play) {
  const record = new Record(join(directory, "record.txt"));
  const isTroubled = process.env.TROUBLE !== "0";
  const fleets = [];
  let code = 2;
  const cutOff = setTimeout(() => {
    record.show("The case takes too long");
    record.save();
    process.exit(2);
  }, 115_000);
  // No process outlives the case, whatever ends it.
  process.on(
    "exit",
    () =>
      fleets.forEach(({ hosts }) =>
        hosts.forEach(({ child }) => child?.kill("SIGKILL"))
      ),
  );
  ["SIGINT", "SIGTERM"].forEach((name) =>
    process.on(name, () => process.exit(2))
  );
  try {
    const makeFleet = async (hosts) => {
      const network = await freeNetwork(hosts.length);
      const fleet = new Fleet({ record, hosts, network });
      fleets.push(fleet);
      return fleet;
    };
    const broken = await play({ record, isTroubled, makeFleet });
    broken.forEach((text) => record.show(`BROKEN ${text}`));
    if (broken.length === 0) record.show("No rule was broken");
    code = broken.length === 0 ? 0 : 1;
  } catch (error) {
    record.show(`The case could not run: ${error.stack}`);
  }
  await Promise.all(fleets.map((fleet) => fleet.close()));
  clearTimeout(cutOff);
  record.save();
  process.exit(code);
}
