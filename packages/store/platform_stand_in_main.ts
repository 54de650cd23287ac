import { cac } from "cac";
import { ignoreHangup, PlannedStop } from "@oleanderdeck/lifecycle";
import { EventLog } from "@oleanderdeck/observability";
import { SystemClock } from "@oleanderdeck/settings";
import { MemoryStore } from "./memory_store.ts";
import { startPlatformStandIn } from "./platform_stand_in.ts";

const program = cac("platform_stand_in");
program
  .command("", "Runs a stand-in for the platform's store")
  .option("--address <address>", "IP address and port to listen on", {
    default: "127.0.0.1:7800",
  })
  .action(run);
program.help();

async function run(options: { readonly address: unknown }): Promise<void> {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(
    String(options.address),
  );
  if (match === null || Number(match[2]) > 65_535) {
    throw new Error(
      "--address is not an IPv4 address and port such as 127.0.0.1:7800",
    );
  }
  const server = await startPlatformStandIn({
    store: new MemoryStore({ clock: new SystemClock() }),
    host: match[1]!,
    port: Number(match[2]),
  });
  process.stdout.write(`listening origin=${server.origin}\n`);
  const log = new EventLog({ level: "info" });
  new PlannedStop({ log, stop: () => server.close() }).listen();
  ignoreHangup(log);
}

try {
  program.parse(process.argv, { run: false });
  await program.runMatchedCommand();
} catch (error) {
  process.stderr.write(`${error instanceof Error ? error.message : error}\n`);
  process.exitCode = 2;
}
