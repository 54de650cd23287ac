import { randomUUID } from "node:crypto";
import {
  CallerProxy,
  LocalChannel,
  type RoutingQuery,
  USUAL_CLIENT_LIMITS,
} from "@oleanderdeck/calling";
import {
  ConfigurationHolder,
  type PlatformStore,
  WorkerDirectory,
} from "@oleanderdeck/directory";
import {
  type Frame,
  type HelloFrame,
  PROTOCOL_REVISION,
} from "@oleanderdeck/hop";
import type { EventLog, MetricsRegistry } from "@oleanderdeck/observability";
import {
  type HeaderNames,
  MemoryAccount,
  type MemoryLimits,
  memoryLimits,
  type StopTimes,
  WorkerConnections,
  WorkerGate,
  type WorkerHeartbeat,
} from "@oleanderdeck/serving";
import { addNodeGauges } from "./_node_gauges.ts";
import { endTimes } from "./_stop_times.ts";
import { FleetRepeatLimit } from "./fleet_repeat_limit.ts";
import { type FrameSink, PeerStateSync } from "./peer_state_sync.ts";
import { MemoryReturn } from "./_memory_return.ts";
import { LocalWorker } from "./local_worker.ts";
import { LoadReporter } from "./load_reporter.ts";
import { NodeStop, type WorkUnderWay } from "./node_stop.ts";
import { PeerServer } from "./peer_server.ts";
import { NodeQuotas } from "./node_quotas.ts";
import {
  explainRequestAt,
  type RequestExplanation,
} from "./request_explanation.ts";
import type { RequestObserver } from "./request_observer.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";
import { PROPAGATION_MS } from "./record_sync.ts";
import { StoreSync } from "./store_sync.ts";
import { WorkerChannels } from "./worker_channels.ts";

/** Interval of the checks of links, load and worker, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Checks after which a node that watches the store announces it again. */
const CHECKS_PER_ANNOUNCEMENT = 2;

/**
 * Time in which announcements of a new version arrive, before a node that does
 * not follow the store passes it on, in milliseconds.
 */
const HEARING_MS = 100;

/** Announcements of a version after which a node does not pass it on as well. */
const ENOUGH_ANNOUNCEMENTS = 2;

/** Interval at which the repeats at the worker are logged, in milliseconds. */
const REPEATS_REPORT_INTERVAL_MS = 1_000;

/** Options of {@linkcode SidecarNode}. */
export interface SidecarNodeOptions {
  readonly settings: SidecarSettings;
  /** Names of the headers that the node reads and writes. */
  readonly headerNames: HeaderNames;
  /** Platform's store of worker records and configuration. */
  readonly store: PlatformStore;
  readonly log: EventLog;
  /** Registry to which the gauges of the node are added. */
  readonly metrics?: MetricsRegistry;
  /** Start of the process as of `performance.now()`; now if omitted. */
  readonly processStartedAt?: number;
  /** Receives the decisions about requests. */
  readonly observer?: RequestObserver;
  /** Called with an unexpected error, which ends the request it belongs to. */
  readonly onUnexpectedError: (error: unknown) => void;
}

/**
 * Node beside one worker. It accepts the requests of callers on its host,
 * forwards them to the nodes beside the workers that run them, and passes calls
 * to the worker of its host, which is reachable through this node only.
 */
export class SidecarNode {
  readonly #options: SidecarNodeOptions;
  /** Identity of this node among those started on its host. */
  readonly #processId = randomUUID();
  readonly #directory = new WorkerDirectory();
  readonly #configuration = new ConfigurationHolder();
  readonly #account = new MemoryAccount(() => this.#memoryLimits);
  readonly #memoryReturn = new MemoryReturn(this.#account);
  #memoryLimits: MemoryLimits;
  readonly #worker: LocalWorker;
  readonly #connections: WorkerConnections;
  readonly #repeatLimit: FleetRepeatLimit;
  readonly #gate: WorkerGate;
  readonly #callerProxy: CallerProxy;
  readonly #peerServer: PeerServer;
  readonly #storeSync: StoreSync;
  readonly #channels: WorkerChannels;
  readonly #peerStateSync: PeerStateSync;
  readonly #reporter: LoadReporter;
  readonly #quotas: NodeQuotas;
  readonly #stop: NodeStop;
  #settings: SidecarSettings;
  #checkTimer: NodeJS.Timeout | undefined;
  #reportTimer: NodeJS.Timeout | undefined;
  /** Number of checks since the start. */
  #checks = 0;

  /** @param options Settings, header names, store and log. */
  constructor(options: SidecarNodeOptions) {
    this.#options = options;
    const { headerNames, store, log, settings } = options;
    this.#settings = settings;
    this.#memoryLimits = memoryLimits(settings.memoryMb * 1024 * 1024);
    this.#worker = new LocalWorker({
      settings: () => this.#settings,
      processStartedAt: options.processStartedAt ?? performance.now(),
      records: () => this.#storeSync.records,
      log,
      onReplaced: () => this.#connections.closeIdle(),
    });
    this.#repeatLimit = new FleetRepeatLimit({
      settings: () => this.#settings,
      directory: this.#directory,
      hasFreshRecords: () => this.#storeSync.records.hasFreshRecords,
      propagationMs: PROPAGATION_MS,
    });
    this.#connections = new WorkerConnections({
      address: settings.workerAddress,
      names: headerNames,
      account: this.#account,
    });
    this.#gate = new WorkerGate({
      tracker: this.#worker.tracker,
      connections: this.#connections,
      names: headerNames,
      repeats: this.#repeatLimit.budget,
      ...(options.observer && { observer: options.observer }),
    });
    this.#reporter = new LoadReporter({
      gate: this.#gate,
      channels: () => this.#channels,
      onLimitingChanged: ({ isLimiting, shares }) =>
        log.write("info", isLimiting ? "chains_limited" : "chains_unlimited", {
          service: settings.service,
          shares: shares.map((entry) => entry.join(":")).join(" "),
        }),
    });
    this.#peerStateSync = new PeerStateSync({
      configuration: this.#configuration,
      directory: this.#directory,
      isFollowing: () => this.#storeSync.configuration.isFollowing,
      isStoreUnavailable: () => this.#isStoreUnavailable,
    });
    this.#channels = new WorkerChannels({
      directory: this.#directory,
      local: new LocalChannel({
        node: settings.node,
        dataCentre: settings.dataCentre,
        gate: this.#gate,
        load: () => this.#reporter.load,
      }),
      hello: () => this.#hello(),
      account: this.#account,
      onFrame: (frame, channel) => this.#receive(frame, channel),
      log,
    });
    this.#quotas = new NodeQuotas({
      settings,
      directory: this.#directory,
      configuration: this.#configuration,
      elected: () => this.#storeSync.watchers.elected,
      hasListedRecords: () => this.#storeSync.records.hasListed,
      send: (node, frame) => this.#channels.sendTo(node, frame),
      log,
      ...(options.metrics && { metrics: options.metrics }),
    });
    const onListenerError = (error: Error) =>
      log.write("error", "listener_failed", { reason: error.message });
    this.#peerServer = new PeerServer({
      onListenerError,
      service: settings.service,
      gate: this.#gate,
      account: this.#account,
      hello: () => this.#hello(),
      load: () => this.#reporter.load,
      onFrame: (frame, link) => this.#receive(frame, link),
      ...(options.observer && { observer: options.observer }),
    });
    this.#callerProxy = new CallerProxy({
      onListenerError,
      onUnexpectedError: options.onUnexpectedError,
      names: headerNames,
      callerService: settings.service,
      dataCentre: settings.dataCentre,
      configuration: this.#configuration,
      channels: (service) => this.#channels.ofService(service),
      pressureOf: (service, route) => this.#channels.pressureOf(service, route),
      admittedShare: (service, route, priority) =>
        this.#channels.admittedShare(service, route, priority),
      onNestedCall: (call) => this.#reporter.recordCall(call),
      account: this.#account,
      parentRequestOf: (requestId) => this.#gate.parentRequestOf(requestId),
      onRefusedBelow: (request) => this.#gate.markRefusedBelow(request),
      isConfigurationPossiblyOutdated: (usesCredential) =>
        this.#isStoreUnavailable ||
        usesCredential === true && !this.#storeSync.mayUseCredentials,
      ...(settings.revocation && {
        mayUseCredentials: () => this.#storeSync.mayUseCredentials,
      }),
      isConfigurationUnconfirmed: () => !this.#isConfigurationConfirmed,
      clientLimits: () => this.#settings.clientLimits ?? USUAL_CLIENT_LIMITS,
      quota: this.#quotas.exchange,
      ...(options.observer && { observer: options.observer }),
    });
    this.#storeSync = new StoreSync({
      store,
      directory: this.#directory,
      configuration: this.#configuration,
      log,
      node: settings.node,
      ...(settings.revocation && {
        proofs: {
          ...settings.revocation,
          isFirstStart: settings.isFirstStart ?? false,
          links: () => this.#channels,
        },
      }),
      onOwnRecord: (record) => this.#worker.adoptRecord(record),
      onOwnDeparture: (departure) =>
        this.#worker.tracker.learnDeparture(departure),
    });
    this.#stop = new NodeStop({
      settings: () => this.#settings,
      callerProxy: this.#callerProxy,
      worker: this.#worker,
      gate: this.#gate,
      peerServer: this.#peerServer,
      log,
      close: (times) => this.#close(times),
    });
    if (options.metrics !== undefined) {
      addNodeGauges(options.metrics, {
        reporter: this.#reporter,
        repeats: this.#repeatLimit.budget,
        storeSync: this.#storeSync,
        configuration: this.#configuration,
      });
    }
    this.#worker.tracker.onChange(() => this.#peerServer.sendChangedLoad());
    this.#configuration.onChange(({ version }, source) => {
      log.write("info", "configuration_taken", {
        version,
        source,
        announced_ms: Math.round(this.#peerStateSync.sinceAnnounced(version)),
        store_silent_ms: Math.round(this.#storeSync.availability.silentMs),
      });
      if (this.#storeSync.configuration.isFollowing) this.#announceVersion();
      else this.#announceIfUnheard(version);
    });
  }

  /**
   * Whether callers may send requests to this node: it has a configuration and is
   * not stopping.
   */
  get isReady(): boolean {
    return !this.#stop.hasBegun && this.#configuration.version > 0;
  }

  /** Version of the current configuration; 0 if there is none. */
  get configurationVersion(): number {
    return this.#configuration.version;
  }

  /**
   * Starts to accept requests of callers and links of other nodes.
   *
   * @throws {Error} If an address of the settings cannot be listened on.
   */
  async start(): Promise<void> {
    const { callAddress, linkAddress, node, service } = this.#options.settings;
    this.#storeSync.start();
    await this.#peerServer.listen(linkAddress);
    await this.#callerProxy.listen(callAddress.host, callAddress.port);
    this.#checkTimer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    const { observer } = this.#options;
    this.#reportTimer = setInterval(
      () => observer?.logRepeatCounts(),
      REPEATS_REPORT_INTERVAL_MS,
    );
    this.#options.log.write("info", "node_started", { node, service });
  }

  /** Handles a heartbeat of the worker; see {@linkcode LocalWorker}. */
  handleHeartbeat(heartbeat: WorkerHeartbeat): Promise<boolean> {
    return this.#worker.handleHeartbeat(heartbeat);
  }

  /** Handles the leaving of the worker; see {@linkcode LocalWorker}. */
  handleDeregistration(workerId: string, startedAt?: number): Promise<void> {
    return this.#worker.handleDeregistration(workerId, startedAt);
  }

  /**
   * Applies changed settings. Changed names and addresses take effect after a
   * restart only.
   */
  applySettings(settings: SidecarSettings): void {
    const {
      node,
      dataCentre,
      service,
      workerAddress,
      callAddress,
      linkAddress,
    } = this.#options.settings;
    this.#settings = {
      ...settings,
      node,
      dataCentre,
      service,
      workerAddress,
      callAddress,
      linkAddress,
    };
    this.#memoryLimits = memoryLimits(settings.memoryMb * 1024 * 1024);
  }

  /** Explains where a request would go now, and why; nothing is sent. */
  explain(query: RoutingQuery): RequestExplanation {
    const { dataCentre, node } = this.#options.settings;
    return explainRequestAt(query, {
      node,
      dataCentre,
      configuration: this.#configuration,
      channels: this.#channels,
      storeSync: this.#storeSync,
      quotas: this.#quotas.exchange,
    });
  }

  /** Work that the node has accepted and not finished. */
  get workUnderWay(): WorkUnderWay {
    return this.#stop.workUnderWay;
  }

  /**
   * Stops the node: finishes the work in progress within the grace period of the
   * settings and closes all connections. Resolves when they are closed, also if
   * the stop was already under way.
   */
  stop(): Promise<void> {
    return this.#stop.run();
  }

  async #close(times: StopTimes): Promise<void> {
    clearInterval(this.#checkTimer);
    clearInterval(this.#reportTimer);
    const endings = endTimes(times);
    await Promise.all([
      this.#callerProxy.end(endings),
      this.#peerServer.end(endings),
    ]);
    // The worker of this host may leave until the end, and is told that it may.
    this.#storeSync.close();
    this.#quotas.close();
    this.#channels.close();
    this.#connections.close();
  }

  get #isStoreUnavailable(): boolean {
    return this.#storeSync.availability.isUnavailable;
  }

  // After a start or a frozen time nothing is known until the store or a node
  // that follows it was heard.
  get #isConfigurationConfirmed(): boolean {
    const { configuration, watchers } = this.#storeSync;
    return (configuration.isFollowing || watchers.isAnnounced) &&
      !this.#peerStateSync.isBehind;
  }

  #hello(): HelloFrame {
    const { node, service } = this.#options.settings;
    return {
      kind: "hello",
      node,
      service,
      configurationVersion: this.#configuration.version,
      load: this.#reporter.load,
      processId: this.#processId,
      protocolRevision: PROTOCOL_REVISION,
    };
  }

  #receive(frame: Frame, peer: FrameSink): void {
    this.#quotas.receive(frame, peer);
    switch (frame.kind) {
      case "hello":
        this.#channels.reopen(frame.node);
        this.#storeSync.recordVersion(frame);
        return this.#peerStateSync.requestIfNewer(frame, peer);
      case "version":
        this.#storeSync.recordVersion(frame);
        return this.#peerStateSync.requestIfNewer(frame, peer);
      case "proof_request": {
        const proof = this.#storeSync.freshness?.answer(frame);
        if (proof !== undefined) peer.send(proof);
        return;
      }
      case "proof":
        this.#storeSync.freshness?.receive(frame);
        return this.#peerStateSync.requestIfNewer(frame, peer);
      case "configuration_request":
        return this.#peerStateSync.sendConfiguration(peer);
      case "configuration":
        return this.#peerStateSync.applyConfiguration(frame.body);
      case "knowledge_request":
        return this.#peerStateSync.sendState(peer);
      case "knowledge":
        return this.#peerStateSync.applyState(frame.body);
    }
  }

  #announceVersion(): void {
    const { announcement } = this.#peerStateSync;
    this.#peerServer.broadcast(announcement);
    this.#channels.broadcast(announcement);
  }

  // The nodes that follow the store announce each version at once. Where they
  // cannot reach it, those which have the version by other ways pass it on.
  #announceIfUnheard(version: number): void {
    setTimeout(() => {
      const heard = this.#peerStateSync.announcementsOf(version);
      const isCurrent = this.#configuration.version === version;
      if (isCurrent && heard < ENOUGH_ANNOUNCEMENTS) this.#announceVersion();
    }, HEARING_MS * (1 + Math.random())).unref();
  }

  #check(): void {
    this.#worker.check(this.#gate.sinceAnswerMs);
    this.#connections.abortOversizedAnswers();
    this.#memoryReturn.check();
    this.#repeatLimit.updateWorkerCount();
    this.#reporter.update();
    this.#peerServer.check();
    this.#peerServer.sendChangedLoad();
    this.#channels.check();
    this.#followConfiguration();
    this.#quotas.update();
  }

  #followConfiguration(): void {
    const { configuration, watchers } = this.#storeSync;
    configuration.update();
    this.#channels.openTo(watchers.elected);
    this.#storeSync.freshness?.check();
    this.#checks++;
    if (
      configuration.isFollowing &&
      this.#checks % CHECKS_PER_ANNOUNCEMENT === 0
    ) this.#peerServer.broadcast(this.#peerStateSync.announcement);
  }
}
