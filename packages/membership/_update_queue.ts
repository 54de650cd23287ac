import type { Member } from "@oleanderdeck/protocol";
import { encodeMember } from "./_member_record.ts";

interface QueuedUpdate {
  readonly bytes: Uint8Array;
  timesSent: number;
}

/**
 * Updates that still have to be sent to peers, those that were sent the fewest
 * times first. There is at most one update per node, the newest.
 */
export class UpdateQueue {
  readonly #updates = new Map<string, QueuedUpdate>();
  // Node ids by number of times sent, so that selection needs no sorting of the
  // whole queue, which holds thousands of updates after a partition.
  readonly #levels: Set<string>[] = [];

  /** Number of updates. */
  get size(): number {
    return this.#updates.size;
  }

  /** Replaces the update about a node by a new one. */
  put(record: Member): void {
    this.remove(record.nodeId);
    this.#updates.set(record.nodeId, {
      bytes: encodeMember(record),
      timesSent: 0,
    });
    this.#level(0).add(record.nodeId);
  }

  /** Removes the update about a node. */
  remove(nodeId: string): void {
    const update = this.#updates.get(nodeId);
    if (update === undefined) return;
    this.#updates.delete(nodeId);
    this.#level(update.timesSent).delete(nodeId);
  }

  /**
   * Takes encoded updates for one datagram.
   *
   * @param roomBytes Room for the updates, each with 3 bytes of framing.
   * @param timesToSend Updates are removed after they were sent so many times.
   */
  take(roomBytes: number, timesToSend: number): Uint8Array[] {
    const taken: { nodeId: string; update: QueuedUpdate }[] = [];
    let room = roomBytes;
    for (const level of this.#levels) {
      for (const nodeId of level) {
        if (room < SMALLEST_UPDATE_BYTES) break;
        const update = this.#updates.get(nodeId)!;
        const size = update.bytes.length + UPDATE_FRAMING_BYTES;
        if (size > room) continue;
        room -= size;
        taken.push({ nodeId, update });
      }
    }
    for (const { nodeId, update } of taken) {
      this.#level(update.timesSent).delete(nodeId);
      update.timesSent += 1;
      if (update.timesSent >= timesToSend) this.#updates.delete(nodeId);
      else this.#level(update.timesSent).add(nodeId);
    }
    return taken.map(({ update }) => update.bytes);
  }

  #level(timesSent: number): Set<string> {
    return this.#levels[timesSent] ??= new Set();
  }
}

/** Bytes that frame an update in a datagram: a tag and a length. */
export const UPDATE_FRAMING_BYTES = 3;

const SMALLEST_UPDATE_BYTES = 20;
