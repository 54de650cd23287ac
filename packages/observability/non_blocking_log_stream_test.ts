import { Writable } from "node:stream";
import { expect, test } from "vitest";
import { NonBlockingLogStream } from "./mod.ts";

/** Stream that stays blocked after its first line until it is released. */
class SlowReader extends Writable {
  readonly lines: string[] = [];
  #release: (() => void) | undefined;

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.lines.push(chunk.toString());
    this.#release = done;
  }

  release(): void {
    this._write = (chunk: Buffer, _encoding, done) => {
      this.lines.push(chunk.toString());
      done();
    };
    this.#release?.();
  }
}

test("a line is written to its reader at once", () => {
  const reader = new SlowReader();
  new NonBlockingLogStream(reader).write("level=info event=a\n");
  expect(reader.lines).toEqual(["level=info event=a\n"]);
});

// Guards against a system call for each line while many requests fail.
test("lines in quick succession are collected", () => {
  const reader = new SlowReader();
  reader.release();
  const output = new NonBlockingLogStream(reader);
  output.write("event=a\n");
  output.write("event=b\n");
  expect(reader.lines).toEqual(["event=a\n"]);
  output.flush();
  expect(reader.lines).toEqual(["event=a\n", "event=b\n"]);
});

// Guards against the loss of the last lines when a process exits.
test("the end of the stream writes the collected lines", () => {
  const reader = new SlowReader();
  reader.release();
  const output = new NonBlockingLogStream(reader);
  output.write("event=a\n");
  output.end("event=b\n");
  expect(reader.lines).toEqual(["event=a\n", "event=b\n"]);
});

// Guards against requests that are delayed by a slow reader of the log.
test("lines beyond the bound are dropped and reported", async () => {
  const reader = new SlowReader();
  const output = new NonBlockingLogStream(reader);
  const line = "x".repeat(1_023) + "\n";
  for (let count = 0; count < 400; count++) output.write(line);
  expect(output.droppedLines).toBeGreaterThan(100);
  reader.release();
  output.flush();
  await new Promise((resolve) => setTimeout(resolve, 10));
  output.write("level=info event=last\n");
  expect(reader.lines.at(-2)).toBe(
    `level=warn dropped=${output.droppedLines} event=log_lines_dropped\n`,
  );
});
