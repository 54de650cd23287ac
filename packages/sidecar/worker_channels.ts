import {
  type LocalChannel,
  PeerChannel,
  type WorkerChannel,
  WorkerStatements,
  WorkerSubset,
} from "@oleanderdeck/calling";
import type { WorkerDirectory, WorkerRecord } from "@oleanderdeck/directory";
import type {
  AdmissionShare,
  Frame,
  HelloFrame,
  LoadReport,
} from "@oleanderdeck/hop";
import type { EventLog } from "@oleanderdeck/observability";
import type { MemoryAccount } from "@oleanderdeck/serving";
import { AdmissionCache } from "./_admission_cache.ts";
import { admissionOfLoads, pressureOfLoads, sumOf } from "./service_loads.ts";

/**
 * Share of the repeat budget of a service below which requests that lead to
 * calls of it are not repeated. Each repeat of a calling service may cost the
 * called one several repeats.
 */
const RESERVED_REPEAT_SHARE = 0.1;

/** Least protocol revision of a node that knows proofs and quotas. */
const PROOF_REVISION = 1;

/** Options of {@linkcode WorkerChannels}. */
export interface WorkerChannelsOptions {
  readonly directory: WorkerDirectory;
  /** Channel to the worker of this host. */
  readonly local: LocalChannel;
  /** Returns the first frame for a new link. */
  readonly hello: () => HelloFrame;
  /** Account of the memory for answers. */
  readonly account: MemoryAccount;
  /** Handles frames that do not belong to calls. */
  readonly onFrame: (frame: Frame, channel: PeerChannel) => void;
  readonly log: EventLog;
}

/** Channels to the workers of all services. A link is opened at its first use. */
export class WorkerChannels {
  readonly #options: WorkerChannelsOptions;
  readonly #peers = new Map<string, PeerChannel>();
  /** Channels that no record matches any more, which finish their last calls. */
  readonly #retired = new Set<PeerChannel>();
  readonly #statements = new WorkerStatements();
  readonly #subset: WorkerSubset;
  readonly #channelsByService = new Map<string, readonly WorkerChannel[]>();
  readonly #admissions = new AdmissionCache((service, route) =>
    this.#admissionOf(service, route, false)
  );

  /** @param options Directory, local channel and handlers of frames. */
  constructor(options: WorkerChannelsOptions) {
    this.#options = options;
    this.#subset = new WorkerSubset(options.local);
    options.directory.onChange((node) => this.#onRecordChange(node));
  }

  /**
   * Returns the channels to the workers of a service that this node calls; see
   * {@linkcode WorkerSubset}.
   */
  ofService(service: string): readonly WorkerChannel[] {
    const known = this.#channelsByService.get(service);
    if (known !== undefined) return known;
    const { directory, local } = this.#options;
    const records = this.#subset.choose(directory.ofService(service));
    const channels = records.map((record) =>
      record.node === local.node ? local : this.#channelTo(record)
    );
    this.#channelsByService.set(service, channels);
    return channels;
  }

  /**
   * Returns the pressure (overload) that calls of a route to a service reach, 0
   * to 1; see {@linkcode pressureOfLoads}.
   */
  pressureOf(service: string, route: string): number {
    return pressureOfLoads(this.#loadsOf(service), route);
  }

  /**
   * Returns the shares that a service, and the services that nested calls of a route
   * to it reach, admit of the requests that lead to these calls; see
   * {@linkcode admissionOfLoads}.
   */
  admissionOf(
    service: string,
    route: string,
  ): readonly AdmissionShare[] | undefined {
    return this.#admissionOf(service, route, true);
  }

  #admissionOf(
    service: string,
    route: string,
    isNested: boolean,
  ): readonly AdmissionShare[] | undefined {
    const loads = this.ofService(service).flatMap(({ isReachable, load }) =>
      load === undefined || load.slots === 0 || !isReachable ? [] : [load]
    );
    return admissionOfLoads(loads, route, isNested);
  }

  /**
   * Returns the share to admit of the requests of a priority that begin chains
   * with a route; undefined if it is to be derived from the pressure. The result
   * may be some hundredths of a second old.
   */
  admittedShare(
    service: string,
    route: string,
    priority: number,
  ): number | undefined {
    return this.#admissions.shareOf(
      { service, route, priority },
      performance.now(),
    );
  }

  /**
   * Whether calls of a route to a service would find little of the repeat budget
   * left, at the service or at one that the route's own calls reach.
   */
  isRepeatBudgetLow(service: string, route: string): boolean {
    const loads = this.#loadsOf(service);
    if (loads.length === 0) return false;
    const unused = sumOf(
      loads,
      ({ repeatShare, unrepeatableRoutes }) =>
        unrepeatableRoutes.includes(route) ? 0 : repeatShare,
    );
    return unused / loads.length < RESERVED_REPEAT_SHARE;
  }

  // Load reports of the workers that accept calls, as far as there are any.
  #loadsOf(service: string): readonly LoadReport[] {
    return this.ofService(service).flatMap(({ load }) =>
      load === undefined || load.slots === 0 ? [] : [load]
    );
  }

  /**
   * Reopens the lost link to a peer that is known to run.
   *
   * @param node Node of the peer.
   */
  reopen(node: string): void {
    this.#peers.get(node)?.reopen();
  }

  /**
   * Opens the links to the nodes with the given names that have a record.
   *
   * @param nodes Names of other nodes.
   */
  openTo(nodes: readonly string[]): void {
    const { directory, local } = this.#options;
    nodes.filter((node) => node !== local.node).forEach((node) => {
      const record = directory.get(node);
      if (record !== undefined) this.#channelTo(record).open();
    });
  }

  /** Whether there is a link to a node on which it answers requests for proofs. */
  isLinkedTo(node: string): boolean {
    const revision = this.#peers.get(node)?.protocolRevision ?? 0;
    return revision >= PROOF_REVISION;
  }

  /**
   * Sends a frame on the link to a node; drops it if there is none, or if the node
   * is of a release that may not know the kind of the frame.
   */
  sendTo(node: string, frame: Frame): void {
    if (this.isLinkedTo(node)) this.#peers.get(node)?.send(frame);
  }

  /** Sends a frame on all open links. */
  broadcast(frame: Frame): void {
    this.#peers.forEach((channel) => channel.send(frame));
  }

  /** Checks all links and reopens lost ones. */
  check(): void {
    this.#retired.forEach((channel) => {
      channel.check();
      if (channel.isClosed) this.#retired.delete(channel);
    });
    this.#peers.forEach((channel) => {
      channel.check();
      if (!channel.isReachable) channel.open();
    });
  }

  /** Closes all links, which ends the calls on them. */
  close(): void {
    this.#peers.forEach((channel) => channel.close());
    this.#retired.forEach((channel) => channel.close());
  }

  #onRecordChange(node: string): void {
    this.#channelsByService.clear();
    const channel = this.#peers.get(node);
    const record = this.#options.directory.get(node);
    if (channel?.matches(record) !== false) return;
    this.#peers.delete(node);
    // The worker finishes the calls that it has received, also before it leaves.
    this.#retired.add(channel);
    channel.retire();
  }

  #channelTo(
    { node, address, dataCentre, service }: WorkerRecord,
  ): PeerChannel {
    const known = this.#peers.get(node);
    if (known !== undefined) return known;
    const { hello, log, onFrame } = this.#options;
    const channel = new PeerChannel({
      node,
      address,
      dataCentre,
      service,
      statements: this.#statements,
      account: this.#options.account,
      hello,
      onFrame,
      onLinkStateChange: (
        { isOpen, node, reason, lostCalls = 0, claimedCalls = 0 },
      ) =>
        log.write("info", isOpen ? "link_opened" : "link_lost", {
          peer: node,
          reason,
          lost_calls: lostCalls,
          claimed_calls: claimedCalls,
        }),
    });
    this.#peers.set(node, channel);
    return channel;
  }
}
