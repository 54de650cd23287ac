// Process of the control cost measurement that runs members or the stand-in
// fleet. It serves one command after the other from the parent process.
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

export const BENCH_KEYS = new PeerKeys(["control bench"]);

/** Command to a process; each gets one answer. */
export type Command =
  /** Opens members; answers with their peer addresses. */
  | {
    readonly kind: "open";
    readonly first: number;
    readonly count: number;
    readonly seeds: readonly string[];
    /** Whether members pull lists from each other. */
    readonly pulls: boolean;
  }
  /** Opens the stand-in fleet; answers with nothing. */
  | { readonly kind: "stand-in"; readonly count: number }
  /** Makes the stand-in fleet exchange datagrams with a member. */
  | {
    readonly kind: "address";
    readonly address: string;
    readonly updatesPerSecond: number;
  }
  /** Gives a member the records of the stand-in fleet. */
  | { readonly kind: "records"; readonly ports: readonly number[] }
  /** Answers with how far the members are. */
  | { readonly kind: "progress" }
  /** Changes the worker of one member. */
  | { readonly kind: "change"; readonly index: number }
  /** Answers with the totals since the start. */
  | { readonly kind: "totals" }
  /** Collects garbage and answers with the memory in use. */
  | { readonly kind: "memory" };

type OpenCommand = Extract<Command, { kind: "open" }>;

/** Totals of the members of a process since its start. */
export interface Totals {
  readonly traffic: TransportCounters;
  /** Processor time of the process in microseconds. */
  readonly processorMicroseconds: number;
  readonly monotonicMs: number;
}

/** How far the members of a process are with their start. */
export interface Progress {
  /** Least number of live members that a member knows. */
  readonly known: number;
  /** Greatest number of updates that a member still has to send. */
  readonly pending: number;
}

/** Memory of a process. */
export interface Memory {
  /** Heap in use, without that of an empty process, in bytes. */
  readonly heapBytes: number;
  /** Memory of the whole process in bytes. */
  readonly residentBytes: number;
}

const clock = new SystemClock();
const clients = new PeerClients({ keys: BENCH_KEYS, nodeId: "bench" });
const members: Membership[] = [];
let standIn: StandInFleet | undefined;
let emptyHeapBytes = 0;
let changes = 0;

/** Runs commands until the parent disconnects. */
export function runProcess(): void {
  emptyHeapBytes = heapBytes();
  process.on("disconnect", () => process.exit());
  process.on("message", async (command: Command) => {
    process.send!(await run(command) ?? null);
  });
}

function run(command: Command): unknown {
  switch (command.kind) {
    case "open":
      return openMembers(command);
    case "stand-in":
      standIn = new StandInFleet(BENCH_KEYS);
      return standIn.open(command.count);
    case "address":
      standIn!.exchangeWith(command.address, command.updatesPerSecond);
      return;
    case "records":
      members[0]!.syncMembers(command.ports.map(benchRecord));
      return;
    case "progress":
      return progress();
    case "change":
      changes += 1;
      members[command.index % members.length]!
        .setWorker(benchWorker(command.index, changes));
      return;
    case "totals":
      return totals();
    case "memory":
      return {
        residentBytes: process.memoryUsage().rss,
        heapBytes: heapBytes() - emptyHeapBytes,
      };
  }
}

async function openMembers(
  { count, first, pulls, seeds }: OpenCommand,
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
      // The first process has the seeds.
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
  // All members of a process share one server.
  const server = { ...peer, nodeId: "bench" };
  return (await clients.client(server).syncMembers({})).members;
}

/** Serves the lists of all members of the process in turn. */
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

/** Record of the size that a node of a large fleet has. */
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

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function progress(): Progress {
  const counters = members.map((member) => member.counters());
  return {
    known: Math.min(...counters.map(({ liveMembers }) => liveMembers)),
    pending: Math.max(...counters.map(({ pendingUpdates }) => pendingUpdates)),
  };
}

function totals(): Totals {
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
