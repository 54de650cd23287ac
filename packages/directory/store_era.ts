/** Called with the previous and the new era of the store. */
export type StoreEraListener = (previous: number, current: number) => void;

/**
 * Era of the platform's store, which rises whenever the store comes back from an
 * older copy. What was written since that copy is gone, and revisions are given
 * out again, so revisions of different eras cannot be compared.
 */
export class StoreEra {
  #current: number | undefined;
  readonly #listeners = new Set<StoreEraListener>();

  /** Highest era of all answers so far; 0 before the first one. */
  get current(): number {
    return this.#current ?? 0;
  }

  /**
   * Records the era of an answer of the store. The era of the first answer is no
   * rise.
   *
   * @param era Era of the answer; 0 if it names none.
   * @returns Whether the answer is of the current era; one of an earlier era must
   * not be applied.
   */
  observe(era: number): boolean {
    const previous = this.#current;
    if (previous !== undefined && era <= previous) return era === previous;
    this.#current = era;
    if (previous === undefined) return true;
    [...this.#listeners].forEach((listener) => listener(previous, era));
    return true;
  }

  /**
   * Registers a listener that is called after each rise.
   *
   * @returns Removes the listener.
   */
  onRise(listener: StoreEraListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Waits for a call until the era rises. The answer to a call from before the
   * rise says nothing about the new era.
   *
   * @param call Call that waits for a change in the store.
   * @returns Undefined if the era rose before the call was answered.
   */
  async untilRise<Result>(call: Promise<Result>): Promise<Result | undefined> {
    let remove = () => {};
    const rise = new Promise<undefined>((resolve) =>
      remove = this.onRise(() => resolve(undefined))
    );
    try {
      return await Promise.race([call, rise]);
    } finally {
      remove();
    }
  }
}

/** Place in the history of the store. */
export interface StorePosition {
  readonly revision: number;
  /** Era of the revision; 0 if absent. */
  readonly era?: number | undefined;
}

/** Returns whether one position is later than another. */
export function isLater(one: StorePosition, other: StorePosition): boolean {
  const difference = eraOf(one) - eraOf(other);
  return difference === 0 ? one.revision > other.revision : difference > 0;
}

/** Returns the era of a position. */
export function eraOf({ era }: StorePosition): number {
  return era ?? 0;
}
