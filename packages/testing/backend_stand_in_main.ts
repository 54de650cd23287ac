import { readFileSync } from "node:fs";
import { cac } from "cac";
import { ignoreHangup, PlannedStop } from "@oleanderdeck/lifecycle";
import { EventLog } from "@oleanderdeck/observability";
import type { BackendDescription } from "./backend_behaviour.ts";
import { BackendStandIn } from "./backend_stand_in.ts";

interface Arguments {
  readonly file?: string;
  readonly json?: string;
  readonly node?: string;
  readonly listen?: string;
}

const program = cac("backend_stand_in");
program.command("", "Runs a backend server for tests and the demo")
  .option("--file <path>", "JSON description of the behaviour")
  .option("--json <text>", "JSON description of the behaviour")
  .option("--node <address>", "Call address of the node to register with")
  .option("--listen <address>", "IP address and port to listen on")
  .action(run);
program.help();
program.parse();

async function run(options: Arguments): Promise<void> {
  const text = options.file === undefined
    ? options.json ?? "{}"
    : readFileSync(options.file, "utf8");
  const description: BackendDescription = {
    ...JSON.parse(text),
    ...(options.node === undefined ? {} : { node: options.node }),
    ...(options.listen === undefined ? {} : { listen: options.listen }),
  };
  const standIn = new BackendStandIn(description);
  const address = await standIn.start();
  process.stdout.write(
    `event=started service=${standIn.behaviour.service} address=${address}\n`,
  );
  const log = new EventLog({ level: "info" });
  new PlannedStop({
    log,
    stop: () => standIn.drainAndClose(),
    workUnderWay: () => ({ requests: standIn.inFlight }),
  }).listen();
  ignoreHangup(log);
}
