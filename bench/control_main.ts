// Measures what membership costs a node: bytes, datagrams, processor time and
// memory with 10, 50 and 200 members over loopback UDP, a straight line through
// them up to the full size, and one member in a stand-in fleet of that size.
// The whole run takes less than 60 s. Usage: node dist/control.mjs
import { type ChildProcess, fork } from "node:child_process";
import {
  type Command,
  type Memory,
  type Progress,
  runProcess,
  type Totals,
} from "./control_process.ts";

const FLEET_SIZES = [10, 50, 200];
const FULL_SIZE = 5100;
// The same number of members in each process, so that the fixed cost of a process
// has the same share in each row.
const MEMBERS_PER_PROCESS = 10;
const QUIET_MS = 10_000;
const CHANGING_MS = 8000;
const CHANGES_PER_SECOND = 1;
const SETTLE_LIMIT_MS = 32_000;

/** IPv4 and UDP headers. */
const HEADER_BYTES = 28;

// 1,300 restarts and 5 failures per day, with 5 updates each: the worker drains,
// the node leaves, joins, and its backend server registers and warms up.
const ORDINARY_UPDATES_PER_SECOND = 1305 * 5 / 86_400;

const BUDGET = { bytes: 6000, processorPercent: 2.3, memoryMegabytes: 256 };

/** Cost of one member. */
interface Cost {
  readonly bytesSent: number;
  readonly bytesReceived: number;
  readonly datagrams: number;
  readonly processorPercent: number;
  readonly heapMegabytes: number;
  readonly residentMegabytes: number;
}

class Child {
  readonly #process: ChildProcess;

  constructor() {
    this.#process = fork(process.argv[1]!, ["process"], {
      execArgv: ["--expose-gc"],
    });
  }

  run<Result = unknown>(command: Command): Promise<Result> {
    return new Promise((resolve, reject) => {
      const fail = (code: number | null) =>
        reject(new Error(`A process of the measurement ended with ${code}`));
      this.#process.once("exit", fail);
      this.#process.once("message", (answer) => {
        this.#process.off("exit", fail);
        resolve(answer as Result);
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

function totalsOf(children: readonly Child[]): Promise<Totals[]> {
  return Promise.all(
    children.map((child) => child.run<Totals>({ kind: "totals" })),
  );
}

/** Runs an action and returns the cost per member and second meanwhile. */
async function measure(
  children: readonly Child[],
  members: number,
  action: () => Promise<void>,
): Promise<Cost> {
  const before = await totalsOf(children);
  await action();
  const after = await totalsOf(children);
  const seconds = (after[0]!.monotonicMs - before[0]!.monotonicMs) / 1000;
  const perMember = (figure: (totals: Totals) => number) =>
    after.reduce(
      (total, totals, index) => total + figure(totals) - figure(before[index]!),
      0,
    ) / members / seconds;
  const memory = await Promise.all(
    children.map((child) => child.run<Memory>({ kind: "memory" })),
  );
  const sent = perMember(({ traffic }) => traffic.datagramsSent);
  const received = perMember(({ traffic }) => traffic.datagramsReceived);
  return {
    bytesSent: perMember(({ traffic }) => traffic.bytesSent) +
      sent * HEADER_BYTES,
    bytesReceived: perMember(({ traffic }) => traffic.bytesReceived) +
      received * HEADER_BYTES,
    datagrams: sent + received,
    processorPercent:
      perMember(({ processorMicroseconds }) => processorMicroseconds) / 10_000,
    heapMegabytes:
      memory.reduce((total, { heapBytes }) => total + heapBytes, 0) / members /
      1e6,
    residentMegabytes: memory[0]!.residentBytes / 1e6,
  };
}

/** Waits until all members know each other and have no news to send. */
async function untilSettled(
  children: readonly Child[],
  members: number,
): Promise<void> {
  const startMs = performance.now();
  let knownMs: number | undefined;
  let pending = Infinity;
  while (performance.now() - startMs < SETTLE_LIMIT_MS) {
    const progress = await Promise.all(
      children.map((child) => child.run<Progress>({ kind: "progress" })),
    );
    pending = Math.max(...progress.map((child) => child.pending));
    const known = Math.min(...progress.map((child) => child.known));
    if (known === members) knownMs ??= performance.now() - startMs;
    if (knownMs !== undefined && pending === 0) break;
    await sleep(100);
  }
  console.log(
    `${members} members: complete after ${knownMs?.toFixed(0) ?? "-"} ms, ` +
      `settled after ${(performance.now() - startMs).toFixed(0)} ms` +
      (pending > 0 ? `, ${pending} updates pending` : ""),
  );
}

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
  await untilSettled(children, members);
  const quiet = await measure(children, members, () => sleep(QUIET_MS));
  const changing = await measure(children, members, async () => {
    const changes = CHANGING_MS / 1000 * CHANGES_PER_SECOND;
    for (let index = 0; index < changes; index++) {
      await children[index % count]!.run({ kind: "change", index });
      await sleep(1000 / CHANGES_PER_SECOND);
    }
  });
  children.forEach((child) => child.close());
  return [quiet, changing];
}

async function measureFullSize(): Promise<[Cost, Cost]> {
  const standIn = new Child();
  const member = new Child();
  const ports = await standIn.run<number[]>({
    kind: "stand-in",
    count: FULL_SIZE - 1,
  });
  const [address] = await member.run<string[]>({
    kind: "open",
    first: FULL_SIZE,
    count: 1,
    seeds: [],
    pulls: false,
  });
  await member.run({ kind: "records", ports });
  const exchange = (updatesPerSecond: number) =>
    standIn.run({ kind: "address", address: address!, updatesPerSecond });
  await exchange(0);
  await sleep(4000);
  const quiet = await measure([member], 1, () => sleep(QUIET_MS));
  await exchange(CHANGES_PER_SECOND);
  const changing = await measure([member], 1, () => sleep(CHANGING_MS));
  standIn.close();
  member.close();
  return [quiet, changing];
}

/** Cost at the ordinary rate of updates, from two measured rates. */
function ordinary([quiet, changing]: [Cost, Cost], members: number): Cost {
  const updates = ORDINARY_UPDATES_PER_SECOND * members / FULL_SIZE;
  const at = (figure: (cost: Cost) => number) =>
    figure(quiet) +
    Math.max(0, figure(changing) - figure(quiet)) * updates /
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

/** Value at a point of the least-squares line through points. */
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

// A falling line, as small fleets have a larger share of seed contacts, says
// nothing about a large one; then the greatest measured value counts.
function lineAt(costs: readonly (readonly [number, Cost])[]): Cost {
  const at = (figure: (cost: Cost) => number) =>
    Math.max(
      extrapolate(
        costs.map(([size, cost]) => [size, figure(cost)]),
        FULL_SIZE,
      ),
      ...costs.map(([, cost]) => figure(cost)),
    );
  return {
    bytesSent: at((cost) => cost.bytesSent),
    bytesReceived: at((cost) => cost.bytesReceived),
    datagrams: at((cost) => cost.datagrams),
    processorPercent: at((cost) => cost.processorPercent),
    heapMegabytes: at((cost) => cost.heapMegabytes),
    // The process itself does not grow with the fleet; the records do.
    residentMegabytes: costs[0]![1].residentMegabytes +
      at((cost) => cost.heapMegabytes),
  };
}

async function main(): Promise<void> {
  // All fleets run at once, to keep the whole run short; processor time is that
  // of the processes, not of the machine.
  const [full, ...measured] = await Promise.all([
    measureFullSize(),
    ...FLEET_SIZES.map(measureFleet),
  ]);
  const costs = FLEET_SIZES.map((size, index): [number, Cost] => [
    size,
    ordinary(measured[index]!, size),
  ]);
  const rows = FLEET_SIZES.flatMap((size, index): [string, Cost][] => [
    [`${size} members, quiet`, measured[index]![0]],
    [`${size} members, 1 update/s`, measured[index]![1]],
  ]);
  rows.push([`${FULL_SIZE} stand-ins, quiet`, full[0]]);
  rows.push([`${FULL_SIZE} stand-ins, 1 update/s`, full[1]]);
  printHeader();
  rows.forEach(([name, cost]) => printRow(name, cost));
  const line = lineAt(costs);
  const slope = (figure: (cost: Cost) => number) =>
    extrapolate(costs.map(([size, cost]) => [size, figure(cost)]), 1) -
    extrapolate(costs.map(([size, cost]) => [size, figure(cost)]), 0);
  console.log(
    "\nslope per member of the fleet, ordinary day: " +
      `${slope((cost) => cost.bytesSent).toFixed(3)} B/s sent, ` +
      `${slope((cost) => cost.bytesReceived).toFixed(3)} B/s received, ` +
      `${slope((cost) => cost.processorPercent).toFixed(5)}% of a core, ` +
      `${slope((cost) => cost.heapMegabytes * 1000).toFixed(3)} KB of heap`,
  );
  const direct = ordinary(full, FULL_SIZE);
  printHeader();
  printRow(`line at ${FULL_SIZE}, ordinary day`, line);
  printRow(`${FULL_SIZE} stand-ins, ordinary day`, direct);
  console.log(
    `\nbudget: ${BUDGET.bytes} B/s sent and received together, ` +
      `${BUDGET.processorPercent}% of a core, ${BUDGET.memoryMegabytes} MB`,
  );
  const isWithin = [line, direct].every((cost) =>
    cost.bytesSent + cost.bytesReceived <= BUDGET.bytes &&
    cost.processorPercent <= BUDGET.processorPercent &&
    cost.residentMegabytes <= BUDGET.memoryMegabytes
  );
  console.log(isWithin ? "within the budget" : "OVER THE BUDGET");
  process.exitCode = isWithin ? 0 : 1;
}

if (process.argv[2] === "process") runProcess();
else await main();
