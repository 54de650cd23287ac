import { createHash } from "node:crypto";
import type { WorkerRecord } from "@oleanderdeck/directory";

/**
 * Number of workers of a service that one node calls. More links would cost
 * each node messages without a better choice.
 */
const SUBSET_SIZE = 16;

/**
 * Number of workers of the subset that are taken from the node's own data
 * centre first. The others give it capacity elsewhere when its own data centre
 * is overloaded or lost.
 */
const OWN_DATA_CENTRE_SIZE = 10;

/** Node that calls the workers. */
export interface SubsetOwner {
  readonly node: string;
  readonly dataCentre: string;
}

/**
 * Chooses the workers of a service that one node calls, for fleets in which a
 * link between each two hosts costs more than the calls on it. The worker on the
 * node's own host is always among them. Nodes choose by the hash of both names,
 * so that each worker is called by about as many nodes as any other, and a
 * worker that joins or leaves changes at most one entry.
 */
export class WorkerSubset {
  readonly #owner: SubsetOwner;
  readonly #hashes = new Map<string, string>();

  /** @param owner Node that calls the workers. */
  constructor(owner: SubsetOwner) {
    this.#owner = owner;
  }

  /**
   * Returns the workers that the node calls.
   *
   * @param records Records of all workers of a service.
   */
  choose(records: readonly WorkerRecord[]): readonly WorkerRecord[] {
    if (records.length <= SUBSET_SIZE) return records;
    const ordered = records.toSorted((a, b) =>
      this.#orderOf(a) < this.#orderOf(b) ? -1 : 1
    );
    const near = ordered
      .filter(({ dataCentre }) => dataCentre === this.#owner.dataCentre)
      .slice(0, OWN_DATA_CENTRE_SIZE);
    const isNear = new Set(near);
    const others = ordered.filter((record) => !isNear.has(record))
      .slice(0, SUBSET_SIZE - near.length);
    return [...near, ...others];
  }

  #orderOf({ node }: WorkerRecord): string {
    if (node === this.#owner.node) return "";
    const known = this.#hashes.get(node);
    if (known !== undefined) return known;
    const hash = createHash("sha1").update(`${this.#owner.node} ${node}`)
      .digest("hex");
    this.#hashes.set(node, hash);
    return hash;
  }
}
