// Starts the node of the deploy file as processes, beside the stand-ins. Each
// machine has an address of its own on the loopback interface.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Ports of every machine; the base is chosen so that they are free. */
export async function freePorts(hosts) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const base = 20_000 + Math.floor(Math.random() * 10_000);
    const ports = {
      outbound: base,
      control: base + 1,
      readiness: base + 2,
      link: base + 3,
      worker: base + 20,
      store: base + 30,
    };
    const all = hosts.flatMap((host) =>
      [...Object.values(ports), 9464].map((port) => [host, port])
    );
    const free = await Promise.all(
      all.map(([host, port]) => isFree(host, port)),
    );
    if (free.every(Boolean)) return ports;
  }
  throw new Error("No free ports were found");
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.on("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A machine whose process is that of the deploy file's `run` line. */
export class Machine {
  ends = [];
  log = "";
  #child;
  #folder = mkdtempSync(join(tmpdir(), "review-"));

  /** options: node, host, zone, service, ports, storeHost, settings (lines) */
  constructor(options) {
    this.options = options;
    this.boot = join(this.#folder, "boot.conf");
    const { node, host, zone = "z-a", service, ports, storeHost } = options;
    const lines = [
      `node=${node}`,
      "role=sidecar-node",
      "machineClass=sidecar",
      "serves=sidecar",
      `ip=${host}`,
      `zone=${zone}`,
      "region=r",
      "zones.z-a=r",
      "zones.z-b=r",
      `listen.inbound=${host}:${ports.link + 10}`,
      `listen.outbound=${host}:${ports.outbound}`,
      `listen.readinessAddress=${host}:${ports.readiness}`,
      `listen.control=${host}:${ports.control}`,
      `portRange=${ports.link},${ports.link + 7}`,
      "seeds=",
      "bootstrap=true",
      "limits.cpuShare=0.54",
      "limits.cores=2",
      "limits.memoryMb=350",
      "limits.maxFds=4100",
      "limits.linkMbps=1000.0",
      "limits.diskMb=0",
      "discovery=static",
      "entry=static",
      "heartbeatMs=1500",
      "contracts=base,drain,config,cost,retry,recover,pressure,platform",
      "bounds.seedLagS=3",
      "bounds.reuseAfterS=2",
      "bounds.stabilityWindowMs=3000",
      "bounds.ackMs=4000",
      "bounds.catchUpS=4",
      "bounds.drainMs=2000",
      "bounds.graceS=6",
      "bounds.lostSlackMs=200",
      "bounds.configApplyMs=2000",
      "bounds.rollbackSlackMs=250",
      "bounds.maxStretchMs=5000",
      "bounds.retryBudgetRatio=0.2",
      "bounds.budgetWindowS=10",
      "bounds.budgetSlack=48",
      "bounds.recoveryS=15",
      `appAddr=${host}:${ports.worker}`,
      `service=${service}`,
      `platform.address=${storeHost}:${ports.store}`,
      "platform.form=objects",
      "platform.writesPerS=400",
      "platform.readsPerS=2000",
      "platform.historyS=20",
      "platform.maxValueBytes=1048576",
      "platform.minTtlMs=1000",
      ...(options.settings ?? []),
    ];
    writeFileSync(this.boot, lines.join("\n") + "\n");
  }

  get pid() {
    return this.#child?.pid;
  }

  get isRunning() {
    return this.#child !== undefined;
  }

  start() {
    if (this.isRunning) return;
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [program, ...args] = /^run = "(.*)"$/m.exec(text)[1].split(" ");
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, OLEANDERDECK_BOOT: this.boot },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    [child.stdout, child.stderr].forEach((output) =>
      output.on("data", (chunk) => this.log += chunk)
    );
    child.on("exit", (code, signal) => {
      if (this.#child === child) this.#child = undefined;
      this.ends.push({ at: performance.now(), code, signal });
    });
  }

  signal(name) {
    this.#child?.kill(name);
  }

  /** Resident memory in MB now and at its peak; undefined if it has ended. */
  get memory() {
    try {
      const text = readFileSync(`/proc/${this.pid}/status`, "utf8");
      const of = (name) =>
        Number(new RegExp(`${name}:\\s+(\\d+) kB`).exec(text)?.[1]) / 1_024;
      const rss = of("VmRSS");
      return Number.isNaN(rss) ? undefined : { rss, peak: of("VmHWM") };
    } catch {
      return undefined; // The process has ended meanwhile.
    }
  }

  close() {
    this.#child?.kill("SIGKILL");
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Configuration as the operator writes it. */
export function configuration(version, routes, { services, ...more }) {
  const hosts = [...new Set(routes.map(({ host }) => host))];
  return {
    version,
    services: services.map((name) => ({
      name,
      healthCheck: "/healthz",
      maxConnections: 406,
      protocol: "h1",
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    virtualHosts: hosts.map((host) => ({
      host,
      paths: routes.filter((route) => route.host === host)
        .map(({ host: _, ...route }) => ({
          name: `r-${route.pathPrefix}`,
          kind: "safe",
          timeoutMs: 2_000,
          targetLatencyMs: 1_500,
          priority: 0,
          attempts: 2,
          ...route,
        })),
    })),
    ...more,
  };
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
