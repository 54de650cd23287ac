import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { DeployedHost, Deployment } from "./deployment.ts";
import { ProcessGroup, type StartedProcess } from "./process_group.ts";
import { isNodeReady, readStandIn } from "./stand_in_control.ts";

/** Longest time until all nodes take calls, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

const READY_CHECK_MS = 100;

/** Options of {@linkcode RunningDeployment}. */
export interface RunningDeploymentOptions {
  readonly deployment: Deployment;
  readonly hosts: readonly DeployedHost[];
  /** Directory of the built programs. */
  readonly programs: string;
}

interface HostProcesses {
  readonly host: DeployedHost;
  node: StartedProcess;
  backend: StartedProcess;
}

/** Processes of a deployment: the platform stand-in and all hosts. */
export class RunningDeployment {
  readonly #options: RunningDeploymentOptions;
  readonly #group = new ProcessGroup();
  #platform: StartedProcess | undefined;
  #hosts: readonly HostProcesses[] = [];
  readonly #expectedEnds = new Set<StartedProcess>();

  /** @param options Description and programs. */
  constructor(options: RunningDeploymentOptions) {
    this.#options = options;
  }

  /** Starts all processes. Nodes take calls when documents are stored. */
  start(): void {
    this.#platform = this.#start("platform_stand_in", "platform", [
      "--address",
      this.#options.deployment.platformAddress,
    ]);
    this.#hosts = this.#options.hosts.map((host) => ({
      host,
      node: this.#startNode(host),
      backend: this.#startBackend(host),
    }));
  }

  /**
   * Waits until all nodes take calls and all backend servers are registered.
   *
   * @throws {Error} If a process ended or the time is over.
   */
  async waitUntilReady(): Promise<void> {
    const end = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < end) {
      this.checkProcesses();
      const ready = await Promise.all(
        this.#options.hosts.map(({ callAddress }) => isNodeReady(callAddress)),
      );
      if (ready.every(Boolean)) return;
      await sleep(READY_CHECK_MS);
    }
    throw new Error("The nodes did not take calls in time");
  }

  /**
   * Checks that no process has ended by itself.
   *
   * @throws {Error} If one has; the message has its last output.
   */
  checkProcesses(): void {
    const ended = this.#group.ended()
      .filter((process) => !this.#expectedEnds.has(process));
    if (ended.length === 0) return;
    throw new Error(
      ended.map(({ name, output }) => `${name} ended: ${output()}`).join("\n"),
    );
  }

  /** Sends a signal to the node of a host. */
  signalNode(ip: string, signal: NodeJS.Signals): void {
    this.#find(ip).node.signal(signal);
  }

  /** Kills both processes of a host, as when a host fails. */
  kill(ip: string): void {
    const { backend, node } = this.#find(ip);
    [node, backend].forEach((process) => {
      this.#expectedEnds.add(process);
      process.signal("SIGKILL");
    });
  }

  /** Starts the processes of a killed or stopped host again. */
  restart(ip: string): void {
    const entry = this.#find(ip);
    entry.node = this.#startNode(entry.host);
    entry.backend = this.#startBackend(entry.host);
  }

  /**
   * Stops a host gracefully: the backend server drains, then the node stops.
   *
   * @returns Whether both ended with exit code 0.
   */
  async stop(ip: string): Promise<boolean> {
    const { backend, node } = this.#find(ip);
    [node, backend].forEach((process) => this.#expectedEnds.add(process));
    const codes = [await backend.stop(), await node.stop()];
    return codes.every((code) => code === 0);
  }

  /** States of all backend servers that run. */
  readStandIns(): Promise<Awaited<ReturnType<typeof readStandIn>>[]> {
    return Promise.all(
      this.#hosts.filter(({ backend }) => backend.isRunning())
        .map(({ host }) => readStandIn(host.backendAddress)),
    );
  }

  /** Stops all processes. */
  async close(): Promise<void> {
    this.#hosts.forEach(({ backend, node }) => {
      this.#expectedEnds.add(backend);
      this.#expectedEnds.add(node);
    });
    await Promise.all(this.#hosts.map(({ backend }) => backend.stop()));
    await this.#group.close();
  }

  #find(ip: string): HostProcesses {
    const found = this.#hosts.find(({ host }) => host.ip === ip);
    if (found === undefined) throw new RangeError(`There is no host ${ip}`);
    return found;
  }

  #start(
    program: string,
    name: string,
    parameters: readonly string[],
  ): StartedProcess {
    const path = join(this.#options.programs, `${program}.mjs`);
    return this.#group.start(name, [path, ...parameters]);
  }

  #startNode(host: DeployedHost): StartedProcess {
    return this.#start("oleanderdeckd", `node ${host.ip}`, [
      "--settings",
      host.settingsFile,
    ]);
  }

  #startBackend(host: DeployedHost): StartedProcess {
    return this.#start("backend_stand_in", `${host.service} ${host.ip}`, [
      "--file",
      host.behaviourFile,
    ]);
  }
}
