import { Socket } from "node:net";
import { Writable } from "node:stream";

/** Bytes that may wait for the reader of a log; more lines are dropped. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Time for which lines after a first one are gathered, in milliseconds. */
const GATHER_MS = 250;

/**
 * Writes lines to a file descriptor without ever waiting for its reader: lines
 * beyond a bound are dropped, counted and reported with the next one written.
 * Lines that follow one another closely leave with one system call.
 */
export class NonBlockingLogStream extends Writable {
  readonly #target: Writable;
  #dropped = 0;
  #unreported = 0;
  #gathering: NodeJS.Timeout | undefined;

  /** @param target Where lines go; see {@linkcode openLogTarget}. */
  constructor(target: Writable) {
    super({ decodeStrings: false });
    this.#target = target;
    // A reader that has gone must not end the process.
    target.on("error", () => this.#dropped++);
  }

  /** Lines that were dropped since the start. */
  get droppedLines(): number {
    return this.#dropped;
  }

  override _write(
    chunk: string | Buffer,
    _encoding: BufferEncoding,
    done: () => void,
  ): void {
    if (this.#target.writableLength > MAX_WAITING_BYTES) {
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
      this.#gather();
    }
    done();
  }

  override _final(done: () => void): void {
    this.flush();
    done();
  }

  /** Writes the lines that are gathered. */
  flush(): void {
    if (this.#gathering === undefined) return;
    clearTimeout(this.#gathering);
    this.#gathering = undefined;
    this.#target.uncork();
  }

  #gather(): void {
    if (this.#gathering !== undefined) return;
    this.#target.cork();
    this.#gathering = setTimeout(() => this.flush(), GATHER_MS).unref();
  }
}

/**
 * Opens a descriptor so that writes to a pipe do not block; writes to a file
 * never do.
 *
 * @param descriptor File descriptor, for example 1.
 * @param fallback Stream for descriptors that are no pipe or socket.
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
