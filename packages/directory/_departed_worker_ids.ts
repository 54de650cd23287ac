import type { StorePosition } from "./store_era.ts";

/**
 * Departures that are remembered for each node; the oldest is forgotten. A copy of
 * the store is seconds old, in which a host has few workers one after the other.
 */
const MAX_REMEMBERED = 8;

/** Worker that has left, and where the store held its departure. */
export interface DepartedWorkerId extends StorePosition {
  readonly workerId: string;
}

/** Identities of the workers of each node that have left last. */
export class DepartedWorkerIds {
  readonly #byNode = new Map<string, readonly DepartedWorkerId[]>();

  /** Remembers the departure of a worker of a node. */
  add(node: string, departed: DepartedWorkerId): void {
    const others = this.#others(node, departed.workerId);
    this.#byNode.set(node, [...others, departed].slice(-MAX_REMEMBERED));
  }

  /** Returns the remembered departure of a worker of a node, if there is one. */
  get(node: string, workerId: string): DepartedWorkerId | undefined {
    return this.#byNode.get(node)?.find((departed) =>
      departed.workerId === workerId
    );
  }

  /** Forgets a departure, since the worker has started again. */
  forget(node: string, workerId: string): void {
    if (this.get(node, workerId) === undefined) return;
    const others = this.#others(node, workerId);
    if (others.length > 0) this.#byNode.set(node, others);
    else this.#byNode.delete(node);
  }

  #others(node: string, workerId: string): readonly DepartedWorkerId[] {
    return (this.#byNode.get(node) ?? []).filter((departed) =>
      departed.workerId !== workerId
    );
  }
}
