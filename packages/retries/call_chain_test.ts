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

/** For each service, the indices of the services it calls, all above its own. */
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

/** Conditions of a simulated call chain, drawn by fast-check. */
interface Schedule {
  readonly faults: readonly Fault[];
  readonly parallel: boolean;
  /** Number of settlements of which the last one is lost; 0 if none is lost. */
  readonly lostSettlementInterval: number;
  /** Number of executions of which the last one restarts its node; 0 for none. */
  readonly restartInterval: number;
  readonly policyRetries: number;
}

interface Counts {
  readonly executions: number[];
  readonly firstAttempts: number[];
  retries: number;
}

class ChainSimulation extends AllowanceSettlement {
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
      firstAttempts: graph.map(() => 0),
      retries: 0,
    };
    this.#incarnations = graph.map(() => 0n);
    graph.forEach((_, node) => this.#startNode(node));
    this.#startNode(-1);
  }

  settle(loan: Loan): Promise<number> {
    const interval = this.#schedule.lostSettlementInterval;
    if (interval > 0 && ++this.#settlements % interval === 0) {
      return Promise.resolve(0);
    }
    const node = Number(loan.nodeId);
    const ledger = this.#ledgers.get(node)!;
    if (this.#incarnations[node] !== loan.incarnation) {
      return Promise.resolve(0);
    }
    return Promise.resolve(ledger.close(loan.callId));
  }

  /**
   * Simulates one call to a service.
   *
   * @param node Index of the calling node; -1 for the root.
   * @param service Index of the called service.
   * @param parent Context of the parent call; undefined for a root request.
   * @returns Whether an attempt succeeded.
   */
  async call(
    node: number,
    service: number,
    parent: { callId: Uint8Array; lentRetries: number } | undefined,
  ): Promise<boolean> {
    this.counts.firstAttempts[service]!++;
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
      if (result === "complete") {
        const nodeId = String(service);
        if (parent !== undefined) {
          allowance.recordLoan({ callId, nodeId, incarnation, amount: lent });
        }
        return true;
      }
      if (result === "not_run") allowance.restore(lent);
      if (allowance.remaining === 0 && allowance.hasLoans) {
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
    const { restartInterval, parallel } = this.#schedule;
    if (restartInterval > 0 && ++this.#executions % restartInterval === 0) {
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
    return results.every(Boolean) ? "complete" : "lost";
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
  lostSettlementInterval: fc.nat(3),
  restartInterval: fc.nat(5),
  policyRetries: fc.nat(8),
});

// Guards against retries that multiply with the depth of a chain because each
// level retries on its own.
test("retries of a whole call graph stay within the root allowance", async () => {
  const property = fc.asyncProperty(
    graph,
    schedule,
    async (graph, schedule) => {
      const simulation = new ChainSimulation(graph, schedule);
      await simulation.call(-1, 0, undefined);
      const { executions, firstAttempts, retries } = simulation.counts;
      expect(retries).toBeLessThanOrEqual(schedule.policyRetries);
      executions.forEach((count, service) =>
        expect(count).toBeLessThanOrEqual(
          firstAttempts[service]! + schedule.policyRetries,
        )
      );
    },
  );
  await fc.assert(property, { numRuns: 2000, seed: 90 });
});

// Guards against more executions of a service deep in a chain than one plus the
// allowance.
test("a chain runs each service at most once plus once per retry", async () => {
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
      const simulation = new ChainSimulation(graph, schedule);
      await simulation.call(-1, 0, undefined);
      simulation.counts.executions.forEach((count) =>
        expect(count).toBeLessThanOrEqual(1 + schedule.policyRetries)
      );
    },
  );
  await fc.assert(property, { numRuns: 2000, seed: 91 });
});

// Guards against simulations too mild to detect excess retries: the baseline has
// to exceed the bound that the other tests check.
test("the fixed baseline exceeds the bound on a deep chain", async () => {
  const chain = [[1], [2], [3], []];
  const simulation = new ChainSimulation(chain, {
    faults: ["failed"],
    parallel: false,
    lostSettlementInterval: 0,
    restartInterval: 0,
    policyRetries: 3,
  }, true);
  await simulation.call(-1, 0, undefined);
  expect(simulation.counts.retries).toBeGreaterThan(3);
});
