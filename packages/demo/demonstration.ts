import { createHash, randomBytes } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type LoadDescription,
  loadDescriptionSchema,
  type LoadTestReport,
  runLoad,
} from "@oleanderdeck/load";
import { formatIssue, readJsonc } from "@oleanderdeck/settings";
import { applyDocuments } from "./apply_documents.ts";
import {
  type DeployedHost,
  type Deployment,
  readDeployment,
  writeHosts,
} from "./deployment.ts";
import { RunningDeployment } from "./running_deployment.ts";
import { setSlowFactor, type StandInState } from "./stand_in_control.ts";

/** Factor by which the service times of the slow service are multiplied. */
const SLOW_FACTOR = 10;

/** Wait between applying the documents and starting the load, in milliseconds. */
const SETTLE_MS = 1500;

/** Options of {@linkcode Demonstration}. */
export interface DemonstrationOptions {
  /** Directory that contains the built programs. */
  readonly programs: string;
  /** Directory that contains the example deployments. */
  readonly examples: string;
  /** Callback that receives each progress line. */
  readonly report: (line: string) => void;
}

/** Result of a demonstration. */
export interface DemonstrationResult {
  readonly deployment: Deployment;
  readonly load: LoadTestReport;
  readonly description: LoadDescription;
  readonly standIns: readonly StandInState[];
  /** Whether both processes of the stopped host exited with code 0. */
  readonly stoppedCleanly: boolean;
}

/** Index of each phase in the load description of a demonstration. */
export const PHASES = {
  steady: 0,
  surge: 1,
  afterSurge: 2,
  slow: 3,
  afterSlow: 4,
  killed: 5,
  stopped: 6,
} as const;

/** Returns the time range of a phase, in milliseconds since the start of the load. */
export function phaseTimeRange(
  description: LoadDescription,
  index: number,
): { readonly startMs: number; readonly endMs: number } {
  const startMs = description.phases.slice(0, index)
    .reduce((sum, { durationMs }) => sum + durationMs, 0);
  return { startMs, endMs: startMs + description.phases[index]!.durationMs };
}

function readLoad(path: string): LoadDescription {
  return readJsonc(readFileSync(path, "utf8"), loadDescriptionSchema).caseOf({
    Left: (faults) => {
      throw new Error(
        faults.map((fault) => formatIssue(path, fault)).join("\n"),
      );
    },
    Right: (description) => description,
  });
}

/** Starts one deployment, runs load and injects faults, and stops it again. */
export class Demonstration {
  readonly #options: DemonstrationOptions;
  readonly #directory = mkdtempSync(join(tmpdir(), "oleanderdeck-demo-"));
  readonly #deployment: Deployment;
  readonly #description: LoadDescription;
  readonly #token = randomBytes(24).toString("base64url");
  readonly #hosts: readonly DeployedHost[];
  readonly #running: RunningDeployment;

  /**
   * @param name Name of a directory in the examples directory.
   * @param options Directories and the progress callback.
   * @throws {Error} If the description of the deployment or of its load is
   * invalid.
   */
  constructor(name: string, options: DemonstrationOptions) {
    this.#options = options;
    const directory = join(options.examples, name);
    this.#deployment = readDeployment(join(directory, "deployment.jsonc"));
    this.#description = readLoad(join(directory, "load.jsonc"));
    this.#hosts = writeHosts(this.#deployment, {
      directory: this.#directory,
      peerKey: randomBytes(24).toString("base64url"),
      operatorTokenHash: createHash("sha256").update(this.#token).digest("hex"),
    });
    this.#running = new RunningDeployment({
      deployment: this.#deployment,
      hosts: this.#hosts,
      programs: options.programs,
    });
  }

  /**
   * Runs the demonstration.
   *
   * @throws {Error} If a process exits unexpectedly or the nodes do not become
   * ready in time.
   */
  async run(): Promise<DemonstrationResult> {
    const { report } = this.#options;
    const { demo, name } = this.#deployment;
    report(`${name}: starting ${this.#hosts.length} hosts`);
    this.#running.start();
    await this.#running.waitUntilReady();
    report(`${name}: applying the documents`);
    await applyDocuments({
      programs: this.#options.programs,
      documents: join(this.#options.examples, name, "documents"),
      node: this.#hosts[0]!.controlAddress,
      token: this.#token,
    });
    await sleep(SETTLE_MS);
    report(`${name}: load and faults`);
    const loadRun = runLoad(this.#description);
    const faultRun = this.#injectFaults();
    const load = await loadRun;
    const stoppedCleanly = await faultRun;
    this.#running.checkProcesses();
    const standIns = await this.#running.readStandIns();
    report(`${name}: ${demo.stoppedHost} stopped, reading the results`);
    return {
      deployment: this.#deployment,
      description: this.#description,
      load,
      standIns,
      stoppedCleanly,
    };
  }

  /** Stops all processes and removes the temporary files. */
  async close(): Promise<void> {
    await this.#running.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  async #injectFaults(): Promise<boolean> {
    const { killedHost, slowService, stoppedHost } = this.#deployment.demo;
    const slowed = this.#hosts.filter(({ service }) => service === slowService);
    const setFactorOfAll = (factor: number) =>
      Promise.all(
        slowed.map(({ backendAddress }) =>
          setSlowFactor(backendAddress, factor)
        ),
      );
    const startedAt = Date.now();
    const waitForPhase = (index: number) =>
      sleep(
        phaseTimeRange(this.#description, index).startMs -
          (Date.now() - startedAt),
      );
    await waitForPhase(PHASES.slow);
    await setFactorOfAll(SLOW_FACTOR);
    await waitForPhase(PHASES.afterSlow);
    await setFactorOfAll(1);
    await waitForPhase(PHASES.killed);
    this.#running.kill(killedHost);
    await waitForPhase(PHASES.stopped);
    this.#running.restart(killedHost);
    return this.#running.stop(stoppedHost);
  }
}
