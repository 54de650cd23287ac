import { randomBytes } from "node:crypto";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CapacityAdmission } from "@oleanderdeck/admission";
import { type CompiledPolicy, compilePolicy } from "@oleanderdeck/agreement";
import { BackendServerRegistration, CallServer } from "@oleanderdeck/calls";
import {
  ConfigurationReplica,
  ConfigurationService,
} from "@oleanderdeck/configuration";
import { PermitLedger } from "@oleanderdeck/idempotency";
import {
  isLive,
  Membership,
  PeerClients,
  PeerKeys,
  UdpTransport,
  verifyPeerCalls,
} from "@oleanderdeck/membership";
import { EventLog, StatsdMetrics } from "@oleanderdeck/observability";
import { operatorRoutes } from "@oleanderdeck/operator";
import type { Member } from "@oleanderdeck/protocol";
import {
  AllowanceLedger,
  ChainRetryPolicy,
  RetryBudget,
} from "@oleanderdeck/retries";
import {
  type NodeSettings,
  parseAddress,
  SystemClock,
} from "@oleanderdeck/settings";
import { HttpStore } from "@oleanderdeck/store";
import { ControlServer } from "./control_server.ts";
import { NodeGauges } from "./node_gauges.ts";
import { LocalWorkerState } from "./local_worker_state.ts";
import {
  FleetRollout,
  RemoteDocuments,
  RemoteSettlement,
} from "./peer_adapters.ts";
import { peerRoutes } from "./peer_routes.ts";
import { findSeeds, SeedPublisher } from "./seeds.ts";
import { FleetWorkerControl } from "./fleet_worker_control.ts";

/** Interval of the checks for calls in progress during shutdown, in ms. */
const STOP_POLL_INTERVAL_MS = 50;

/**
 * Time from the start of a drain after which all leases of the worker have
 * expired at their holders, in milliseconds.
 */
const LEASE_EXPIRY_MS = 2500;

function newRandom(): RandomGenerator {
  return xoroshiro128plus(randomBytes(4).readInt32LE());
}

/** One node of the fleet: all parts of `oleanderdeckd`, connected. */
export class Node {
  readonly #settings: NodeSettings;
  readonly #clock = new SystemClock();
  readonly #log: EventLog;
  readonly #metrics: StatsdMetrics;
  readonly #store: HttpStore;
  readonly #membership: Membership;
  readonly #replica: ConfigurationReplica;
  readonly #configuration: ConfigurationService;
  readonly #admission: CapacityAdmission;
  readonly #localWorker: LocalWorkerState;
  readonly #registration: BackendServerRegistration;
  readonly #clients: PeerClients;
  readonly #controlServer: ControlServer;
  readonly #seedPublisher: SeedPublisher;
  readonly #callServer: CallServer;
  readonly #gauges: NodeGauges;
  #closed: Promise<void> | undefined;

  /** @param settings Validated settings. */
  constructor(settings: NodeSettings) {
    this.#settings = settings;
    const clock = this.#clock;
    const { callAddress, controlAddress, dataCentre, nodeId, region } =
      settings;
    const log = new EventLog({ level: settings.logLevel });
    this.#log = log;
    this.#metrics = new StatsdMetrics({
      ...settings.metrics,
      tags: { node: nodeId, data_centre: dataCentre },
    });
    const keys = new PeerKeys(settings.peerKeys);
    this.#store = new HttpStore({
      origin: settings.storeUrl,
      timeoutMs: settings.timeouts.storeMs,
    });
    this.#clients = new PeerClients({
      keys,
      nodeId,
      callTimeoutMs: settings.timeouts.peerMs,
    });
    this.#membership = new Membership({
      nodeId,
      callAddress,
      controlAddress,
      dataCentre,
      region,
      peerAddress: settings.peerAddress,
      transport: new UdpTransport(parseAddress(settings.peerAddress)!),
      keys,
      clock,
      random: newRandom(),
      seeds: () => findSeeds(settings.seeds, this.#store),
      pullMembers: async (peer) =>
        (await this.#clients.client(peer).syncMembers({
          members: [this.#membership.self()],
        })).members,
      log,
    });
    const { channel } = this.#membership;
    this.#replica = new ConfigurationReplica({
      compile: createCompiler(),
      log,
    });
    this.#configuration = new ConfigurationService({
      replica: this.#replica,
      store: this.#store,
      members: this.#membership,
      channel,
      peer: new RemoteDocuments(this.#clients),
      clock,
      random: newRandom(),
      log,
    });
    const policies = () => this.#replica.view();
    this.#admission = new CapacityAdmission({
      members: this.#membership,
      channel,
      clock,
      random: newRandom(),
      policies,
    });
    this.#localWorker = new LocalWorkerState({
      onChange: (worker) => this.#admission.setWorker(worker),
      log,
    });
    this.#registration = new BackendServerRegistration({
      clock,
      lowestFence: () => this.#admission.lowestValidFencingToken(),
      onChange: (server) => this.#localWorker.setBackendServer(server),
    });
    const allowanceLedger = new AllowanceLedger(clock);
    const retryRandom = newRandom();
    this.#callServer = new CallServer({
      policy: () => this.#replica.isReady() ? policies() : undefined,
      admission: this.#admission,
      keys,
      members: this.#membership,
      permitLedger: new PermitLedger({
        nodeId,
        incarnation: this.#membership.self().incarnation,
        clock,
      }),
      allowanceLedger,
      retryPolicy: new ChainRetryPolicy(
        allowanceLedger,
        () => uniformFloat64(retryRandom),
      ),
      retryBudget: new RetryBudget(clock),
      allowanceSettlement: new RemoteSettlement(
        this.#clients,
        this.#membership,
      ),
      registration: this.#registration,
      metrics: this.#metrics,
      log,
      clock,
    });
    this.#seedPublisher = new SeedPublisher({
      members: this.#membership,
      store: this.#store,
      clock,
      log,
    });
    this.#gauges = new NodeGauges({
      metrics: this.#metrics,
      membership: this.#membership,
      replica: this.#replica,
      callServer: this.#callServer,
    });
    const operator = operatorRoutes({
      editor: this.#configuration.editor,
      replica: this.#replica,
      members: this.#membership,
      admission: this.#admission,
      workers: new FleetWorkerControl({
        members: this.#membership,
        clients: this.#clients,
        localWorker: this.#localWorker,
      }),
      rollout: new FleetRollout((name) =>
        this.#configuration.countVersions(name)
      ),
      clock,
      tokens: settings.operatorTokens,
      log,
    });
    const peers = peerRoutes({
      replica: this.#replica,
      membership: this.#membership,
      allowanceLedger,
      localWorker: this.#localWorker,
      authentication: verifyPeerCalls({ keys, nodeId }),
    });
    this.#controlServer = new ControlServer((router) => {
      operator(router);
      peers(router);
    });
  }

  /**
   * Opens all sockets and joins the fleet. Calls are refused as `not_ready`
   * until the configuration is loaded.
   *
   * @throws {Error} If the node cannot listen on one of its addresses.
   */
  async start(): Promise<void> {
    const { callAddress, controlAddress, nodeId, dataCentre } = this.#settings;
    const { host, port } = parseAddress(callAddress)!;
    await this.#controlServer.listen(parseAddress(controlAddress)!);
    await this.#callServer.listen(host, port);
    await this.#membership.start();
    this.#configuration.start();
    this.#seedPublisher.start();
    this.#gauges.start();
    this.#log.write("info", "node_started", {
      node: nodeId,
      data_centre: dataCentre,
      call_address: callAddress,
    });
  }

  /**
   * Shuts down gracefully: grants no new leases of the worker, refuses root calls
   * as `draining`, waits up to `timeouts.stopMs` each for the worker's requests
   * and for calls in flight to complete, and announces to the fleet that this
   * node leaves. Joins the shutdown that is under way, if any.
   */
  close(): Promise<void> {
    return this.#closed ??= this.#close();
  }

  async #close(): Promise<void> {
    this.#log.write("info", "node_stopping", { node: this.#settings.nodeId });
    this.#localWorker.drainForStop();
    this.#callServer.drainRootCalls();
    await this.#waitForIdleWorker();
    await this.#waitWithTimeout(this.#callServer.close());
    await this.#membership.leave();
    this.#gauges.close();
    this.#registration.close();
    await this.#admission.close();
    await this.#configuration.close();
    await this.#seedPublisher.close();
    await this.#controlServer.close();
    this.#clients.close();
    await this.#membership.close();
    await this.#store.close();
    await this.#metrics.close();
    this.#log.write("info", "node_stopped", { node: this.#settings.nodeId });
  }

  /** Number of calls without a complete answer. */
  get callsInFlight(): number {
    return this.#callServer.inFlight;
  }

  /** Returns the highest version among the documents that the node holds. */
  configurationVersion(): number {
    return this.#replica.highestVersion();
  }

  /** Returns the live members in this node's view, itself included. */
  members(): readonly Member[] {
    return this.#membership.members().filter(isLive);
  }

  /**
   * Stops at once without notifying other nodes, as if the process were killed.
   * Calls in flight are aborted.
   */
  async abort(): Promise<void> {
    this.#gauges.close();
    this.#registration.close();
    await Promise.all([
      this.#callServer.abort(),
      this.#admission.close(),
      this.#membership.close(),
      this.#configuration.close(),
      this.#seedPublisher.close(),
      this.#controlServer.close(),
    ]);
    this.#clients.close();
    await this.#store.close();
    await this.#metrics.close();
  }

  // Requests that run on the local worker may make further calls through this
  // node, so the call port stays open until they have ended.
  async #waitForIdleWorker(): Promise<void> {
    const started = this.#clock.now();
    const end = started + this.#settings.timeouts.stopMs;
    while (this.#clock.now() < end) {
      const registered = this.#registration.current !== undefined;
      const leasesEnded = this.#clock.now() - started >= LEASE_EXPIRY_MS;
      if (!registered) return;
      if (leasesEnded && this.#admission.workerInUse() === 0) return;
      await this.#clock.sleep(STOP_POLL_INTERVAL_MS);
    }
  }

  // Waits for a promise, at most `timeouts.stopMs`.
  async #waitWithTimeout(closing: Promise<void>): Promise<void> {
    const timer = new AbortController();
    const timeout = this.#clock.sleep(
      this.#settings.timeouts.stopMs,
      timer.signal,
    );
    await Promise.race([closing, timeout]);
    timer.abort();
  }
}

type Compiler = ConstructorParameters<
  typeof ConfigurationReplica
>[0]["compile"];

// Passes the previous compiled policy to each compilation, so that unchanged
// documents are not parsed again.
function createCompiler(): Compiler {
  let previous: CompiledPolicy | undefined;
  return (documents) => previous = compilePolicy(documents, previous);
}
