#!/usr/bin/env node
/**
 * The `oleanderdeck` command: changes and reads documents, controls workers and
 * explains decisions through the control port of any node.
 *
 * @module
 */

import { runCommandLine } from "./command_line.ts";

function interruption(): AbortSignal {
  const controller = new AbortController();
  process.once("SIGINT", () => controller.abort());
  return controller.signal;
}

process.exitCode = await runCommandLine(process.argv, {
  variables: process.env,
  write: (text) => void process.stdout.write(text),
  writeError: (text) => void process.stderr.write(text),
  interruption,
});
