import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Clock } from "@oleanderdeck/settings";
import {
  type DatagramHandler,
  DatagramTransport,
} from "./datagram_transport.ts";

/** Behaviour of the links of a {@linkcode MemoryNetwork}. */
export interface LinkOptions {
  /** One-way delay in milliseconds. */
  readonly delayMs: number;
  /**
   * Maximum additional delay in milliseconds, uniformly distributed; it may
   * reorder datagrams.
   */
  readonly jitterMs: number;
  /** Share of datagrams that are lost, from 0 to 1. */
  readonly lossRate: number;
  /** Share of datagrams that arrive twice, from 0 to 1. */
  readonly duplicationRate: number;
}

/** Options of a {@linkcode MemoryNetwork}. */
export interface MemoryNetworkOptions {
  readonly clock: Clock;
  /** Source of loss, duplication and delay. */
  readonly random: RandomGenerator;
  /** Differences from the default of 1 ms delay without faults. */
  readonly link?: Partial<LinkOptions>;
}

/** Returns whether datagrams from one address reach another. */
export type Reachability = (from: string, to: string) => boolean;

const DEFAULT_LINK: LinkOptions = {
  delayMs: 1,
  jitterMs: 0,
  lossRate: 0,
  duplicationRate: 0,
};

const RATE_STEPS = 1_000_000;

/** In-memory network with seeded random faults, for tests. */
export class MemoryNetwork {
  readonly #clock: Clock;
  readonly #random: RandomGenerator;
  readonly #handlers = new Map<string, DatagramHandler>();
  readonly #pausedDeliveries = new Map<string, (() => void)[]>();
  #link: LinkOptions;
  #isReachable: Reachability = () => true;

  /** @param options Clock, random generator and behaviour of the links. */
  constructor(options: MemoryNetworkOptions) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#link = { ...DEFAULT_LINK, ...options.link };
  }

  /** Creates a transport with an address in this network. */
  transport(address: string): DatagramTransport {
    return new MemoryTransport(address, this);
  }

  /** Changes the behaviour of all links for datagrams that are sent from now on. */
  setLink(link: Partial<LinkOptions>): void {
    this.#link = { ...this.#link, ...link };
  }

  /** Sets which addresses reach each other, in place of the previous setting. */
  setReachability(isReachable: Reachability): void {
    this.#isReachable = isReachable;
  }

  /** Holds back the datagrams for an address, as for a paused process. */
  pause(address: string): void {
    this.#pausedDeliveries.set(address, []);
  }

  /** Delivers the datagrams that were held back. */
  resume(address: string): void {
    const deliveries = this.#pausedDeliveries.get(address) ?? [];
    this.#pausedDeliveries.delete(address);
    deliveries.forEach((deliver) => deliver());
  }

  /**
   * Delivers the datagrams for an address to a handler.
   *
   * @throws {Error} If the address is in use.
   */
  attach(address: string, handler: DatagramHandler): void {
    if (this.#handlers.has(address)) {
      throw new Error(`Address ${address} is in use`);
    }
    this.#handlers.set(address, handler);
  }

  /** Releases an address; datagrams in transit to it are lost. */
  detach(address: string): void {
    this.#handlers.delete(address);
  }

  /** Transmits a datagram, subject to the faults that are set. */
  transmit(from: string, to: string, bytes: Uint8Array): void {
    if (!this.#isReachable(from, to)) return;
    if (this.#drawsFault(this.#link.lossRate)) return;
    const copies = this.#drawsFault(this.#link.duplicationRate) ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      void this.#deliver(from, to, bytes.slice());
    }
  }

  async #deliver(from: string, to: string, bytes: Uint8Array): Promise<void> {
    const jitter = uniformInt(this.#random, 0, this.#link.jitterMs);
    await this.#clock.sleep(this.#link.delayMs + jitter);
    const deliver = () => this.#handlers.get(to)?.(bytes, from);
    const deliveries = this.#pausedDeliveries.get(to);
    if (deliveries === undefined) deliver();
    else deliveries.push(deliver);
  }

  #drawsFault(rate: number): boolean {
    return rate > 0 &&
      uniformInt(this.#random, 0, RATE_STEPS - 1) < rate * RATE_STEPS;
  }
}

class MemoryTransport extends DatagramTransport {
  readonly #address: string;
  readonly #network: MemoryNetwork;
  #isOpen = false;

  constructor(address: string, network: MemoryNetwork) {
    super();
    this.#address = address;
    this.#network = network;
  }

  // deno-lint-ignore require-await
  async open(handler: DatagramHandler): Promise<void> {
    this.#network.attach(this.#address, (bytes, from) => {
      this.countReceived(bytes.length);
      handler(bytes, from);
    });
    this.#isOpen = true;
  }

  address(): string {
    return this.#address;
  }

  send(address: string, bytes: Uint8Array): void {
    if (!this.#isOpen) return this.countSendError();
    this.countSent(bytes.length);
    this.#network.transmit(this.#address, address, bytes);
  }

  // deno-lint-ignore require-await
  async close(): Promise<void> {
    if (this.#isOpen) this.#network.detach(this.#address);
    this.#isOpen = false;
  }
}
