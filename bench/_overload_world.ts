import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import {
  type AdmissionControl,
  type AdmissionMechanisms,
  CapacityAdmission,
  UncontrolledAdmission,
} from "@oleanderdeck/admission";
import {
  type OrganisationPolicy,
  type Priority,
} from "@oleanderdeck/agreement";
import type { ErrorKind } from "@oleanderdeck/errors";
import { SystemClock } from "@oleanderdeck/settings";
import { FakePolicies } from "../packages/admission/_test_fakes.ts";
import { type FakePeer, FakePeers } from "../packages/leases/_fake_peers.ts";

/** How the nodes of a run control their load. */
export interface Variant {
  readonly name: string;
  /** Mechanisms of the product; undefined for a baseline without control. */
  readonly mechanisms?: Partial<AdmissionMechanisms>;
  /** Attempts per hop of a baseline; the product shares one allowance. */
  readonly attemptsPerHop?: number;
}

/** Service of a run. */
export interface ServiceShape {
  readonly name: string;
  readonly workers: number;
  readonly slots: number;
  readonly serviceMs: number;
  /** Services that each request calls, one after the other. */
  readonly calls: readonly string[];
}

/** Requests that callers send at random times. */
export interface Traffic {
  readonly service: string;
  readonly organisation: string;
  readonly priority: Priority;
  readonly perSecond: number;
  /** Nodes that the callers use; all if absent. */
  readonly nodes?: readonly number[];
}

/** Request that ended before its deadline with a complete response. */
export interface Completion extends Traffic {
  readonly sentAt: number;
  readonly at: number;
}

const TIMEOUT_MS = 1_000;
const ROOT_ALLOWANCE = 3;
const LINK_MS = 4;
const CLIENT_LINK_MS = 1;

/** Times that a caller sends a failed request again. */
const CALLER_RETRIES = 5;

/** Policies of the benchmarks: equal weights, limits as set. */
export class BenchPolicies extends FakePolicies {
  readonly limits = new Map<string, number>();

  override organisation(organisation: string): OrganisationPolicy {
    const callsPerSecond = this.limits.get(organisation);
    return { organisation, weight: 1, callsPerSecond };
  }
}

/** Backend server with slots and a FIFO queue, as a thread pool has. */
class FakeBackend {
  running = 0;
  executions = 0;
  readonly #slots: number;
  readonly #waiting: (() => void)[] = [];

  constructor(slots: number) {
    this.#slots = slots;
  }

  async run<Result>(work: () => Promise<Result>): Promise<Result> {
    if (this.running >= this.#slots) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    } else this.running += 1;
    this.executions += 1;
    try {
      return await work();
    } finally {
      const next = this.#waiting.shift();
      if (next === undefined) this.running -= 1;
      else next();
    }
  }
}

interface Node {
  readonly peer: FakePeer;
  readonly service: ServiceShape;
  readonly admission: AdmissionControl;
  readonly backend: FakeBackend;
}

interface Call {
  readonly service: string;
  readonly organisation: string;
  readonly priority: Priority;
  readonly shedKey: number;
  readonly deadline: number;
  readonly callingService: string | undefined;
  readonly root: { executions: number };
}

interface Outcome {
  readonly failure: ErrorKind | undefined;
  /** Part of the lent allowance that was not used. */
  readonly unused: number;
}

/** A handful of nodes, their backend servers and callers. */
export class OverloadWorld {
  readonly peers = new FakePeers({ delayMs: LINK_MS });
  readonly policies = new BenchPolicies();
  readonly nodes: readonly Node[];
  readonly completions: Completion[] = [];
  /** Requests as first sent by callers, with the time. */
  readonly sent: (Traffic & { readonly sentAt: number })[] = [];
  /** Factor on the service time by service. */
  readonly slowness = new Map<string, number>();
  executions = 0;
  wastedExecutions = 0;
  /** Calls that were given up after the last caller retry. */
  failures = 0;
  readonly refusals: Partial<Record<ErrorKind, number>> = {};
  readonly #clock = new SystemClock();
  readonly #sleepers = new Map<number, (() => void)[]>();
  readonly #variant: Variant;
  readonly #random: RandomGenerator;

  constructor(
    variant: Variant,
    services: readonly ServiceShape[],
    seed: number,
  ) {
    this.#variant = variant;
    this.#random = xoroshiro128plus(seed);
    this.nodes = services.flatMap((service) =>
      Array.from(
        { length: service.workers },
        (_, index) => this.#startNode(service, index),
      )
    );
  }

  /** Time since the start of the run. */
  now(): number {
    return this.#clock.now();
  }

  /** Sends requests at random times until a time. */
  async send(traffic: Traffic, until: number): Promise<void> {
    const nodes = (traffic.nodes ?? this.nodes.map((_, index) => index))
      .map((index) => this.nodes[index]!);
    let next = this.now();
    for (;;) {
      next += -Math.log(1 - this.#uniform()) * 1_000 / traffic.perSecond;
      if (next >= until) return;
      // Sleeps have a resolution of 1 ms.
      const wait = Math.floor(next - this.now());
      if (wait >= 1) await this.#sleep(wait);
      const node = nodes[Math.floor(this.#uniform() * nodes.length)]!;
      void this.#sendOne(traffic, node);
    }
  }

  /** Resumes what sleeps until now; is called once per millisecond. */
  tick(): void {
    const now = Math.round(this.now());
    const due = this.#sleepers.get(now) ?? [];
    this.#sleepers.delete(now);
    for (const resume of due) resume();
  }

  /**
   * Sleeps of callers and backend servers share one list per millisecond,
   * because the fake timers search all timers for the next one.
   */
  #sleep(milliseconds: number): Promise<void> {
    const at = Math.round(this.now()) + Math.max(1, Math.round(milliseconds));
    return new Promise((resolve) => {
      const due = this.#sleepers.get(at);
      if (due === undefined) this.#sleepers.set(at, [resolve]);
      else due.push(resolve);
    });
  }

  /** Ends all nodes. */
  async close(): Promise<void> {
    await Promise.all(this.nodes.map(({ admission }) => admission.close()));
  }

  #startNode(service: ServiceShape, index: number): Node {
    const nodeId = `${service.name}-${index}`;
    const peer = this.peers.add(nodeId, `dc-${index}`);
    const { mechanisms } = this.#variant;
    const random = xoroshiro128plus(Math.floor(this.#uniform() * 2 ** 31));
    const members = peer.view;
    if (mechanisms === undefined) {
      members.setWorker({
        $typeName: "oleanderdeck.peer.v1.Worker",
        service: service.name,
        address: nodeId,
        slots: service.slots,
        connectionLimit: service.slots * 8,
        state: 1,
      });
    }
    const admission = mechanisms === undefined
      ? new UncontrolledAdmission({ members, random })
      : new CapacityAdmission({
        members,
        channel: peer.channel,
        clock: this.#clock,
        random,
        policies: () => this.policies,
        mechanisms,
      });
    if (admission instanceof CapacityAdmission) {
      admission.setWorker({
        service: service.name,
        address: nodeId,
        slots: service.slots,
        connectionLimit: service.slots * 8,
        warmUpMs: 0,
        state: "serving",
      });
    }
    return {
      peer,
      service,
      admission,
      backend: new FakeBackend(service.slots),
    };
  }

  async #sendOne(traffic: Traffic, node: Node): Promise<void> {
    const shedKey = Math.floor(this.#uniform() * 128);
    const sentAt = this.now();
    this.sent.push({ ...traffic, sentAt });
    for (let attempt = 0; attempt <= CALLER_RETRIES; attempt++) {
      const root = { executions: 0 };
      const deadline = this.now() + TIMEOUT_MS;
      await this.#sleep(CLIENT_LINK_MS);
      const outcome = await this.#call(node, {
        ...traffic,
        shedKey,
        deadline,
        callingService: undefined,
        root,
      }, ROOT_ALLOWANCE);
      await this.#sleep(CLIENT_LINK_MS);
      if (outcome.failure === undefined && this.now() <= deadline) {
        this.completions.push({ ...traffic, sentAt, at: this.now() });
        return;
      }
      this.wastedExecutions += root.executions;
      const kind = outcome.failure ?? "deadline_exceeded";
      this.refusals[kind] = (this.refusals[kind] ?? 0) + 1;
      // Callers that retry hard wait for a short time only.
      await this.#sleep(20 + 40 * this.#uniform());
    }
    this.failures += 1;
  }

  /** Sends a call as the node beside a caller or backend server does. */
  async #call(node: Node, call: Call, allowance: number): Promise<Outcome> {
    const excludedNodes: string[] = [];
    const attempts = this.#variant.attemptsPerHop;
    let remaining = attempts === undefined ? allowance : attempts - 1;
    for (let first = true;; first = false) {
      const answer = await node.admission.admit({
        ...call,
        excludedNodes,
        countsForLimit: first && call.callingService === undefined,
        forwarded: false,
      });
      if (answer.isLeft()) {
        return { failure: answer.extract().kind, unused: remaining };
      }
      const attempt = answer.unsafeCoerce();
      const { target } = attempt;
      const lent = Math.floor(remaining / 2);
      remaining -= attempts === undefined ? lent : 0;
      const started = this.now();
      const server = this.nodes.find(({ peer }) =>
        peer.record.nodeId === target.nodeId
      )!;
      const linkMs = this.peers.delayBetween(
        node.peer.record,
        server.peer.record,
      );
      await this.#sleep(linkMs);
      const outcome = target.kind === "direct"
        ? await this.#execute(server, call, lent)
        : await this.#serveForwarded(server, call, lent);
      await this.#sleep(linkMs);
      attempt.finish({
        durationMs: this.now() - started,
        failure: outcome.failure,
        threshold: target.kind === "forward"
          ? server.admission.threshold(call.service)
          : undefined,
      });
      if (attempts === undefined) remaining += outcome.unused;
      if (outcome.failure === undefined || remaining === 0) {
        return { ...outcome, unused: remaining };
      }
      const late = this.now() >= call.deadline && attempts === undefined;
      const refusedByServer = target.kind === "forward";
      if (attempts === undefined && (late || !refusedByServer)) {
        return { ...outcome, unused: remaining };
      }
      remaining -= 1;
      excludedNodes.push(target.nodeId);
    }
  }

  async #serveForwarded(
    server: Node,
    call: Call,
    lent: number,
  ): Promise<Outcome> {
    const answer = await server.admission.admit({
      ...call,
      excludedNodes: [],
      countsForLimit: false,
      forwarded: true,
    });
    if (answer.isLeft()) {
      return { failure: answer.extract().kind, unused: lent };
    }
    const attempt = answer.unsafeCoerce();
    const started = this.now();
    const outcome = await this.#execute(server, call, lent);
    attempt.finish({
      durationMs: this.now() - started,
      failure: outcome.failure,
      threshold: undefined,
    });
    return outcome;
  }

  /** Runs a request on a backend server; the product cancels it when late. */
  #execute(server: Node, call: Call, lent: number): Promise<Outcome> {
    const cancels = this.#variant.mechanisms !== undefined;
    return server.backend.run<Outcome>(async () => {
      const isLate = () => cancels && this.now() >= call.deadline;
      if (isLate()) return { failure: "deadline_exceeded", unused: lent };
      this.executions += 1;
      call.root.executions += 1;
      const slowness = this.slowness.get(call.service) ?? 1;
      const workMs = server.service.serviceMs * slowness *
        (0.8 + 0.4 * this.#uniform());
      const leftMs = cancels ? call.deadline - this.now() : Infinity;
      await this.#sleep(Math.min(workMs, leftMs));
      let unused = lent;
      for (const service of server.service.calls) {
        if (isLate()) break;
        const outcome = await this.#call(server, {
          ...call,
          service,
          callingService: call.service,
        }, unused);
        unused = outcome.unused;
        if (outcome.failure !== undefined) {
          return { failure: outcome.failure, unused };
        }
      }
      return { failure: isLate() ? "deadline_exceeded" : undefined, unused };
    });
  }

  #uniform(): number {
    return uniformFloat64(this.#random);
  }
}
