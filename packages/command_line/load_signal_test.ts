import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

// `npm run verify` builds the programs before the tests.
const PROGRAM = fileURLToPath(
  new URL("../../dist/oleanderdeck.mjs", import.meta.url),
);

// Guards against a load run that a signal, or a second one, ends without its
// report; the file of an earlier report is empty by then.
test("a load run that is ended by signals writes its report", async () => {
  const node = createServer((_request, response) => response.end("x"));
  await new Promise<void>((resolve) => node.listen(0, "127.0.0.1", resolve));
  const directory = mkdtempSync(join(tmpdir(), "oleanderdeck-test-"));
  const [file, report] = ["load.json", "report.json"]
    .map((name) => join(directory, name));
  const { port } = node.address() as AddressInfo;
  writeFileSync(
    file!,
    JSON.stringify({
      nodes: [`127.0.0.1:${port}`],
      phases: [{ durationMs: 60_000, multiplier: 1 }],
      calls: [{ name: "c", service: "s", path: "/", callsPerSecond: 50 }],
    }),
  );
  const load = spawn(process.execPath, [
    PROGRAM,
    "load",
    file!,
    "--report",
    report!,
  ], { stdio: "ignore" });
  const ended = once(load, "exit");
  await once(node, "request");
  (["SIGTERM", "SIGINT", "SIGINT"] as const).forEach((signal) =>
    load.kill(signal)
  );
  expect(await ended).toEqual([0, null]);
  expect(JSON.parse(readFileSync(report!, "utf8"))).toMatchObject({
    cancelled: true,
  });
  node.closeAllConnections();
  node.close();
  rmSync(directory, { recursive: true, force: true });
}, 20_000);
