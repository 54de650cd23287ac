import { Socket } from "node:net";
import { Writable } from "node:stream";

/** Bytes buffered for the reader of a log, beyond which lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Time for which the end of a process waits for the reader, in milliseconds. */
const SETTLE_TIMEOUT_MS = 100;

/** Time for which lines are collected after the first one, in milliseconds. */
const BATCH_MS = 250;

/**
 * Writes lines to a stream without waiting for its reader. Lines beyond a limit
 * are dropped, counted and reported before the next line that is written. Lines
 * in quick succession are written with one system call.
 */
export class NonBlockingLogStream extends Writable {
  readonly #target: Writable;
  #dropped = 0;
  #unreported = 0;
  #flushTimer: NodeJS.Timeout | undefined;

  /** @param target Stream for the lines; see {@linkcode openLogTarget}. */
  constructor(target: Writable) {
    super({ decodeStrings: false });
    this.#target = target;
    // An error, such as a reader that has exited, must not end the process.
    target.on("error", () => this.#dropped++);
  }

  /** Number of lines that were dropped since the start. */
  get droppedLines(): number {
    return this.#dropped;
  }

  override _write(
    chunk: string | Buffer,
    _encoding: BufferEncoding,
    done: () => void,
  ): void {
    if (this.#target.writableLength > MAX_BUFFERED_BYTES) {
      this.#dropped++;
      this.#unreported++;
    } else {
      if (this.#unreported > 0) {
        this.#target.write(
          `level=warn dropped=${this.#unreported} event=log_lines_dropped\n`,
        );
        this.#unreported = 0;
      }
      this.#target.write(chunk);
      this.#scheduleFlush();
    }
    done();
  }

  override _final(done: () => void): void {
    this.flush();
    done();
  }

  /** Writes the collected lines. */
  flush(): void {
    if (this.#flushTimer === undefined) return;
    clearTimeout(this.#flushTimer);
    this.#flushTimer = undefined;
    this.#target.uncork();
  }

  /**
   * Writes the collected lines and waits until they have left the process, which
   * then may end, but not long for a reader that is stuck, and not for one that is
   * gone.
   */
  async settle(): Promise<void> {
    this.flush();
    const target = this.#target;
    if (target.destroyed || target.writableLength === 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, SETTLE_TIMEOUT_MS);
      // Called behind all lines, and at an error as well.
      target.write("", () => {
        clearTimeout(timer);
        resolve();
      });
    });
    this.flush();
  }

  #scheduleFlush(): void {
    if (this.#flushTimer !== undefined) return;
    this.#target.cork();
    this.#flushTimer = setTimeout(() => this.flush(), BATCH_MS).unref();
  }
}

/**
 * Opens a descriptor so that writes to a pipe or socket do not block. Writes to
 * other descriptors go to the fallback; those to a file never block.
 *
 * @param descriptor File descriptor, for example 1.
 * @param fallback Stream for a file or a terminal.
 */
export function openLogTarget(
  descriptor: number,
  fallback: Writable,
): Writable {
  try {
    return new Socket({ fd: descriptor, readable: false, writable: true });
  } catch {
    // Not a pipe or a socket: a file or a terminal.
    return fallback;
  }
}
