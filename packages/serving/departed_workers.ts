import type { WorkerDeparture } from "@oleanderdeck/directory";
import { UNKNOWN_START, type WorkerIncarnation } from "./worker_incarnation.ts";

/** Number of departed workers that are remembered; the oldest is forgotten. */
const MAX_REMEMBERED = 64;

/**
 * Time within which a heartbeat without a start is taken for a late one of the
 * known worker, in milliseconds. Late heartbeats are seconds old; one that comes
 * later is that of a new start under the same identity.
 */
export const LATE_HEARTBEAT_MS = 30_000;

/**
 * Incarnations of workers that have left this host. Heartbeats of them may still
 * be under way.
 */
export class DepartedWorkers {
  readonly #byId = new Map<string, WorkerDeparture>();

  /** Remembers a departure, unless that of a later start, or a later one, is known. */
  add(departure: WorkerDeparture): void {
    const { leftAt, startedAt, workerId } = departure;
    const known = this.#byId.get(workerId);
    if (known !== undefined && known.startedAt > startedAt) return;
    if (known?.startedAt === startedAt && known.leftAt > leftAt) return;
    this.#byId.delete(workerId);
    this.#byId.set(workerId, departure);
    if (this.#byId.size <= MAX_REMEMBERED) return;
    this.#byId.delete(this.#byId.keys().next().value!);
  }

  /** Returns whether an incarnation has left, as far as known. */
  has({ workerId, startedAt }: WorkerIncarnation): boolean {
    const departure = this.#byId.get(workerId);
    if (departure === undefined) return false;
    if (departure.startedAt !== UNKNOWN_START) {
      return startedAt <= departure.startedAt;
    }
    return startedAt === UNKNOWN_START
      ? Date.now() - departure.leftAt < LATE_HEARTBEAT_MS
      : startedAt <= departure.leftAt;
  }
}
