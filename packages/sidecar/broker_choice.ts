import { createHash } from "node:crypto";

/** Number of elected nodes that are brokers. */
const BROKERS = 3;

/**
 * Orders the brokers of each organisation. An organisation has the same first
 * broker at all hosts that know the same records, and the organisations of a
 * broker that is gone are spread over the others.
 */
export class BrokerChoice {
  readonly #orders = new Map<string, readonly string[]>();
  #brokers: readonly string[] = [];

  /** Nodes that are brokers. */
  get brokers(): readonly string[] {
    return this.#brokers;
  }

  /**
   * Records the elected nodes.
   *
   * @returns Whether the brokers have changed.
   */
  update(elected: readonly string[]): boolean {
    const brokers = elected.slice(0, BROKERS);
    if (brokers.join() === this.#brokers.join()) return false;
    this.#brokers = brokers;
    this.#orders.clear();
    return true;
  }

  /** Returns the brokers in the order of preference of an organisation. */
  orderOf(organisation: string): readonly string[] {
    const known = this.#orders.get(organisation);
    if (known !== undefined) return known;
    const hashes = new Map(
      this.#brokers.map((node) => [node, hashOf(`${organisation}\n${node}`)]),
    );
    const order = [...this.#brokers]
      .sort((a, b) => hashes.get(a)! < hashes.get(b)! ? -1 : 1);
    this.#orders.set(organisation, order);
    return order;
  }
}

function hashOf(text: string): string {
  return createHash("sha1").update(text).digest("hex");
}
