// Measures the cost of membership per node: bytes, datagrams, processor time and
// memory with 10, 50 and 200 members over loopback UDP, extrapolated linearly to
// the full fleet, and for one member in a stand-in fleet of the full size. A run
// takes less than 60 s. Usage: node dist/control.mjs
import { type ChildProcess, fork } from "node:child_process";
import {
  type ConvergenceProgress,
  type ProcessCommand,
  type ProcessMemory,
  type ProcessTotals,
  serveCommands,
} from "./control_process.ts";

const FLEET_SIZES = [10, 50, 200];
/** Number of members of the fleet for which the system is designed. */
const FULL_FLEET_SIZE = 5100;

// Each process has the same number of members, so that its fixed cost has the
// same share in each row.
const MEMBERS_PER_PROCESS = 10;
const QUIET_PERIOD_MS = 10_000;
const CHANGING_PERIOD_MS = 8000;
const CHANGES_PER_SECOND = 1;
const SETTLE_TIMEOUT_MS = 32_000;

/** IPv4 and UDP headers. */
const IP_UDP_HEADER_BYTES = 28;

// 1,300 restarts and 5 failures per day in the full fleet, with 5 updates each:
// the worker drains, the node leaves and joins, and its backend server registers
// and warms up.
const ORDINARY_UPDATES_PER_SECOND = 1305 * 5 / 86_400;

/** Budget per member; bytes are per second, sent and received together. */
const BUDGET = { bytes: 6000, processorPercent: 2.3, memoryMegabytes: 256 };

/** Cost of one member; bytes and datagrams are per second. */
interface Cost {
  readonly bytesSent: number;
  readonly bytesReceived: number;
  readonly datagrams: number;
  readonly processorPercent: number;
  readonly heapMegabytes: number;
  readonly residentMegabytes: number;
}

/** Child process that runs members or the stand-in fleet. */
class Child {
  readonly #process: ChildProcess;

  constructor() {
    this.#process = fork(process.argv[1]!, ["process"], {
      execArgv: ["--expose-gc"],
    });
  }

  /** Sends a command and returns the response of the process. */
  run<Result = unknown>(command: ProcessCommand): Promise<Result> {
    return new Promise((resolve, reject) => {
      const fail = (code: number | null) =>
        reject(new Error(`Measurement process exited with code ${code}`));
      this.#process.once("exit", fail);
      this.#process.once("message", (response) => {
        this.#process.off("exit", fail);
        resolve(response as Result);
      });
      this.#process.send(command);
    });
  }

  close(): void {
    this.#process.disconnect();
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function readTotals(children: readonly Child[]): Promise<ProcessTotals[]> {
  return Promise.all(
    children.map((child) => child.run<ProcessTotals>({ kind: "totals" })),
  );
}

/** Runs an action and returns the cost per member while it ran. */
async function measureCost(
  children: readonly Child[],
  members: number,
  action: () => Promise<void>,
): Promise<Cost> {
  const before = await readTotals(children);
  await action();
  const after = await readTotals(children);
  const seconds = (after[0]!.monotonicMs - before[0]!.monotonicMs) / 1000;
  const perMember = (metric: (totals: ProcessTotals) => number) =>
    after.reduce(
      (total, totals, index) => total + metric(totals) - metric(before[index]!),
      0,
    ) / members / seconds;
  const memory = await Promise.all(
    children.map((child) => child.run<ProcessMemory>({ kind: "memory" })),
  );
  const sent = perMember(({ traffic }) => traffic.datagramsSent);
  const received = perMember(({ traffic }) => traffic.datagramsReceived);
  return {
    bytesSent: perMember(({ traffic }) => traffic.bytesSent) +
      sent * IP_UDP_HEADER_BYTES,
    bytesReceived: perMember(({ traffic }) => traffic.bytesReceived) +
      received * IP_UDP_HEADER_BYTES,
    datagrams: sent + received,
    processorPercent:
      perMember(({ processorMicroseconds }) => processorMicroseconds) / 10_000,
    heapMegabytes:
      memory.reduce((total, { heapBytes }) => total + heapBytes, 0) / members /
      1e6,
    residentMegabytes: memory[0]!.residentBytes / 1e6,
  };
}

/**
 * Waits until each member lists all others and has no updates left to send, at
 * most {@linkcode SETTLE_TIMEOUT_MS}, and prints the times.
 */
async function waitUntilSettled(
  children: readonly Child[],
  members: number,
): Promise<void> {
  const startMs = performance.now();
  let completeMs: number | undefined;
  let pending = Infinity;
  while (performance.now() - startMs < SETTLE_TIMEOUT_MS) {
    const progress = await Promise.all(
      children.map((child) =>
        child.run<ConvergenceProgress>({ kind: "progress" })
      ),
    );
    pending = Math.max(...progress.map((child) => child.pending));
    const known = Math.min(...progress.map((child) => child.known));
    if (known === members) completeMs ??= performance.now() - startMs;
    if (completeMs !== undefined && pending === 0) break;
    await sleep(100);
  }
  console.log(
    `${members} members: complete after ${completeMs?.toFixed(0) ?? "-"} ms, ` +
      `settled after ${(performance.now() - startMs).toFixed(0)} ms` +
      (pending > 0 ? `, ${pending} updates pending` : ""),
  );
}

/** Returns the cost of a member in a fleet without and with updates. */
async function measureFleet(members: number): Promise<[Cost, Cost]> {
  const count = members / MEMBERS_PER_PROCESS;
  const children = Array.from({ length: count }, () => new Child());
  const seeds: string[] = [];
  for (const [index, child] of children.entries()) {
    const first = index * MEMBERS_PER_PROCESS;
    const addresses = await child.run<string[]>({
      kind: "open",
      first,
      count: MEMBERS_PER_PROCESS,
      seeds: [...seeds],
      pulls: true,
    });
    seeds.push(...addresses.slice(0, 3));
    seeds.splice(3);
  }
  await waitUntilSettled(children, members);
  const quiet = await measureCost(
    children,
    members,
    () => sleep(QUIET_PERIOD_MS),
  );
  const changing = await measureCost(children, members, async () => {
    const changes = CHANGING_PERIOD_MS / 1000 * CHANGES_PER_SECOND;
    for (let index = 0; index < changes; index++) {
      await children[index % count]!.run({ kind: "change", index });
      await sleep(1000 / CHANGES_PER_SECOND);
    }
  });
  children.forEach((child) => child.close());
  return [quiet, changing];
}

/** Returns the cost of one member in a stand-in fleet of the full size. */
async function measureFullSize(): Promise<[Cost, Cost]> {
  const standIn = new Child();
  const member = new Child();
  const ports = await standIn.run<number[]>({
    kind: "stand-in",
    count: FULL_FLEET_SIZE - 1,
  });
  const [address] = await member.run<string[]>({
    kind: "open",
    first: FULL_FLEET_SIZE,
    count: 1,
    seeds: [],
    pulls: false,
  });
  await member.run({ kind: "records", ports });
  const startTraffic = (updatesPerSecond: number) =>
    standIn.run({ kind: "address", address: address!, updatesPerSecond });
  await startTraffic(0);
  await sleep(4000);
  const quiet = await measureCost([member], 1, () => sleep(QUIET_PERIOD_MS));
  await startTraffic(CHANGES_PER_SECOND);
  const changing = await measureCost(
    [member],
    1,
    () => sleep(CHANGING_PERIOD_MS),
  );
  standIn.close();
  member.close();
  return [quiet, changing];
}

/** Interpolates the cost at the ordinary rate of updates from two rates. */
function costAtOrdinaryRate(
  [quiet, changing]: [Cost, Cost],
  members: number,
): Cost {
  const updates = ORDINARY_UPDATES_PER_SECOND * members / FULL_FLEET_SIZE;
  const at = (metric: (cost: Cost) => number) =>
    metric(quiet) +
    Math.max(0, metric(changing) - metric(quiet)) * updates /
      CHANGES_PER_SECOND;
  return {
    bytesSent: at((cost) => cost.bytesSent),
    bytesReceived: at((cost) => cost.bytesReceived),
    datagrams: at((cost) => cost.datagrams),
    processorPercent: at((cost) => cost.processorPercent),
    heapMegabytes: quiet.heapMegabytes,
    residentMegabytes: quiet.residentMegabytes,
  };
}

function printRow(name: string, cost: Cost): void {
  const cells = [
    cost.bytesSent.toFixed(0),
    cost.bytesReceived.toFixed(0),
    cost.datagrams.toFixed(2),
    cost.processorPercent.toFixed(3),
    cost.heapMegabytes.toFixed(3),
    cost.residentMegabytes.toFixed(0),
  ];
  console.log(
    name.padEnd(34) + cells.map((cell) => cell.padStart(11)).join(""),
  );
}

function printHeader(): void {
  const names = ["sent B/s", "recv B/s", "dgrams/s", "% core", "heap MB"];
  console.log(
    "\n" + "per member".padEnd(34) +
      [...names, "RSS MB"].map((name) => name.padStart(11)).join(""),
  );
}

/** Fits a least-squares line to the points and returns its value at x = `at`. */
function extrapolate(
  points: readonly (readonly [number, number])[],
  at: number,
): number {
  const mean = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0) / values.length;
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const covariance = mean(points.map(([x, y]) => (x - meanX) * (y - meanY)));
  const variance = mean(points.map(([x]) => (x - meanX) ** 2));
  return meanY + covariance / variance * (at - meanX);
}

/**
 * Extrapolates the cost to the full fleet. The result is at least the greatest
 * measured value: costs can fall with the size of small fleets, since these have
 * a larger share of seed contacts, and such a line does not hold for large ones.
 */
function extrapolateCost(costs: readonly (readonly [number, Cost])[]): Cost {
  const at = (metric: (cost: Cost) => number) =>
    Math.max(
      extrapolate(
        costs.map(([size, cost]) => [size, metric(cost)]),
        FULL_FLEET_SIZE,
      ),
      ...costs.map(([, cost]) => metric(cost)),
    );
  return {
    bytesSent: at((cost) => cost.bytesSent),
    bytesReceived: at((cost) => cost.bytesReceived),
    datagrams: at((cost) => cost.datagrams),
    processorPercent: at((cost) => cost.processorPercent),
    heapMegabytes: at((cost) => cost.heapMegabytes),
    // Only the member records grow with the fleet, not the process itself.
    residentMegabytes: costs[0]![1].residentMegabytes +
      at((cost) => cost.heapMegabytes),
  };
}

async function main(): Promise<void> {
  // All fleets run at once to shorten the run. Processor time is measured per
  // process, so other processes do not count.
  const [fullSizeCosts, ...fleetCosts] = await Promise.all([
    measureFullSize(),
    ...FLEET_SIZES.map(measureFleet),
  ]);
  const costs = FLEET_SIZES.map((size, index): [number, Cost] => [
    size,
    costAtOrdinaryRate(fleetCosts[index]!, size),
  ]);
  const rows = FLEET_SIZES.flatMap((size, index): [string, Cost][] => [
    [`${size} members, quiet`, fleetCosts[index]![0]],
    [`${size} members, 1 update/s`, fleetCosts[index]![1]],
  ]);
  rows.push([`${FULL_FLEET_SIZE} stand-ins, quiet`, fullSizeCosts[0]]);
  rows.push([`${FULL_FLEET_SIZE} stand-ins, 1 update/s`, fullSizeCosts[1]]);
  printHeader();
  rows.forEach(([name, cost]) => printRow(name, cost));
  const extrapolatedCost = extrapolateCost(costs);
  const slope = (metric: (cost: Cost) => number) =>
    extrapolate(costs.map(([size, cost]) => [size, metric(cost)]), 1) -
    extrapolate(costs.map(([size, cost]) => [size, metric(cost)]), 0);
  console.log(
    "\nslope per member of the fleet, ordinary day: " +
      `${slope((cost) => cost.bytesSent).toFixed(3)} B/s sent, ` +
      `${slope((cost) => cost.bytesReceived).toFixed(3)} B/s received, ` +
      `${slope((cost) => cost.processorPercent).toFixed(5)}% of a core, ` +
      `${slope((cost) => cost.heapMegabytes * 1000).toFixed(3)} KB of heap`,
  );
  const standInCost = costAtOrdinaryRate(fullSizeCosts, FULL_FLEET_SIZE);
  printHeader();
  printRow(`line at ${FULL_FLEET_SIZE}, ordinary day`, extrapolatedCost);
  printRow(`${FULL_FLEET_SIZE} stand-ins, ordinary day`, standInCost);
  console.log(
    `\nbudget: ${BUDGET.bytes} B/s sent and received together, ` +
      `${BUDGET.processorPercent}% of a core, ${BUDGET.memoryMegabytes} MB`,
  );
  const isWithin = [extrapolatedCost, standInCost].every((cost) =>
    cost.bytesSent + cost.bytesReceived <= BUDGET.bytes &&
    cost.processorPercent <= BUDGET.processorPercent &&
    cost.residentMegabytes <= BUDGET.memoryMegabytes
  );
  console.log(isWithin ? "within the budget" : "OVER THE BUDGET");
  process.exitCode = isWithin ? 0 : 1;
}

if (process.argv[2] === "process") serveCommands();
else await main();
