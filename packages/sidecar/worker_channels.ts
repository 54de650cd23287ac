import {
  type LocalChannel,
  PeerChannel,
  type WorkerChannel,
} from "@oleanderdeck/calling";
import type { WorkerDirectory, WorkerRecord } from "@oleanderdeck/directory";
import type { Frame, HelloFrame, LoadReport } from "@oleanderdeck/hop";
import type { EventLog } from "@oleanderdeck/observability";

/**
 * Part of the repeats of a service that is kept from repeats of the services
 * above it, each of which may cost it several calls.
 */
const RESERVED_REPEAT_SHARE = 0.1;

/** Options of {@linkcode WorkerChannels}. */
export interface WorkerChannelsOptions {
  readonly directory: WorkerDirectory;
  /** Way to the worker of this host. */
  readonly local: LocalChannel;
  /** First frame for a peer. */
  readonly hello: () => HelloFrame;
  /** Takes frames that do not concern calls. */
  readonly onFrame: (frame: Frame, channel: PeerChannel) => void;
  readonly log: EventLog;
}

/** Ways to the workers of all services, opened when they are first used. */
export class WorkerChannels {
  readonly #options: WorkerChannelsOptions;
  readonly #peers = new Map<string, PeerChannel>();
  readonly #channelsByService = new Map<string, readonly WorkerChannel[]>();

  /** @param options Directory, own channel and receivers of events. */
  constructor(options: WorkerChannelsOptions) {
    this.#options = options;
    options.directory.onChange((node) => this.#onRecordChange(node));
  }

  /** Ways to the workers of a service. */
  ofService(service: string): readonly WorkerChannel[] {
    const known = this.#channelsByService.get(service);
    if (known !== undefined) return known;
    const { directory, local } = this.#options;
    const channels = directory.ofService(service).map((record) =>
      record.node === local.node ? local : this.#channelTo(record)
    );
    this.#channelsByService.set(service, channels);
    return channels;
  }

  /**
   * Overload that the calls of a route to a service reach, 0 to 1. A service
   * has room while one of its workers has.
   */
  pressureOf(service: string, route: string): number {
    let least = Infinity;
    for (const { load } of this.ofService(service)) {
      if (load === undefined || load.slots === 0) continue;
      least = Math.min(least, pressureFor(load, route));
    }
    return least === Infinity ? 0 : least;
  }

  /**
   * Whether the calls of a route to a service, or those that they lead to, would
   * find few repeats left.
   */
  isRepeatBudgetLow(service: string, route: string): boolean {
    const loads = this.ofService(service).flatMap(({ load }) =>
      load === undefined || load.slots === 0 ? [] : [load]
    );
    if (loads.length === 0) return false;
    const left = loads.map(({ repeatShare, unrepeatableRoutes }) =>
      unrepeatableRoutes.includes(route) ? 0 : repeatShare
    );
    const sum = left.reduce((total, share) => total + share, 0);
    return sum / loads.length < RESERVED_REPEAT_SHARE;
  }

  /** Opens the lost link to a peer that has shown that it runs. */
  reopen(node: string): void {
    this.#peers.get(node)?.reopen();
  }

  /** Sends a frame on all open links. */
  broadcast(frame: Frame): void {
    this.#peers.forEach((channel) => channel.send(frame));
  }

  /** Checks all links and opens lost ones again. */
  check(): void {
    this.#peers.forEach((channel) => {
      channel.check();
      if (!channel.isReachable) channel.open();
    });
  }

  /** Ends all links and the calls on them. */
  close(): void {
    this.#peers.forEach((channel) => channel.close());
  }

  #onRecordChange(node: string): void {
    this.#channelsByService.clear();
    const channel = this.#peers.get(node);
    if (channel?.matches(this.#options.directory.get(node)) !== false) return;
    this.#peers.delete(node);
    channel.close();
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
      hello,
      onFrame,
      onLinkStateChange: ({ isOpen, node, reason, lostCalls }) =>
        log.write("info", isOpen ? "link_opened" : "link_lost", {
          peer: node,
          reason,
          lost_calls: lostCalls,
        }),
    });
    this.#peers.set(node, channel);
    return channel;
  }
}

function pressureFor(load: LoadReport, route: string): number {
  const found = load.routePressures.find(([name]) => name === route);
  return found === undefined ? load.pressure : found[1];
}
