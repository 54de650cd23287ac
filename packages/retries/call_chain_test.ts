import fc from "fast-check";
import { expect, test } from "vitest";
import { SystemClock } from "@oleanderdeck/settings";
import {
  AllowanceLedger,
  AllowanceSettlement,
  ChainRetryPolicy,
  type Loan,
  PerHopRetryPolicy,
  type RetryPolicy,
} from "./mod.ts";

/** Services by index; each calls the listed ones, which have higher indices. */
type Graph = readonly (readonly number[])[];

const graph: fc.Arbitrary<Graph> = fc.integer({ min: 1, max: 6 }).chain((
  size,
) =>
  fc.tuple(
    ...Array.from({ length: size }, (_, index) =>
      fc.array(
        fc.integer({ min: index + 1, max: Math.max(index + 1, size - 1) }),
        { maxLength: index === size - 1 ? 0 : 2 },
      )),
  )
);

type Fault = "none" | "refused" | "lost_before" | "lost_after" | "failed";

const fault: fc.Arbitrary<Fault> = fc.constantFrom(
  "none",
  "refused",
  "lost_before",
  "lost_after",
  "failed",
);

/** What a run of a chain depends on, drawn by fast-check. */
interface Schedule {
  readonly faults: readonly Fault[];
  readonly parallel: boolean;
  /** Every nth settlement is lost; 0 for none. */
  readonly lostSettlement: number;
  /** Every nth execution restarts its node; 0 for none. */
  readonly restart: number;
  readonly policyRetries: number;
}

interface Counts {
  readonly executions: number[];
  readonly firstTries: number[];
  retries: number;
}

class Simulation extends AllowanceSettlement {
  readonly counts: Counts;
  readonly #graph: Graph;
  readonly #schedule: Schedule;
  readonly #perHop: boolean;
  readonly #ledgers = new Map<number, AllowanceLedger>();
  readonly #policies = new Map<number, RetryPolicy>();
  readonly #incarnations: bigint[];
  #faults = 0;
  #settlements = 0;
  #executions = 0;
  #callIds = 0;

  constructor(graph: Graph, schedule: Schedule, perHop = false) {
    super();
    this.#graph = graph;
    this.#schedule = schedule;
    this.#perHop = perHop;
    this.counts = {
      executions: graph.map(() => 0),
      firstTries: graph.map(() => 0),
      retries: 0,
    };
    this.#incarnations = graph.map(() => 0n);
    graph.forEach((_, node) => this.#startNode(node));
    this.#startNode(-1);
  }

  settle(loan: Loan): Promise<number> {
    const lost = this.#schedule.lostSettlement;
    if (lost > 0 && ++this.#settlements % lost === 0) return Promise.resolve(0);
    const node = Number(loan.nodeId);
    const ledger = this.#ledgers.get(node)!;
    if (this.#incarnations[node] !== loan.incarnation) {
      return Promise.resolve(0);
    }
    return Promise.resolve(ledger.close(loan.callId));
  }

  /** One call to a service, made at a node for a parent call. */
  async call(
    node: number,
    service: number,
    parent: { callId: Uint8Array; lentRetries: number } | undefined,
  ): Promise<boolean> {
    this.counts.firstTries[service]!++;
    const allowance = this.#policies.get(node)!.allowance({
      policyRetries: this.#schedule.policyRetries,
      requestedRetries: undefined,
      parent,
    });
    for (let attempt = 1; attempt <= 50; attempt++) {
      const lent = allowance.lend();
      const callId = this.#nextCallId();
      const incarnation = this.#incarnations[service]!;
      const result = await this.#attempt(service, callId, lent);
      if (result === "whole") {
        const nodeId = String(service);
        if (parent !== undefined) {
          allowance.keepLoan({ callId, nodeId, incarnation, amount: lent });
        }
        return true;
      }
      if (result === "not_run") allowance.giveBack(lent);
      if (allowance.remaining === 0 && allowance.recoverable) {
        await allowance.recover(this);
      }
      if (!allowance.take()) return false;
      this.counts.retries++;
    }
    return false;
  }

  async #attempt(service: number, callId: Uint8Array, lentRetries: number) {
    const kind = this.#schedule.faults[
      this.#faults++ % this.#schedule.faults.length
    ]!;
    await Promise.resolve();
    if (kind === "refused") return "not_run";
    if (kind === "lost_before") return "lost";
    this.counts.executions[service]!++;
    const { restart, parallel } = this.#schedule;
    if (restart > 0 && ++this.#executions % restart === 0) {
      this.#startNode(service);
      lentRetries = 0;
    }
    const context = { callId, lentRetries };
    const children = this.#graph[service]!.filter((child) =>
      child < this.#graph.length
    );
    const results: boolean[] = [];
    if (parallel) {
      results.push(
        ...await Promise.all(
          children.map((child) => this.call(service, child, context)),
        ),
      );
    } else {
      for (const child of children) {
        results.push(await this.call(service, child, context));
      }
    }
    if (kind === "lost_after" || kind === "failed") return "lost";
    return results.every(Boolean) ? "whole" : "lost";
  }

  #startNode(node: number): void {
    if (node >= 0) this.#incarnations[node]!++;
    const ledger = new AllowanceLedger(new SystemClock());
    this.#ledgers.set(node, ledger);
    this.#policies.set(
      node,
      this.#perHop
        ? new PerHopRetryPolicy(3, 0)
        : new ChainRetryPolicy(ledger, () => 0),
    );
  }

  #nextCallId(): Uint8Array {
    const id = Buffer.alloc(16);
    id.writeUInt32BE(++this.#callIds, 12);
    return id;
  }
}

const schedule: fc.Arbitrary<Schedule> = fc.record({
  faults: fc.array(fault, { minLength: 1, maxLength: 25 }),
  parallel: fc.boolean(),
  lostSettlement: fc.nat(3),
  restart: fc.nat(5),
  policyRetries: fc.nat(8),
});

// Guards against retries that multiply with the depth of a chain.
test("retries of a whole call graph stay within the root allowance", async () => {
  const property = fc.asyncProperty(
    graph,
    schedule,
    async (graph, schedule) => {
      const simulation = new Simulation(graph, schedule);
      await simulation.call(-1, 0, undefined);
      const { executions, firstTries, retries } = simulation.counts;
      expect(retries).toBeLessThanOrEqual(schedule.policyRetries);
      executions.forEach((count, service) =>
        expect(count).toBeLessThanOrEqual(
          firstTries[service]! + schedule.policyRetries,
        )
      );
    },
  );
  await fc.assert(property, { numRuns: 2000, seed: 90 });
});

// Guards against executions deep in a chain beyond one plus the allowance.
test("a chain runs each service at most once per retry and once more", async () => {
  const chain = fc.integer({ min: 1, max: 9 }).map((length) =>
    Array.from(
      { length },
      (_, index) => index + 1 < length ? [index + 1] : [],
    )
  );
  const property = fc.asyncProperty(
    chain,
    schedule,
    async (graph, schedule) => {
      const simulation = new Simulation(graph, schedule);
      await simulation.call(-1, 0, undefined);
      simulation.counts.executions.forEach((count) =>
        expect(count).toBeLessThanOrEqual(1 + schedule.policyRetries)
      );
    },
  );
  await fc.assert(property, { numRuns: 2000, seed: 91 });
});

// Guards against a property that holds for any policy: the baseline breaks it.
test("the fixed baseline exceeds the bound on a deep chain", async () => {
  const chain = [[1], [2], [3], []];
  const simulation = new Simulation(chain, {
    faults: ["failed"],
    parallel: false,
    lostSettlement: 0,
    restart: 0,
    policyRetries: 3,
  }, true);
  await simulation.call(-1, 0, undefined);
  expect(simulation.counts.retries).toBeGreaterThan(3);
});
