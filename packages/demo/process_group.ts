import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";

/** Number of output lines kept per process for error messages. */
const KEPT_OUTPUT_LINES = 40;

/** Time after SIGTERM until a process is killed, in milliseconds. */
const STOP_TIMEOUT_MS = 10_000;

/** Process started by a {@linkcode ProcessGroup}. */
export interface StartedProcess {
  /** Name used in error messages. */
  readonly name: string;
  /** Returns the last lines written to standard output and standard error. */
  output(): string;
  /** Returns whether the process has not exited. */
  isRunning(): boolean;
  /** Sends a signal, unless the process has exited. */
  signal(name: NodeJS.Signals): void;
  /**
   * Sends SIGTERM, and SIGKILL if the process does not exit within 10 s, and waits
   * until it has exited. Joins the stop that is under way, if any.
   *
   * @returns The exit code; null if a signal ended the process.
   */
  stop(): Promise<number | null>;
}

function collectOutput(child: ChildProcess, lines: string[]): void {
  const keep = (chunk: Buffer) => {
    lines.push(...chunk.toString().split("\n").filter(Boolean));
    lines.splice(0, Math.max(0, lines.length - KEPT_OUTPUT_LINES));
  };
  child.stdout?.on("data", keep);
  child.stderr?.on("data", keep);
}

async function stopProcess(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return child.exitCode;
  }
  const ended = once(child, "exit");
  child.kill("SIGTERM");
  const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
  await ended;
  clearTimeout(timer);
  return child.exitCode;
}

/** Starts Node.js programs as child processes and stops all of them together. */
export class ProcessGroup {
  readonly #processes: StartedProcess[] = [];
  readonly #killAll = (): void =>
    this.#processes.forEach((process) => process.signal("SIGKILL"));

  constructor() {
    process.once("exit", this.#killAll);
  }

  /**
   * Starts a program with the running Node.js executable.
   *
   * @param name Name used in error messages.
   * @param parameters Path of the program, followed by its arguments.
   */
  start(name: string, parameters: readonly string[]): StartedProcess {
    const child = spawn(process.execPath, [...parameters], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const lines: string[] = [];
    collectOutput(child, lines);
    const isRunning = () =>
      child.exitCode === null && child.signalCode === null;
    let stopped: Promise<number | null> | undefined;
    const started: StartedProcess = {
      name,
      output: () => lines.join("\n"),
      isRunning,
      signal: (signal) => void (isRunning() && child.kill(signal)),
      stop: () => stopped ??= stopProcess(child),
    };
    this.#processes.push(started);
    return started;
  }

  /** Processes that have exited, for whatever reason. */
  ended(): readonly StartedProcess[] {
    return this.#processes.filter((process) => !process.isRunning());
  }

  /** Stops all processes. */
  async close(): Promise<void> {
    await Promise.all(this.#processes.map((process) => process.stop()));
    process.off("exit", this.#killAll);
  }
}
