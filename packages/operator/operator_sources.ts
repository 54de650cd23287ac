import type { Either } from "purify-ts";
import type { DeckError } from "@oleanderdeck/errors";

/** Takes workers out of service and back, wherever in the fleet they are. */
export abstract class WorkerControl {
  /**
   * Starts to drain a worker. Calls in flight are not interrupted.
   *
   * Answers on the left side with `not_found` when no live member has a worker
   * at this address, and with `outcome_unknown` when its node did not answer.
   *
   * @param address Address of the backend server, host:port.
   */
  abstract drain(address: string): Promise<Either<DeckError, void>>;

  /** Puts a drained worker back; errors as for {@linkcode WorkerControl.drain}. */
  abstract undrain(address: string): Promise<Either<DeckError, void>>;
}

/** Asks the fleet which versions of a document its nodes hold. */
export abstract class RolloutSource {
  /**
   * Counts the nodes by the version that they hold, 0 for none. Nodes that do
   * not answer are not counted.
   *
   * @param name Name of the document.
   */
  abstract count(
    name: string,
  ): Promise<Either<DeckError, ReadonlyMap<number, number>>>;
}
