import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { Writable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
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

const sockets: Socket[] = [];
afterEach(() => sockets.splice(0).forEach((socket) => socket.destroy()));

/** Writes lines to a reader that has paused, until they wait in the process. */
async function writeToPausedReader() {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const target = connect((server.address() as AddressInfo).port, "127.0.0.1");
  const [reader] = await once(server, "connection") as [Socket];
  server.close();
  sockets.push(target, reader);
  const output = new NonBlockingLogStream(target);
  const line = "x".repeat(16_383) + "\n";
  while (target.writableLength < 65_536) {
    output.write(line);
    output.flush();
    await new Promise((resolve) => setImmediate(resolve));
  }
  output.write("event=process_ending\n");
  return { output, reader, target };
}

// Guards against the last lines of a process that its reader is too slow for.
test("the end of a process waits for a reader that has paused", async () => {
  const { output, reader, target } = await writeToPausedReader();
  let text = "";
  setTimeout(() => reader.on("data", (chunk) => text += chunk), 30);
  await output.settle();
  target.destroy();
  await once(reader, "end");
  expect(text.endsWith("\nevent=process_ending\n")).toBe(true);
});

// Guards against a process that hangs at its end.
test("the end of a process does not wait long for a stuck reader", async () => {
  const { output } = await writeToPausedReader();
  const startedAt = performance.now();
  await output.settle();
  expect(performance.now() - startedAt).toBeLessThan(500);
});

test("the end of a process does not wait for a reader that is gone", async () => {
  const { output, reader } = await writeToPausedReader();
  reader.destroy();
  await sleep(20);
  await Promise.all([output.settle(), output.settle()]);
});
