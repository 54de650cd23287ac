import { connect, createServer, type Server, type Socket } from "node:net";
import type {
  RecordChanges,
  RecordListing,
  WorkerRecord,
} from "@oleanderdeck/directory";
import {
  TestFleet,
  type TestFleetOptions,
  type TestHost,
} from "./_test_fleet.ts";
import { drawTestPort } from "./_test_ports.ts";
import { type TestStore, TestStoreClient } from "./_test_store.ts";

/**
 * Relay in front of a node's address for links. A test may delay all bytes and
 * ends, take them slowly, or stop all bytes of the open connections without closing
 * them.
 */
export class LinkProxy {
  /** Time that bytes and ends of a connection take, in milliseconds. */
  delayMs = 0;
  /** Bytes that each direction of a connection takes in a second. */
  bytesPerSecond = Infinity;
  /** Port on which the relay listens. */
  readonly port = drawTestPort();
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silent = new WeakSet<Socket>();

  /**
   * @param host Address on which both sides listen.
   * @param port Port of the node.
   */
  constructor(host: string, port: number) {
    this.#server = createServer({ allowHalfOpen: true }, (socket) => {
      const target = connect({ port, host, allowHalfOpen: true });
      this.#relay(socket, target);
      this.#relay(target, socket);
    });
  }

  /** Starts to listen. */
  listen(host: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.port, host, resolve);
    });
  }

  /** Relays nothing more on the connections that are open; new ones work. */
  silence(): void {
    this.#sockets.forEach((socket) => this.#silent.add(socket));
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #holdUp(from: Socket, bytes: number): void {
    if (this.bytesPerSecond === Infinity) return;
    from.pause();
    setTimeout(() => from.resume(), bytes / this.bytesPerSecond * 1_000);
  }

  #relay(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    const relay = (action: () => void) => {
      if (this.#silent.has(from)) return;
      if (this.delayMs === 0) return action();
      setTimeout(action, this.delayMs);
    };
    from.setNoDelay(true);
    from.on("data", (bytes) => {
      relay(() => to.writable && to.write(bytes));
      this.#holdUp(from, bytes.length);
    });
    from.on("end", () => relay(() => to.end()));
    from.on("error", () => from.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      relay(() => to.destroy());
    });
  }
}

/** Client of the store that names the proxies in place of the nodes. */
class ProxiedStoreClient extends TestStoreClient {
  readonly #addresses: ReadonlyMap<string, string>;

  constructor(
    store: TestStore,
    node: string,
    addresses: ReadonlyMap<string, string>,
  ) {
    super(store, node);
    this.#addresses = addresses;
  }

  override async listRecords(): Promise<RecordListing> {
    const listing = await super.listRecords();
    return {
      ...listing,
      records: listing.records.map(({ record, revision }) => ({
        record: this.#proxied(record),
        revision,
      })),
    };
  }

  override async watchRecords(
    revision: number,
    waitMs: number,
  ): Promise<RecordChanges> {
    const changes = await super.watchRecords(revision, waitMs);
    if (changes.isHistoryGone) return changes;
    return {
      ...changes,
      changes: changes.changes.map((change) => ({
        ...change,
        record: change.record && this.#proxied(change.record),
      })),
    };
  }

  #proxied(record: WorkerRecord): WorkerRecord {
    return {
      ...record,
      address: this.#addresses.get(record.node) ?? record.address,
    };
  }
}

/** Fleet whose nodes reach each other through relays. */
export interface ProxiedFleet {
  readonly fleet: TestFleet;
  /** Relays in front of the nodes, in the order in which these were added. */
  readonly proxies: readonly LinkProxy[];
  /**
   * Adds a host with a relay. The relay is known before another node that is added
   * later reads the record of the host.
   */
  readonly add: (
    name: string,
    service: string,
    options: { readonly delayMs?: number; readonly slots?: number },
  ) => Promise<TestHost>;
  /** Stops all nodes and relays. */
  readonly close: () => Promise<void>;
}

/** Makes a fleet without hosts whose nodes reach each other through relays. */
export function makeProxiedFleet(
  options: Omit<TestFleetOptions, "storeOf"> = {},
): ProxiedFleet {
  const addresses = new Map<string, string>();
  const proxies: LinkProxy[] = [];
  const fleet = new TestFleet({
    ...options,
    storeOf: (node) => new ProxiedStoreClient(fleet.store, node, addresses),
  });
  return {
    fleet,
    proxies,
    add: async (name, service, { delayMs = 0, slots = 4 }) => {
      const host = await fleet.add(name, service, { slots });
      const proxy = new LinkProxy(host.address, host.linkPort);
      proxy.delayMs = delayMs;
      await proxy.listen(host.address);
      addresses.set(name, `${host.address}:${proxy.port}`);
      proxies.push(proxy);
      return host;
    },
    close: async () => {
      await fleet.close();
      proxies.forEach((proxy) => proxy.close());
    },
  };
}
