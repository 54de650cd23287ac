/** Kind of request: its service, its work and the calls that the work makes. */
export interface RequestKind {
  readonly service: string;
  readonly isIdempotent: boolean;
  readonly priority: number;
  readonly holdMs: number;
  readonly timeoutMs: number;
  readonly targetMs: number;
  readonly calls: readonly string[];
}

const NESTED = { isIdempotent: true, priority: 0 } as const;

/** Requests of callers and the calls that they lead to. */
export const KINDS: Readonly<Record<string, RequestKind>> = {
  lookup: {
    service: "menus",
    isIdempotent: true,
    priority: 2,
    holdMs: 76,
    timeoutMs: 5_000,
    targetMs: 1_500,
    calls: ["check", "check"],
  },
  escalation: {
    service: "bookings",
    isIdempotent: false,
    priority: 0,
    holdMs: 100,
    timeoutMs: 4_000,
    targetMs: 1_000,
    calls: ["status"],
  },
  export: {
    service: "uploads",
    isIdempotent: true,
    priority: 2,
    holdMs: 61,
    timeoutMs: 3_000,
    targetMs: 500,
    calls: [],
  },
  closure: {
    service: "members",
    isIdempotent: false,
    priority: 2,
    holdMs: 61,
    timeoutMs: 1_200,
    targetMs: 300,
    calls: [],
  },
  check: {
    ...NESTED,
    service: "bookings",
    holdMs: 15,
    timeoutMs: 2_500,
    targetMs: 600,
    calls: ["status"],
  },
  status: {
    ...NESTED,
    service: "uploads",
    holdMs: 15,
    timeoutMs: 2_000,
    targetMs: 500,
    calls: Array(4).fill("record"),
  },
  record: {
    ...NESTED,
    service: "members",
    holdMs: 22,
    timeoutMs: 700,
    targetMs: 200,
    calls: [],
  },
};
