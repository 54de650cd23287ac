import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";

/** Lines of output that are kept per process for error messages. */
const KEPT_OUTPUT_LINES = 40;

/** Time that a process has to stop by itself after SIGTERM, in milliseconds. */
const STOP_TIMEOUT_MS = 10_000;

/** One started process. */
export interface StartedProcess {
  readonly name: string;
  /** Last lines that the process wrote. */
  output(): string;
  /** Whether the process has not ended. */
  isRunning(): boolean;
  /** Sends a signal. */
  signal(name: NodeJS.Signals): void;
  /** Sends SIGTERM, after a time SIGKILL, and waits for the end. */
  stop(): Promise<number | null>;
}

function follow(child: ChildProcess, lines: string[]): void {
  const keep = (chunk: Buffer) => {
    lines.push(...chunk.toString().split("\n").filter(Boolean));
    lines.splice(0, Math.max(0, lines.length - KEPT_OUTPUT_LINES));
  };
  child.stdout?.on("data", keep);
  child.stderr?.on("data", keep);
}

/** Starts processes of this project's programs and ends all of them. */
export class ProcessGroup {
  readonly #processes: StartedProcess[] = [];
  readonly #killAll = (): void =>
    this.#processes.forEach((process) => process.signal("SIGKILL"));

  constructor() {
    process.once("exit", this.#killAll);
  }

  /**
   * Starts a program from the build directory.
   *
   * @param name Name for messages.
   * @param parameters Path of the program and its arguments.
   */
  start(name: string, parameters: readonly string[]): StartedProcess {
    const child = spawn(process.execPath, [...parameters], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const lines: string[] = [];
    follow(child, lines);
    const isRunning = () =>
      child.exitCode === null && child.signalCode === null;
    const started: StartedProcess = {
      name,
      output: () => lines.join("\n"),
      isRunning,
      signal: (signal) => void (isRunning() && child.kill(signal)),
      stop: async () => {
        if (!isRunning()) return child.exitCode;
        const ended = once(child, "exit");
        child.kill("SIGTERM");
        const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
        await ended;
        clearTimeout(timer);
        return child.exitCode;
      },
    };
    this.#processes.push(started);
    return started;
  }

  /** Processes that ended although nobody stopped them. */
  ended(): readonly StartedProcess[] {
    return this.#processes.filter((process) => !process.isRunning());
  }

  /** Stops all processes. */
  async close(): Promise<void> {
    await Promise.all(this.#processes.map((process) => process.stop()));
    process.off("exit", this.#killAll);
  }
}
