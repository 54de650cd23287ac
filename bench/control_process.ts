// Child process of the control benchmark that runs members or the stand-in
// fleet. The parent process sends commands one at a time.
import { createServer } from "node:http2";
import type { AddressInfo } from "node:net";
import { create } from "@bufbuild/protobuf";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  Membership,
  PeerClients,
  PeerKeys,
  type TransportCounters,
  UdpTransport,
  verifyPeerCalls,
} from "@oleanderdeck/membership";
import {
  type Member,
  MemberSchema,
  MemberState,
  PeerService,
  WorkerSchema,
  WorkerState,
} from "@oleanderdeck/protocol";
import { SystemClock } from "@oleanderdeck/settings";
import { StandInFleet } from "./control_stand_in.ts";

/** Peer keys of all members. */
export const BENCH_KEYS = new PeerKeys(["control bench"]);

/** Command from the parent process; each receives one response. */
export type ProcessCommand =
  /** Starts members and returns their peer addresses. */
  | {
    readonly kind: "open";
    /** Index of the first member. */
    readonly first: number;
    readonly count: number;
    readonly seeds: readonly string[];
    /** Whether members pull member lists from each other. */
    readonly pulls: boolean;
  }
  /** Opens the stand-in fleet and returns its ports. */
  | { readonly kind: "stand-in"; readonly count: number }
  /** Starts the datagrams from the stand-in fleet to a member. */
  | {
    readonly kind: "address";
    readonly address: string;
    readonly updatesPerSecond: number;
  }
  /** Adds the records of the stand-in fleet to the member. */
  | { readonly kind: "records"; readonly ports: readonly number[] }
  /** Returns how far the member lists have converged. */
  | { readonly kind: "progress" }
  /** Changes the worker of one member. */
  | { readonly kind: "change"; readonly index: number }
  /** Returns the totals since the start. */
  | { readonly kind: "totals" }
  /** Collects garbage and returns the memory in use. */
  | { readonly kind: "memory" };

type OpenMembersCommand = Extract<ProcessCommand, { kind: "open" }>;

/** Totals of the members of a process since its start. */
export interface ProcessTotals {
  readonly traffic: TransportCounters;
  /** Processor time of the process in microseconds. */
  readonly processorMicroseconds: number;
  /** Time of the reading on a monotonic clock. */
  readonly monotonicMs: number;
}

/** How far the member lists of a process have converged. */
export interface ConvergenceProgress {
  /** Least number of live members in the list of any member. */
  readonly known: number;
  /** Greatest number of updates that any member has left to send. */
  readonly pending: number;
}

/** Memory of a process. */
export interface ProcessMemory {
  /** Heap in use beyond that of a process without members, in bytes. */
  readonly heapBytes: number;
  /** Resident memory of the process in bytes. */
  readonly residentBytes: number;
}

const clock = new SystemClock();
const clients = new PeerClients({ keys: BENCH_KEYS, nodeId: "bench" });
const members: Membership[] = [];
let standIn: StandInFleet | undefined;
let emptyHeapBytes = 0;
let workerChanges = 0;

/** Serves commands until the parent process disconnects. */
export function serveCommands(): void {
  emptyHeapBytes = measureHeapBytes();
  process.on("disconnect", () => process.exit());
  process.on("message", async (command: ProcessCommand) => {
    process.send!(await runCommand(command) ?? null);
  });
}

function runCommand(command: ProcessCommand): unknown {
  switch (command.kind) {
    case "open":
      return openMembers(command);
    case "stand-in":
      standIn = new StandInFleet(BENCH_KEYS);
      return standIn.open(command.count);
    case "address":
      standIn!.startTraffic(command.address, command.updatesPerSecond);
      return;
    case "records":
      members[0]!.syncMembers(command.ports.map(benchRecord));
      return;
    case "progress":
      return readProgress();
    case "change":
      workerChanges += 1;
      members[command.index % members.length]!
        .setWorker(benchWorker(command.index, workerChanges));
      return;
    case "totals":
      return readTotals();
    case "memory":
      return {
        residentBytes: process.memoryUsage().rss,
        heapBytes: measureHeapBytes() - emptyHeapBytes,
      };
  }
}

async function openMembers(
  { count, first, pulls, seeds }: OpenMembersCommand,
): Promise<readonly string[]> {
  const controlAddress = await servePeerCalls();
  for (let index = first; index < first + count; index++) {
    const record = benchRecord(0, index);
    const member = new Membership({
      nodeId: record.nodeId,
      callAddress: record.callAddress,
      controlAddress,
      dataCentre: record.dataCentre,
      region: record.region,
      transport: new UdpTransport({ host: "127.0.0.1", port: 0 }),
      keys: BENCH_KEYS,
      clock,
      random: xoroshiro128plus(index + 1),
      ...(pulls ? { pullMembers } : {}),
      // In the first process, its own first members are the seeds.
      seeds: () =>
        Promise.resolve(
          seeds.length > 0
            ? seeds
            : members.slice(0, 3).map((seed) => seed.self().peerAddress),
        ),
    });
    member.setWorker(benchWorker(index, 0));
    members.push(member);
    await member.start();
  }
  return members.map((member) => member.self().peerAddress);
}

async function pullMembers(peer: Member): Promise<readonly Member[]> {
  // All members of a process share one server, whose node ID is "bench".
  const server = { ...peer, nodeId: "bench" };
  return (await clients.client(server).syncMembers({})).members;
}

/**
 * Starts a server that returns the lists of the members of the process, of each
 * member in turn.
 */
async function servePeerCalls(): Promise<string> {
  let calls = 0;
  const server = createServer(connectNodeAdapter({
    interceptors: [verifyPeerCalls({ keys: BENCH_KEYS, nodeId: "bench" })],
    routes: (router) =>
      router.service(PeerService, {
        syncMembers: ({ members: records }) => {
          calls += 1;
          const member = members[calls % members.length]!;
          return { members: [...member.syncMembers(records)] };
        },
      }),
  }));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Creates a member record of the size that it has in a large fleet. */
export function benchRecord(port: number, index: number): Member {
  const host = `127.${20 + (index >> 12)}.${(index >> 6) & 63}.${index & 63}`;
  return create(MemberSchema, {
    nodeId: `bookings-${String(index).padStart(6, "0")}`,
    incarnation: 1n << 60n,
    revision: 1 << 16,
    state: MemberState.ALIVE,
    peerAddress: `127.0.0.1:${port}`,
    callAddress: `${host}:7001`,
    controlAddress: `${host}:7002`,
    dataCentre: `wa-${"abcd"[index % 4]}`,
    region: "western-australia",
    worker: benchWorker(index, 0),
  });
}

function benchWorker(index: number, change: number) {
  const host = `127.${20 + (index >> 12)}.${(index >> 6) & 63}.${index & 63}`;
  return create(WorkerSchema, {
    service: `bookings-${index % 1000}`,
    address: `${host}:8000`,
    slots: 60,
    connectionLimit: 450,
    state: change % 2 === 0 ? WorkerState.SERVING : WorkerState.DRAINING,
  });
}

/** Collects garbage and returns the heap in use, in bytes. */
function measureHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function readProgress(): ConvergenceProgress {
  const counters = members.map((member) => member.counters());
  return {
    known: Math.min(...counters.map(({ liveMembers }) => liveMembers)),
    pending: Math.max(...counters.map(({ pendingUpdates }) => pendingUpdates)),
  };
}

/** Adds up the counters of the members of the process. */
function readTotals(): ProcessTotals {
  const usage = process.cpuUsage();
  const monotonicMs = performance.now();
  const traffic = members.map((member) => member.counters().traffic);
  const sum = (name: keyof TransportCounters) =>
    traffic.reduce((total, counters) => total + counters[name], 0);
  return {
    traffic: {
      datagramsSent: sum("datagramsSent"),
      datagramsReceived: sum("datagramsReceived"),
      bytesSent: sum("bytesSent"),
      bytesReceived: sum("bytesReceived"),
      sendErrors: sum("sendErrors"),
    },
    processorMicroseconds: usage.user + usage.system,
    monotonicMs,
  };
}
