#!/usr/bin/env node
/**
 * Entry point of the `oleanderdeck` command, which changes and reads documents,
 * drains workers and explains decisions through the control port of any node,
 * and generates load.
 *
 * @module
 */

import { runCommandLine } from "./command_line.ts";

function createInterruptSignal(): AbortSignal {
  const controller = new AbortController();
  // A signal that comes again must not end the process before the report.
  ["SIGINT", "SIGTERM"].forEach((signal) =>
    process.on(signal, () => controller.abort())
  );
  return controller.signal;
}

process.exitCode = await runCommandLine(process.argv, {
  variables: process.env,
  write: (text) => void process.stdout.write(text),
  writeError: (text) => void process.stderr.write(text),
  createInterruptSignal,
});
