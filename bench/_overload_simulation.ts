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

/** Configuration of the load control of all nodes in a simulation run. */
export interface Variant {
  readonly name: string;
  /**
   * Admission mechanisms to enable or disable; those not listed are enabled.
   * Undefined for a baseline without admission control.
   */
  readonly mechanisms?: Partial<AdmissionMechanisms>;
  /**
   * Fixed number of attempts per hop of a baseline. If absent, all hops of a
   * request share one retry allowance.
   */
  readonly attemptsPerHop?: number;
}

/** Service of a simulation run. */
export interface ServiceSpec {
  readonly name: string;
  readonly workers: number;
  /** Number of requests that each backend server runs at once. */
  readonly slots: number;
  /** Mean time that a backend server works on a request, in milliseconds. */
  readonly serviceMs: number;
  /** Services that each request calls, in this order. */
  readonly calls: readonly string[];
}

/** Stream of requests that callers send with Poisson arrivals. */
export interface Traffic {
  readonly service: string;
  readonly organisation: string;
  readonly priority: Priority;
  /** Mean number of requests per second. */
  readonly perSecond: number;
  /** Indices of the nodes that callers send to; all nodes if absent. */
  readonly nodes?: readonly number[];
}

/** Request that received a complete response before its deadline. */
export interface Completion extends Traffic {
  /** Time at which the caller first sent the request, in milliseconds. */
  readonly sentAt: number;
  /** Time at which the caller received the response, in milliseconds. */
  readonly completedAt: number;
}

const REQUEST_TIMEOUT_MS = 1_000;

/** Retries that the nodes may make in total for one attempt of a caller. */
const ROOT_RETRY_ALLOWANCE = 3;

/** One-way delay between nodes. */
const LINK_DELAY_MS = 4;

/** One-way delay between a caller and a node. */
const CLIENT_LINK_DELAY_MS = 1;

/**
 * Number of times that a caller sends a failed request again. These retries are
 * the caller's own, beyond those that the nodes make.
 */
const CALLER_RETRIES = 5;

/** Policies that give all organisations equal weight. */
export class BenchPolicies extends FakePolicies {
  /** Limits in calls per second, by organisation. */
  readonly limits = new Map<string, number>();

  override organisation(organisation: string): OrganisationPolicy {
    const callsPerSecond = this.limits.get(organisation);
    return { organisation, weight: 1, callsPerSecond };
  }
}

/** Backend server with a fixed number of slots and a FIFO queue. */
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

/** Simulated node with its backend server. */
interface Node {
  readonly peer: FakePeer;
  readonly service: ServiceSpec;
  readonly admission: AdmissionControl;
  readonly backend: FakeBackend;
}

/** Call from a caller or a backend server to a service. */
interface Call {
  readonly service: string;
  readonly organisation: string;
  readonly priority: Priority;
  readonly shedKey: number;
  readonly deadline: number;
  readonly callingService: string | undefined;
  /**
   * Counter shared by one attempt of a caller and all calls that it causes: the
   * number of their executions on backend servers.
   */
  readonly root: { executions: number };
}

/** Outcome of a call. */
interface Outcome {
  /** Error kind of a failed call; undefined if the call succeeded. */
  readonly failure: ErrorKind | undefined;
  /** Retries lent with the call that were not used. */
  readonly unusedRetries: number;
}

/**
 * Simulation of a few nodes, their backend servers and callers under overload.
 * It runs in virtual time on fake timers.
 */
export class OverloadSimulation {
  readonly peers = new FakePeers({ delayMs: LINK_DELAY_MS });
  readonly policies = new BenchPolicies();
  readonly nodes: readonly Node[];
  readonly completions: Completion[] = [];
  /** Requests of callers with the time of the first attempt. */
  readonly sentRequests: (Traffic & { readonly sentAt: number })[] = [];
  /** Factor by which the service time is multiplied, by service; 1 if absent. */
  readonly serviceTimeFactors = new Map<string, number>();
  /** Executions of requests on backend servers. */
  executions = 0;
  /** Executions for attempts of callers that failed or were answered too late. */
  wastedExecutions = 0;
  /** Requests that failed on each attempt of the caller. */
  abandonedRequests = 0;
  /** Number of failed attempts of callers by error kind. */
  readonly failuresByKind: Partial<Record<ErrorKind, number>> = {};
  readonly #clock = new SystemClock();
  /** Callbacks that end sleeps, by the time in milliseconds at which they run. */
  readonly #resumeCallbacks = new Map<number, (() => void)[]>();
  readonly #variant: Variant;
  readonly #random: RandomGenerator;

  /**
   * @param variant Load control of the nodes.
   * @param services Services to start, each with its workers.
   * @param seed Seed of the random numbers.
   */
  constructor(
    variant: Variant,
    services: readonly ServiceSpec[],
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

  /** Returns the virtual time since the start of the run, in milliseconds. */
  now(): number {
    return this.#clock.now();
  }

  /** Sends requests with Poisson arrivals until a time in milliseconds. */
  async sendTraffic(traffic: Traffic, until: number): Promise<void> {
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
      void this.#sendRequest(traffic, node);
    }
  }

  /** Ends the sleeps that are due. Must be called once per millisecond. */
  tick(): void {
    const now = Math.round(this.now());
    const due = this.#resumeCallbacks.get(now) ?? [];
    this.#resumeCallbacks.delete(now);
    for (const resume of due) resume();
  }

  /**
   * Sleeps without a timer: sleeps that end in the same millisecond share one
   * list, because the fake timers search all timers for the next one, which is
   * slow with many of them.
   */
  #sleep(milliseconds: number): Promise<void> {
    const at = Math.round(this.now()) + Math.max(1, Math.round(milliseconds));
    return new Promise((resolve) => {
      const due = this.#resumeCallbacks.get(at);
      if (due === undefined) this.#resumeCallbacks.set(at, [resolve]);
      else due.push(resolve);
    });
  }

  /** Closes all nodes. */
  async close(): Promise<void> {
    await Promise.all(this.nodes.map(({ admission }) => admission.close()));
  }

  #startNode(service: ServiceSpec, index: number): Node {
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

  async #sendRequest(traffic: Traffic, node: Node): Promise<void> {
    const shedKey = Math.floor(this.#uniform() * 128);
    const sentAt = this.now();
    this.sentRequests.push({ ...traffic, sentAt });
    for (let attempt = 0; attempt <= CALLER_RETRIES; attempt++) {
      const root = { executions: 0 };
      const deadline = this.now() + REQUEST_TIMEOUT_MS;
      await this.#sleep(CLIENT_LINK_DELAY_MS);
      const outcome = await this.#call(node, {
        ...traffic,
        shedKey,
        deadline,
        callingService: undefined,
        root,
      }, ROOT_RETRY_ALLOWANCE);
      await this.#sleep(CLIENT_LINK_DELAY_MS);
      if (outcome.failure === undefined && this.now() <= deadline) {
        this.completions.push({ ...traffic, sentAt, completedAt: this.now() });
        return;
      }
      this.wastedExecutions += root.executions;
      const kind = outcome.failure ?? "deadline_exceeded";
      this.failuresByKind[kind] = (this.failuresByKind[kind] ?? 0) + 1;
      // Callers retry aggressively, with a short random back-off.
      await this.#sleep(20 + 40 * this.#uniform());
    }
    this.abandonedRequests += 1;
  }

  /**
   * Sends a call through the node of its caller or backend server, with retries.
   */
  async #call(
    node: Node,
    call: Call,
    retryAllowance: number,
  ): Promise<Outcome> {
    const excludedNodes: string[] = [];
    const attempts = this.#variant.attemptsPerHop;
    let remainingRetries = attempts === undefined
      ? retryAllowance
      : attempts - 1;
    for (let first = true;; first = false) {
      const admissionResult = await node.admission.admit({
        ...call,
        excludedNodes,
        countsForLimit: first && call.callingService === undefined,
        forwarded: false,
      });
      if (admissionResult.isLeft()) {
        return {
          failure: admissionResult.extract().kind,
          unusedRetries: remainingRetries,
        };
      }
      const attempt = admissionResult.unsafeCoerce();
      const { target } = attempt;
      // Half of a shared allowance is lent to the called node, which returns the
      // retries that it does not use.
      const lentRetries = Math.floor(remainingRetries / 2);
      remainingRetries -= attempts === undefined ? lentRetries : 0;
      const started = this.now();
      const servingNode = this.nodes.find(({ peer }) =>
        peer.record.nodeId === target.nodeId
      )!;
      const linkDelayMs = this.peers.delayBetween(
        node.peer.record,
        servingNode.peer.record,
      );
      await this.#sleep(linkDelayMs);
      const outcome = target.kind === "direct"
        ? await this.#execute(servingNode, call, lentRetries)
        : await this.#serveForwarded(servingNode, call, lentRetries);
      await this.#sleep(linkDelayMs);
      attempt.finish({
        durationMs: this.now() - started,
        failure: outcome.failure,
        threshold: target.kind === "forward"
          ? servingNode.admission.threshold(call.service)
          : undefined,
      });
      if (attempts === undefined) remainingRetries += outcome.unusedRetries;
      if (outcome.failure === undefined || remainingRetries === 0) {
        return { ...outcome, unusedRetries: remainingRetries };
      }
      const isPastDeadline = this.now() >= call.deadline &&
        attempts === undefined;
      const wasForwarded = target.kind === "forward";
      if (attempts === undefined && (isPastDeadline || !wasForwarded)) {
        return { ...outcome, unusedRetries: remainingRetries };
      }
      remainingRetries -= 1;
      excludedNodes.push(target.nodeId);
    }
  }

  /** Serves a call that another node forwarded to the worker's own node. */
  async #serveForwarded(
    servingNode: Node,
    call: Call,
    lentRetries: number,
  ): Promise<Outcome> {
    const admissionResult = await servingNode.admission.admit({
      ...call,
      excludedNodes: [],
      countsForLimit: false,
      forwarded: true,
    });
    if (admissionResult.isLeft()) {
      return {
        failure: admissionResult.extract().kind,
        unusedRetries: lentRetries,
      };
    }
    const attempt = admissionResult.unsafeCoerce();
    const started = this.now();
    const outcome = await this.#execute(servingNode, call, lentRetries);
    attempt.finish({
      durationMs: this.now() - started,
      failure: outcome.failure,
      threshold: undefined,
    });
    return outcome;
  }

  /**
   * Runs a request on a backend server. Variants with admission mechanisms
   * cancel it at its deadline.
   */
  #execute(
    servingNode: Node,
    call: Call,
    lentRetries: number,
  ): Promise<Outcome> {
    const cancelsAtDeadline = this.#variant.mechanisms !== undefined;
    return servingNode.backend.run<Outcome>(async () => {
      const isLate = () => cancelsAtDeadline && this.now() >= call.deadline;
      if (isLate()) {
        return { failure: "deadline_exceeded", unusedRetries: lentRetries };
      }
      this.executions += 1;
      call.root.executions += 1;
      const serviceTimeFactor = this.serviceTimeFactors.get(call.service) ?? 1;
      const workMs = servingNode.service.serviceMs * serviceTimeFactor *
        (0.8 + 0.4 * this.#uniform());
      const remainingMs = cancelsAtDeadline
        ? call.deadline - this.now()
        : Infinity;
      await this.#sleep(Math.min(workMs, remainingMs));
      let unusedRetries = lentRetries;
      for (const service of servingNode.service.calls) {
        if (isLate()) break;
        const outcome = await this.#call(servingNode, {
          ...call,
          service,
          callingService: call.service,
        }, unusedRetries);
        unusedRetries = outcome.unusedRetries;
        if (outcome.failure !== undefined) {
          return { failure: outcome.failure, unusedRetries };
        }
      }
      return {
        failure: isLate() ? "deadline_exceeded" : undefined,
        unusedRetries,
      };
    });
  }

  /** Returns a random number from 0 to 1. */
  #uniform(): number {
    return uniformFloat64(this.#random);
  }
}
