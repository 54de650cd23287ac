import type { EventLog } from "@oleanderdeck/observability";

/**
 * Lets a program without settings to reload go on at SIGHUP, which otherwise ends
 * the process with all its work in progress.
 *
 * @param log Receives a line for each signal.
 */
export function ignoreHangup(log: Pick<EventLog, "write">): void {
  process.on(
    "SIGHUP",
    () => log.write("info", "signal_ignored", { signal: "SIGHUP" }),
  );
}
