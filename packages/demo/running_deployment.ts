import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { DeployedHost, Deployment } from "./deployment.ts";
import { ProcessGroup, type StartedProcess } from "./process_group.ts";
import { isNodeReady, readStandIn } from "./stand_in_control.ts";

/** Time within which all nodes must become ready, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

/** Interval between two readiness checks, in milliseconds. */
const READY_CHECK_MS = 100;

/** Options of {@linkcode RunningDeployment}. */
export interface RunningDeploymentOptions {
  readonly deployment: Deployment;
  readonly hosts: readonly DeployedHost[];
  /** Directory that contains the built programs. */
  readonly programs: string;
}

interface HostProcesses {
  readonly host: DeployedHost;
  node: StartedProcess;
  backend: StartedProcess;
}

/**
 * Processes of a deployment: the platform stand-in, and a node and a backend
 * server for each host.
 */
export class RunningDeployment {
  readonly #options: RunningDeploymentOptions;
  readonly #group = new ProcessGroup();
  #platform: StartedProcess | undefined;
  #hosts: readonly HostProcesses[] = [];
  readonly #expectedExits = new Set<StartedProcess>();

  /** @param options Deployment, its hosts and the programs. */
  constructor(options: RunningDeploymentOptions) {
    this.#options = options;
  }

  /** Starts all processes. Nodes serve calls once documents have been applied. */
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
   * Waits until all nodes report that they are ready.
   *
   * @throws {Error} If a process exits unexpectedly, or if the nodes are not ready
   * within 20 s.
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
    throw new Error("The nodes did not become ready in time");
  }

  /**
   * Checks that no process has exited unexpectedly.
   *
   * @throws {Error} If one has. The message contains its last output.
   */
  checkProcesses(): void {
    const ended = this.#group.ended()
      .filter((process) => !this.#expectedExits.has(process));
    if (ended.length === 0) return;
    throw new Error(
      ended.map(({ name, output }) =>
        `${name} exited unexpectedly: ${output()}`
      ).join("\n"),
    );
  }

  /** Sends a signal to the node process of a host. */
  signalNode(ip: string, signal: NodeJS.Signals): void {
    this.#find(ip).node.signal(signal);
  }

  /** Kills both processes of a host with SIGKILL, which simulates a failed host. */
  kill(ip: string): void {
    const { backend, node } = this.#find(ip);
    [node, backend].forEach((process) => {
      this.#expectedExits.add(process);
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
   * Stops a host gracefully: the backend server drains and exits, then the node
   * stops.
   *
   * @returns Whether both exited with code 0.
   */
  async stop(ip: string): Promise<boolean> {
    const { backend, node } = this.#find(ip);
    [node, backend].forEach((process) => this.#expectedExits.add(process));
    const codes = [await backend.stop(), await node.stop()];
    return codes.every((code) => code === 0);
  }

  /** Returns the last lines that each process has written, by its name. */
  outputs(): Readonly<Record<string, string>> {
    return Object.fromEntries(
      this.#hosts.flatMap(({ backend, node }) =>
        [node, backend].map(({ name, output }) => [name, output()])
      ),
    );
  }

  /** Reads the state of each backend server that is running. */
  readStandIns(): Promise<Awaited<ReturnType<typeof readStandIn>>[]> {
    return Promise.all(
      this.#hosts.filter(({ backend }) => backend.isRunning())
        .map(({ host }) => readStandIn(host.backendAddress)),
    );
  }

  /** Stops all processes. */
  async close(): Promise<void> {
    this.#hosts.forEach(({ backend, node }) => {
      this.#expectedExits.add(backend);
      this.#expectedExits.add(node);
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
