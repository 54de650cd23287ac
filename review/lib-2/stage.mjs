// A small deployment for a script: a store, machines with the program of the
// deploy file, and a worker on each. Writes what happens to record.txt.
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { isReady } from "./client.mjs";
import { freePorts, Machine, sleep } from "./fleet.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

export const isTroubled = process.env.TROUBLE !== "0";

/** Exit codes of a script. */
export const BROKEN = 1;
export const HELD = 0;
export const NOT_RUN = 2;

/** Time after which a script gives up; the limit of a case is 120 seconds. */
const LATEST_MS = 110_000;

export class Stage {
  machines = [];
  workers = [];
  #lines = [];
  #folder;
  #store = new Store();
  #startedAt = performance.now();
  #onFinish = [];

  /** folder: that of the case; hosts: loopback addresses, one a machine */
  constructor(folder, hosts) {
    this.#folder = folder;
    this.hosts = hosts;
    setTimeout(() => {
      this.note("gave up: out of time");
      this.finish(NOT_RUN);
    }, LATEST_MS).unref();
    const giveUp = (error) => {
      this.note(`gave up: ${error.stack}`);
      this.finish(NOT_RUN);
    };
    process.on("uncaughtException", giveUp);
    ["SIGTERM", "SIGINT"].forEach((name) =>
      process.on(name, () => giveUp(new Error(name)))
    );
  }

  note(text) {
    const at = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    this.#lines.push(`${at} ${text}`);
  }

  get store() {
    return this.#store;
  }

  /** services: name of the service of each machine; worker: options of workers */
  async open(
    {
      services,
      configuration,
      settings = [],
      worker = {},
      withoutWorkers = [],
    },
  ) {
    const [storeHost] = this.hosts;
    this.ports = await freePorts(this.hosts);
    await this.#store.listen(storeHost, this.ports.store);
    this.#store.put("config", "main", configuration);
    for (const [index, host] of this.hosts.entries()) {
      const service = services[index];
      this.machines.push(
        new Machine({
          node: `sidecar-z-a-${index + 1}`,
          host,
          service,
          ports: this.ports,
          storeHost,
          settings,
        }),
      );
      this.workers.push(
        new Worker({
          id: `i-${index + 1}`,
          service,
          host,
          port: this.ports.worker,
          controlHost: host,
          controlPort: this.ports.control,
          onRun: ({ requestId, path, worker }) =>
            this.note(`run ${requestId} ${path.slice(0, 40)} at ${worker}`),
          ...worker,
        }),
      );
    }
    this.machines.forEach((machine) => machine.start());
    for (const [index, one] of this.workers.entries()) {
      if (!withoutWorkers.includes(index)) await one.start();
    }
    await this.untilReady();
    // From here on the machines count as in touch (stabilityWindowMs 3,000).
    await sleep(4_000);
  }

  async untilReady() {
    const until = performance.now() + 15_000;
    for (const host of this.hosts) {
      while (!await isReady(host, this.ports.readiness)) {
        if (performance.now() > until) {
          this.note(`not ready: ${host}`);
          this.finish(NOT_RUN);
        }
        await sleep(100);
      }
    }
  }

  /** Registers what ends other processes of the script. */
  onFinish(end) {
    this.#onFinish.push(end);
  }

  outbound(index) {
    return { host: this.hosts[index], port: this.ports.outbound };
  }

  finish(code) {
    this.machines.forEach(({ ends, log, options }) => {
      ends.forEach(({ code, signal }) =>
        this.note(`process of ${options.node} ended: ${code ?? signal}`)
      );
      const last = log.split("\n").filter((line) =>
        /level=error|FATAL|heap/.test(line)
      );
      last.slice(-5).forEach((line) => this.note(`log ${line.slice(0, 200)}`));
    });
    this.note(`exit ${code} trouble=${isTroubled ? 1 : 0}`);
    this.#onFinish.forEach((end) => end());
    this.machines.forEach((machine) => machine.close());
    this.workers.forEach((worker) => worker.close());
    this.#store.close();
    writeFileSync(
      join(this.#folder, "record.txt"),
      this.#lines.join("\n") + "\n",
    );
    process.exit(code);
  }
}
