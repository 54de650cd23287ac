import fc from "fast-check";
import type { CallFault } from "./session_network.ts";
import type { RequestTemplateName } from "./request_templates.ts";

/** Number of nodes that a schedule refers to by index. */
export const SCHEDULE_NODES = 6;

/** A request that its caller may send again without waiting for a response. */
export interface RequestStep {
  readonly kind: "request";
  readonly at: number;
  readonly work: RequestTemplateName;
  readonly node: number;
  /** Further sendings of the same request, through any node. */
  readonly again: readonly {
    readonly afterMs: number;
    readonly node: number;
  }[];
  /** Whether the caller's connection breaks half-way through the body. */
  readonly cut: boolean;
  /** Number of requests of this kind that are sent at the same time. */
  readonly burst: number;
}

/** Faults of the next calls, one for each call. */
export interface CallFaultStep {
  readonly kind: "calls";
  readonly at: number;
  readonly faults: readonly CallFault[];
}

/** A fault of one node or its backend server. */
export interface NodeFaultStep {
  readonly kind:
    | "restart"
    | "pause"
    | "leave"
    | "silent_leave"
    | "kill_host"
    | "slow";
  readonly at: number;
  readonly node: number;
  readonly forMs: number;
}

/** A period in which datagrams are lost, duplicated and reordered. */
export interface DatagramFaultStep {
  readonly kind: "datagrams";
  readonly at: number;
  readonly forMs: number;
  /** Share of lost datagrams in percent. */
  readonly lostPercent: number;
  /** Share of duplicated datagrams in percent. */
  readonly doubledPercent: number;
  /** Maximum additional delay of a datagram, in milliseconds. */
  readonly delayMs: number;
}

/** A fault of the store. */
export interface StoreFaultStep {
  readonly kind: "store";
  readonly at: number;
  readonly fault: "refuse" | "hang" | "slow" | "lose_answer";
  readonly forMs: number;
}

/** A change of a document by one or several operators at the same time. */
export interface ChangeStep {
  readonly kind: "change";
  readonly at: number;
  readonly nodes: readonly number[];
}

/** One step of a schedule. */
export type ScheduleStep =
  | RequestStep
  | CallFaultStep
  | NodeFaultStep
  | DatagramFaultStep
  | StoreFaultStep
  | ChangeStep;

/** Seed and steps of one session of the soak. */
export interface FaultSchedule {
  readonly seed: number;
  /** Whether the call limits of the organisations apply. */
  readonly limits: boolean;
  readonly steps: readonly ScheduleStep[];
}

/** Time from the start of a session in which steps begin, in milliseconds. */
export const SCHEDULE_MS = 5_000;

const at = fc.integer({ min: 0, max: SCHEDULE_MS / 50 }).map((part) =>
  part * 50
);
const node = fc.nat(SCHEDULE_NODES - 1);

const request: fc.Arbitrary<RequestStep> = fc.record({
  kind: fc.constant("request"),
  at,
  work: fc.constantFrom<RequestTemplateName[]>(
    "booking",
    "booking",
    "meal payment",
    "allergen sheet",
    "club list",
    "member list",
  ),
  node,
  again: fc.array(
    fc.record({
      afterMs: fc.constantFrom(0, 1, 30, 100, 600, 2_500, 6_000),
      node,
    }),
    { maxLength: 3 },
  ),
  cut: fc.nat(9).map((number) => number === 9),
  burst: fc.nat(9).map((number) => number >= 8 ? 16 : 1),
});

const callFaults: fc.Arbitrary<CallFaultStep> = fc.record({
  kind: fc.constant("calls"),
  at,
  faults: fc.array(
    fc.constantFrom<CallFault[]>(
      "none",
      "none",
      "lose_request",
      "lose_answer",
      "late_answer",
      "cut_answer",
      "silent",
    ),
    { minLength: 1, maxLength: 6 },
  ),
});

const nodeFault: fc.Arbitrary<NodeFaultStep> = fc.record({
  kind: fc.constantFrom<NodeFaultStep["kind"][]>(
    "restart",
    "pause",
    "leave",
    "silent_leave",
    "kill_host",
    "slow",
  ),
  at,
  node,
  forMs: fc.constantFrom(100, 500, 2_100, 3_500),
});

const datagramFault: fc.Arbitrary<DatagramFaultStep> = fc.record({
  kind: fc.constant("datagrams"),
  at,
  forMs: fc.constantFrom(500, 2_000, 4_000),
  lostPercent: fc.constantFrom(0, 10, 30, 100),
  doubledPercent: fc.constantFrom(0, 30),
  delayMs: fc.constantFrom(2, 50, 400),
});

const storeFault: fc.Arbitrary<StoreFaultStep> = fc.record({
  kind: fc.constant("store"),
  at,
  fault: fc.constantFrom<StoreFaultStep["fault"][]>(
    "refuse",
    "hang",
    "slow",
    "lose_answer",
  ),
  forMs: fc.constantFrom(300, 2_000, 5_000),
});

const change: fc.Arbitrary<ChangeStep> = fc.record({
  kind: fc.constant("change"),
  at,
  nodes: fc.array(node, { minLength: 1, maxLength: 3 }),
});

/** Generates schedules of requests, faults and changes, sorted by time. */
export const faultSchedule: fc.Arbitrary<FaultSchedule> = fc.record({
  seed: fc.nat(1_000_000),
  // Call limits reject most bursts, so only one schedule in eight has limits.
  // Otherwise few bursts would coincide with other faults.
  limits: fc.nat(7).map((number) => number === 7),
  steps: fc.array(
    fc.oneof(
      { weight: 8, arbitrary: request },
      { weight: 6, arbitrary: callFaults },
      { weight: 3, arbitrary: nodeFault },
      { weight: 1, arbitrary: datagramFault },
      { weight: 1, arbitrary: storeFault },
      { weight: 1, arbitrary: change },
    ),
    { minLength: 1, maxLength: 24, size: "max" },
  ).map((steps) => [...steps].sort((a, b) => a.at - b.at)),
});
