import type { Member } from "@oleanderdeck/protocol";
import { compareRecords, encodeMember } from "./_member_record.ts";

interface QueuedUpdate {
  readonly record: Member;
  readonly bytes: Uint8Array;
  readonly queuedMs: number;
  timesSent: number;
}

/** Bytes of the tag and the length of an update in a datagram. */
export const UPDATE_FRAMING_BYTES = 3;

const MIN_UPDATE_BYTES = 20;

/**
 * Queue of updates to send to peers. Updates that were sent the fewest times come
 * first. There is one update per node at most, the newest.
 */
export class UpdateQueue {
  /** Updates by node id, in the order in which they were queued. */
  readonly #updates = new Map<string, QueuedUpdate>();
  // Node ids by number of times sent. This avoids sorting the queue, which has
  // thousands of updates after a partition.
  readonly #levels: Set<string>[] = [];

  /** Number of queued updates. */
  get size(): number {
    return this.#updates.size;
  }

  /** Queues an update, in place of an earlier one for the same node. */
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
   * Counts an update that a peer has sent as sent to that peer. This halves the
   * traffic of a change, since most peers already have it after some rounds.
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
   * Returns encoded updates for one datagram and counts them as sent. Drops those
   * that were sent often enough.
   *
   * @param capacityBytes Space for the updates and their framing, in bytes.
   * @param timesToSend Number of sends after which an update is dropped.
   */
  take(capacityBytes: number, timesToSend: number): Uint8Array[] {
    const taken: [string, QueuedUpdate][] = [];
    let remainingBytes = capacityBytes;
    for (const [timesSent, level] of this.#levels.entries()) {
      if (remainingBytes < MIN_UPDATE_BYTES) break;
      // The newest of the updates not sent yet is the most urgent; older ones
      // are still unsent only because there are too many.
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
