import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterEach, beforeEach, expect, test } from "vitest";
import { reserveLoopbackNetwork } from "@oleanderdeck/testing";

// `npm run verify` builds the programs before the tests.
const PROGRAM = fileURLToPath(
  new URL("../../dist/oleanderdeckd.mjs", import.meta.url),
);

function settingsFor(prefix: string): string {
  return JSON.stringify({
    callAddress: `${prefix}.0.1:7100`,
    controlAddress: `${prefix}.0.1:7101`,
    peerAddress: `${prefix}.0.1:7102`,
    dataCentre: "wa-a",
    region: "wa",
    peerKeys: ["0123456789abcdef"],
    storeUrl: `http://${prefix}.0.9:9400`,
  });
}

let directory: string;

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), "oleanderdeckd-test-"));
});

afterEach(() => rmSync(directory, { recursive: true, force: true }));

function run(text: string, ...flags: readonly string[]) {
  const file = join(directory, "settings.jsonc");
  writeFileSync(file, text);
  const { status, stderr } = spawnSync(
    process.execPath,
    [PROGRAM, "--settings", file, ...flags],
    { encoding: "utf8", timeout: 10_000 },
  );
  const lines = stderr.replaceAll(file, "FILE").split("\n").filter(Boolean);
  return { status, lines };
}

// Guards against a misspelled setting that is ignored, and against a report of
// only the first fault.
test("all faults of the settings are listed with their position", () => {
  const text = `// comment
{
  "callAddress": "host:7100",
  "callAdress": "127.53.0.1:7100",
  "controlAddress": "127.53.0.1:7101",
  "peerAddress": "127.53.0.1:7102",
  "dataCentre": "wa-a",
  "region": "wa",
  "peerKeys": [],
  "storeUrl": "http://127.53.0.9:9400"
}`;
  const { lines, status } = run(text);
  expect(status).toBe(2);
  expect(lines.length).toBe(3);
  expect(lines.some((line) => line.startsWith("oleanderdeckd: FILE:3:")))
    .toBe(true);
  expect(lines.some((line) => line.includes("callAdress"))).toBe(true);
});

// Guards against a `--check` that starts the node or accepts invalid settings.
test("--check accepts good settings and refuses broken JSON", () => {
  expect(run(settingsFor("127.0"), "--check")).toEqual({
    status: 0,
    lines: [],
  });
  expect(run("{", "--check").status).toBe(2);
});

// Guards against a node that keeps running without its port, and against a stack
// trace instead of a message.
test("a port in use is reported in one line with exit code 1", async () => {
  const network = await reserveLoopbackNetwork();
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(7100, `${network.prefix}.0.1`, resolve)
  );
  const { lines, status } = run(settingsFor(network.prefix));
  server.close();
  await network.close();
  expect(status).toBe(1);
  expect(lines).toEqual([
    "oleanderdeckd: The node cannot start: " +
    `listen EADDRINUSE: address already in use ${network.prefix}.0.1:7100`,
  ]);
});

// Guards against a usage error that exits with code 0.
test("a missing --settings option exits with code 2", () => {
  const { status, stderr } = spawnSync(process.execPath, [PROGRAM], {
    encoding: "utf8",
  });
  expect(status).toBe(2);
  expect(stderr).toBe("oleanderdeckd: The option --settings is missing\n");
});
