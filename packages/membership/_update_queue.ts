import type { Member } from "@oleanderdeck/protocol";
import { compareRecords, encodeMember } from "./_member_record.ts";

interface QueuedUpdate {
  readonly record: Member;
  readonly bytes: Uint8Array;
  readonly queuedMs: number;
  timesSent: number;
}

/** Bytes that frame an update in a datagram: a tag and a length. */
export const UPDATE_FRAMING_BYTES = 3;

const MIN_UPDATE_BYTES = 20;

/**
 * Updates that still have to be sent to peers, those that were sent the fewest
 * times first. There is at most one update per node, the newest.
 */
export class UpdateQueue {
  /** In the order in which they were queued. */
  readonly #updates = new Map<string, QueuedUpdate>();
  // Node ids by number of times sent, so that selection needs no sorting of the
  // whole queue, which holds thousands of updates after a partition.
  readonly #levels: Set<string>[] = [];

  /** Number of updates. */
  get size(): number {
    return this.#updates.size;
  }

  /** Replaces the update about a node by a new one. */
  put(record: Member, nowMs: number): void {
    this.#remove(record.nodeId);
    this.#updates.set(record.nodeId, {
      record,
      bytes: encodeMember(record),
      queuedMs: nowMs,
      timesSent: 0,
    });
    this.#level(0).add(record.nodeId);
  }

  /**
   * Counts an update that a peer sent as if it had been sent to that peer. This
   * halves the traffic of a change, since towards the end most peers know it.
   */
  countReceived(record: Member): void {
    const update = this.#updates.get(record.nodeId);
    if (update === undefined) return;
    if (compareRecords(record, update.record) === 0) {
      this.#countSent(record.nodeId, update);
    }
  }

  /** Drops updates that were queued before a time. */
  dropOlderThan(limitMs: number): void {
    for (const [nodeId, update] of this.#updates) {
      if (update.queuedMs >= limitMs) return;
      this.#remove(nodeId);
    }
  }

  /**
   * Takes encoded updates for one datagram, and drops those that were sent often
   * enough.
   *
   * @param capacityBytes Room for the updates and their framing.
   * @param timesToSend Updates are dropped after they were sent so many times.
   */
  take(capacityBytes: number, timesToSend: number): Uint8Array[] {
    const taken: [string, QueuedUpdate][] = [];
    let remainingBytes = capacityBytes;
    for (const [timesSent, level] of this.#levels.entries()) {
      if (remainingBytes < MIN_UPDATE_BYTES) break;
      // Among updates that were not sent yet, the newest is the most urgent; the
      // older ones wait because there are too many.
      const nodeIds = timesSent === 0 ? [...level].reverse() : level;
      for (const nodeId of nodeIds) {
        if (remainingBytes < MIN_UPDATE_BYTES) break;
        const update = this.#updates.get(nodeId)!;
        if (timesSent >= timesToSend) {
          this.#remove(nodeId);
          continue;
        }
        const size = update.bytes.length + UPDATE_FRAMING_BYTES;
        if (size > remainingBytes) continue;
        remainingBytes -= size;
        taken.push([nodeId, update]);
      }
    }
    taken.forEach(([nodeId, update]) => this.#countSent(nodeId, update));
    return taken.map(([, update]) => update.bytes);
  }

  #countSent(nodeId: string, update: QueuedUpdate): void {
    this.#level(update.timesSent).delete(nodeId);
    update.timesSent += 1;
    this.#level(update.timesSent).add(nodeId);
  }

  #remove(nodeId: string): void {
    const update = this.#updates.get(nodeId);
    if (update === undefined) return;
    this.#updates.delete(nodeId);
    this.#level(update.timesSent).delete(nodeId);
  }

  #level(timesSent: number): Set<string> {
    return this.#levels[timesSent] ??= new Set();
  }
}
