// Stand-in for a fleet of the full size: sockets that acknowledge pings as live
// members do, and send one member the datagrams that it would receive from them.
import { createSocket, type Socket } from "node:dgram";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type PeerKeys, SIGNATURE_BYTES } from "@oleanderdeck/membership";
import {
  AcknowledgementSchema,
  type Datagram,
  DatagramSchema,
  DigestSchema,
  type Member,
  PingSchema,
} from "@oleanderdeck/protocol";
import { benchRecord } from "./control_process.ts";

const PROBE_INTERVAL_MS = 1000;
const DIGEST_INTERVAL_MS = 30_000;

/** Period over which the copies of an update arrive. */
const UPDATE_SPREAD_MS = 2500;

/** A member receives 3·log2(n) copies of each update in a fleet of n members. */
const COPIES_PER_DOUBLING = 3;

/** Sockets that stand in for all other members of a fleet. */
export class StandInFleet {
  readonly #keys: PeerKeys;
  #sockets: Socket[] = [];
  #records: Member[] = [];
  #timers: NodeJS.Timeout[] = [];
  #sequence = 0;
  #updateCount = 0;

  constructor(keys: PeerKeys) {
    this.#keys = keys;
  }

  /** Opens the sockets and returns their ports. */
  async open(count: number): Promise<readonly number[]> {
    this.#sockets = await Promise.all(
      Array.from({ length: count }, (_, index) => this.#openSocket(index)),
    );
    const ports = this.#sockets.map((socket) => socket.address().port);
    this.#records = ports.map(benchRecord);
    return ports;
  }

  /**
   * Starts to send pings, digests and updates to a member, in place of earlier
   * traffic.
   */
  startTraffic(address: string, updatesPerSecond: number): void {
    this.#timers.forEach((timer) => clearInterval(timer));
    const port = Number(address.split(":")[1]);
    const every = (intervalMs: number, action: () => void) =>
      this.#timers.push(setInterval(action, intervalMs));
    this.#timers = [];
    every(PROBE_INTERVAL_MS, () =>
      this.#send(this.#randomIndex(), port, {
        body: { case: "ping", value: create(PingSchema) },
      }));
    every(DIGEST_INTERVAL_MS, () =>
      this.#send(this.#randomIndex(), port, {
        body: {
          case: "digest",
          value: create(DigestSchema, { documents: 1n }),
        },
      }));
    if (updatesPerSecond > 0) {
      every(1000 / updatesPerSecond, () => this.#sendUpdate(port));
    }
  }

  /** Sends the copies of one update of a record, at random times. */
  #sendUpdate(port: number): void {
    this.#updateCount += 1;
    const index = this.#updateCount % this.#records.length;
    const revision = (this.#updateCount + 1) << 16;
    const record = { ...this.#records[index]!, revision };
    const copies = COPIES_PER_DOUBLING * Math.log2(this.#records.length);
    for (let copy = 0; copy < copies; copy++) {
      setTimeout(
        () => this.#send(this.#randomIndex(), port, { updates: [record] }),
        Math.random() * UPDATE_SPREAD_MS,
      );
    }
  }

  #openSocket(index: number): Promise<Socket> {
    const socket = createSocket("udp4");
    socket.on("message", (bytes, from) => {
      const datagram = fromBinary(
        DatagramSchema,
        bytes.subarray(SIGNATURE_BYTES),
      );
      if (datagram.body.case !== "ping") return;
      const value = create(AcknowledgementSchema, {
        sequence: datagram.sequence,
      });
      this.#send(index, from.port, {
        body: { case: "acknowledgement", value },
      });
    });
    return new Promise((resolve) =>
      socket.bind(0, "127.0.0.1", () => resolve(socket))
    );
  }

  #send(
    index: number,
    port: number,
    content: Partial<Pick<Datagram, "body" | "updates">>,
  ): void {
    this.#sequence += 1;
    const message = toBinary(
      DatagramSchema,
      create(DatagramSchema, {
        sender: this.#records[index]!.nodeId,
        sequence: this.#sequence,
        ...content,
      }),
    );
    const signature = this.#keys.sign("datagram", message);
    this.#sockets[index]!.send([signature, message], port, "127.0.0.1");
  }

  /** Returns the index of a random member of the stand-in fleet. */
  #randomIndex(): number {
    return Math.floor(Math.random() * this.#records.length);
  }
}
