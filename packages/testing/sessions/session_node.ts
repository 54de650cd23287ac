import { create } from "@bufbuild/protobuf";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type AdmissionMechanisms,
  CapacityAdmission,
} from "@oleanderdeck/admission";
import {
  ConfigurationReplica,
  ConfigurationService,
  type DocumentPeer,
} from "@oleanderdeck/configuration";
import { type CompiledPolicy, compilePolicy } from "@oleanderdeck/agreement";
import { PermitLedger } from "@oleanderdeck/idempotency";
import { MemberSchema, MemberState } from "@oleanderdeck/protocol";
import {
  AllowanceLedger,
  type AllowanceSettlement,
  ChainRetryPolicy,
  RetryBudget,
  type RetryPolicy,
} from "@oleanderdeck/retries";
import type { Store } from "@oleanderdeck/store";
import type { SessionAnswer, SessionCall } from "./session_call.ts";
import { NodeCall } from "./node_call.ts";
import { ProcessDocuments, ProcessStore } from "./process_store.ts";
import type { CallReceiver, SessionNetwork } from "./session_network.ts";
import { SessionPeer } from "./session_peer.ts";
import type { SessionRecorder } from "./session_recorder.ts";
import { REGISTRATION_TERM_MS, type SessionServer } from "./session_server.ts";
import type { VirtualClock } from "@oleanderdeck/settings";
import { ProcessClock } from "./process_clock.ts";

/** Interval of the checks whether the configuration is loaded, in ms. */
const READY_CHECK_MS = 50;

/** Faulty components and behaviour of a node, for tests of invariants. */
export interface SessionNodeVariant {
  readonly ledger?: (node: SessionNode) => PermitLedger;
  readonly retryPolicy?: RetryPolicy;
  readonly mechanisms?: Partial<AdmissionMechanisms>;
  /** Whether a leaving server is treated as a serving one. */
  readonly ignoresDraining?: boolean;
  /** Whether truncated bodies end without an error. */
  readonly endsCutBodiesCleanly?: boolean;
  /** Whether a request whose response is lost is reported as not run. */
  readonly reportsLostAsNotRun?: boolean;
}

/** Clock, network and other components that a node of a session uses. */
export interface SessionNodeDependencies {
  readonly clock: VirtualClock;
  readonly recorder: SessionRecorder;
  readonly network: SessionNetwork;
  readonly store: Store;
  readonly documents: DocumentPeer;
  readonly settlement: AllowanceSettlement;
  readonly variant: SessionNodeVariant;
  readonly seed: number;
  /** Returns a node by id, including killed ones. */
  readonly findNode: (nodeId: string) => SessionNode | undefined;
  /** Returns the backend server of a node's host, including ended ones. */
  readonly findServer: (nodeId: string) => SessionServer | undefined;
}

/**
 * One incarnation of a node. Its ledgers, admission, leases and configuration
 * are the real components; a simulated call path replaces the call server.
 */
export class SessionNode implements CallReceiver {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly incarnation: bigint;
  readonly dependencies: SessionNodeDependencies;
  readonly clock: ProcessClock;
  readonly killed: Promise<void>;
  readonly peer: SessionPeer;
  readonly replica: ConfigurationReplica;
  readonly configuration: ConfigurationService;
  readonly admission: CapacityAdmission;
  readonly ledger: PermitLedger;
  readonly allowances: AllowanceLedger;
  readonly retryPolicy: RetryPolicy;
  readonly retryBudget: RetryBudget;
  /** Whether root calls are rejected because of a planned stop. */
  draining = false;
  #calls = 0n;
  #registeredAt = -Infinity;
  #resolveKilled = () => {};

  constructor(
    options: {
      readonly nodeId: string;
      readonly dataCentre: string;
      readonly incarnation: bigint;
    },
    dependencies: SessionNodeDependencies,
  ) {
    const { nodeId, dataCentre, incarnation } = options;
    this.nodeId = nodeId;
    this.dataCentre = dataCentre;
    this.incarnation = incarnation;
    this.dependencies = dependencies;
    this.killed = new Promise((resolve) => this.#resolveKilled = resolve);
    const clock = new ProcessClock(dependencies.clock);
    this.clock = clock;
    const record = create(MemberSchema, {
      nodeId,
      incarnation,
      dataCentre,
      state: MemberState.ALIVE,
      callAddress: `${nodeId}:1`,
    });
    this.peer = new SessionPeer(dependencies.network, record, clock);
    const { channel } = this.peer;
    const random = (part: number) =>
      xoroshiro128plus(
        dependencies.seed * 7_919 + Number(incarnation) * 31 + part,
      );
    this.replica = new ConfigurationReplica({ compile: compiler() });
    this.replica.onChange(({ name }) => this.#recordInForce(name));
    this.configuration = new ConfigurationService({
      replica: this.replica,
      store: new ProcessStore(dependencies.store, clock),
      members: this.peer,
      channel,
      peer: new ProcessDocuments(dependencies.documents, clock),
      clock,
      random: random(1),
    });
    this.admission = new CapacityAdmission({
      members: this.peer,
      channel,
      clock,
      random: random(2),
      policies: () => this.replica.view(),
      mechanisms: dependencies.variant.mechanisms ?? {},
    });
    this.ledger = dependencies.variant.ledger?.(this) ??
      new PermitLedger({ nodeId, incarnation, clock });
    this.allowances = new AllowanceLedger(clock);
    const backoff = random(3);
    this.retryPolicy = dependencies.variant.retryPolicy ??
      new ChainRetryPolicy(this.allowances, () => uniformFloat64(backoff));
    this.retryBudget = new RetryBudget(clock);
    this.record("started");
    dependencies.network.join(this.peer);
    this.configuration.start();
    void this.#watchReadiness();
    void this.#expireRegistration();
  }

  /** Handles a call that arrives at this node. */
  handle(call: SessionCall): Promise<SessionAnswer> {
    return new NodeCall(this, call).run();
  }

  /** Creates the id of the next attempt of a call. */
  nextCallId(): Uint8Array {
    const id = Buffer.alloc(16);
    id.writeBigUInt64BE(this.incarnation, 0);
    id.writeBigUInt64BE(++this.#calls, 8);
    return id;
  }

  /** Registers the backend server or renews its registration. */
  register(server: SessionServer, state: "serving" | "draining"): void {
    const { service, slots, warmUpMs } = server.options;
    this.#registeredAt = this.clock.now();
    this.admission.setWorker({
      service,
      address: `${server.name}:8080`,
      slots,
      connectionLimit: slots * 8,
      warmUpMs: warmUpMs ?? 0,
      state: this.dependencies.variant.ignoresDraining === true
        ? "serving"
        : state,
    });
  }

  /** Pauses the process for a duration in milliseconds. */
  pause(milliseconds: number): void {
    if (!this.clock.alive) return;
    this.record("paused");
    this.clock.pause(milliseconds);
    this.clock.run(() => this.record("resumed"));
  }

  /** Kills the process; its state in memory is lost. */
  kill(): void {
    if (!this.clock.alive) return;
    this.record("killed");
    this.clock.kill();
    this.#resolveKilled();
    this.dependencies.network.leave(this.peer);
  }

  /** Records a change of the state of this node. */
  record(
    state: "started" | "ready" | "killed" | "paused" | "resumed",
  ): void {
    this.dependencies.recorder.record({
      kind: "node_changed",
      node: this.nodeId,
      state,
    });
  }

  #recordInForce(document: string): void {
    this.dependencies.recorder.record({
      kind: "version_in_force",
      node: this.nodeId,
      document,
      version: this.replica.activeVersion(document),
    });
  }

  async #watchReadiness(): Promise<void> {
    while (!this.replica.isReady()) await this.clock.sleep(READY_CHECK_MS);
    this.record("ready");
  }

  async #expireRegistration(): Promise<void> {
    while (this.clock.alive) {
      await this.clock.sleep(REGISTRATION_TERM_MS / 3);
      if (this.clock.now() - this.#registeredAt >= REGISTRATION_TERM_MS) {
        this.admission.setWorker(undefined);
      }
    }
  }
}

type Compiler = ConstructorParameters<
  typeof ConfigurationReplica
>[0]["compile"];

function compiler(): Compiler {
  let previous: CompiledPolicy | undefined;
  return (documents) => previous = compilePolicy(documents, previous);
}
