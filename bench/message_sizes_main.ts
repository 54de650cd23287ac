// Prints the sizes on the wire of datagrams between nodes with realistic
// content: IPv4 and UDP headers, signature and message. The calculated rows of
// docs/CAPACITY.md are based on them.
// Usage: node dist/message_sizes.mjs
import { create, toBinary } from "@bufbuild/protobuf";
import { SIGNATURE_BYTES } from "@oleanderdeck/membership";
import {
  type Datagram,
  DatagramSchema,
  HeldConfigurationSchema,
  LeaseKind,
  MemberSchema,
} from "@oleanderdeck/protocol";
import { benchRecord } from "./control_process.ts";

/** IPv4 and UDP headers. */
const IP_UDP_HEADER_BYTES = 28;

// Also stands in for 64-bit digests, of which only the size matters.
const incarnation = 1n << 60n;
const resource = "127.20.3.7:8000";
const configuration = create(HeldConfigurationSchema, {
  version: 1_200_000n,
  digest: incarnation,
  storeContactAgeMilliseconds: 1500,
});
const demands = [0, 1, 2, 3].map((priority) => ({
  $typeName: "oleanderdeck.peer.v1.Demand" as const,
  priority,
  organisation: "brass-band-league",
  amount: 40,
}));

/** Bodies of datagrams with the names under which they are printed. */
type Bodies = readonly (readonly [string, Datagram["body"]])[];

const bodies: Bodies = [
  ["ping", {
    case: "ping",
    value: { $typeName: "oleanderdeck.peer.v1.Ping", configuration },
  }],
  ["acknowledgement", {
    case: "acknowledgement",
    value: {
      $typeName: "oleanderdeck.peer.v1.Acknowledgement",
      sequence: 1_000_000,
      configuration,
    },
  }],
  ["digest", {
    case: "digest",
    value: {
      $typeName: "oleanderdeck.peer.v1.Digest",
      memberBuckets: Array.from({ length: 64 }, () => incarnation),
      documents: incarnation,
    },
  }],
  ["news of one document", {
    case: "news",
    value: {
      $typeName: "oleanderdeck.peer.v1.News",
      documents: [{
        $typeName: "oleanderdeck.peer.v1.DocumentVersion",
        name: "agreement/brass-band-league",
        version: 1_200_000n,
      }],
    },
  }],
  ["lease request, 1 demand", leaseRequest(1)],
  ["lease request, 4 demands", leaseRequest(4)],
  ["lease grant", {
    case: "leaseGrant",
    value: {
      $typeName: "oleanderdeck.peer.v1.LeaseGrant",
      kind: LeaseKind.SLOTS,
      resource,
      ownerIncarnation: incarnation,
      requestNumber: 100_000,
      amount: 12,
      connections: 90,
      termMilliseconds: 2000,
      epoch: 100_000n,
      threshold: 300,
    },
  }],
  ["pressure update", {
    case: "pressureUpdate",
    value: {
      $typeName: "oleanderdeck.peer.v1.PressureUpdate",
      service: "bookings-123",
      workerAddress: resource,
      ownerIncarnation: incarnation,
      updateNumber: 10_000,
      threshold: 300,
    },
  }],
];

function leaseRequest(demandCount: number): Datagram["body"] {
  return {
    case: "leaseRequest",
    value: {
      $typeName: "oleanderdeck.peer.v1.LeaseRequest",
      kind: LeaseKind.SLOTS,
      resource,
      ownerIncarnation: incarnation,
      holderIncarnation: incarnation,
      requestNumber: 100_000,
      inUse: 12,
      demands: demands.slice(0, demandCount),
      completedCalls: 60,
      meanDurationMicroseconds: 10_000,
      headroom: 2,
      heldEpoch: 100_000n,
      heldAmount: 12,
    },
  };
}

function printSize(name: string, bytes: number): void {
  console.log(name.padEnd(34) + String(bytes).padStart(6));
}

console.log("bytes on the wire".padEnd(34) + " ".repeat(6));
for (const [name, body] of bodies) {
  const datagram = create(DatagramSchema, {
    sender: "bookings-001234",
    sequence: 1_000_000,
    body,
  });
  const { length } = toBinary(DatagramSchema, datagram);
  printSize(name, IP_UDP_HEADER_BYTES + SIGNATURE_BYTES + length);
}
const record = benchRecord(7000, 1234);
const { nodeId, revision, state } = record;
// A claim states only the state of a member, without the rest of its record.
const claim = create(MemberSchema, { nodeId, incarnation, revision, state });
printSize(
  "member record (in a datagram)",
  toBinary(MemberSchema, record).length,
);
printSize("claim (in a datagram)", toBinary(MemberSchema, claim).length);
