import type { Either } from "purify-ts";
import type { DeckError } from "@oleanderdeck/errors";

/** Drains workers of the whole fleet and returns them to service. */
export abstract class WorkerControl {
  /**
   * Starts draining a worker. Calls in flight are not interrupted.
   *
   * @param address Address of the backend server, host:port.
   * @returns On the left side `not_found` when no live member has a worker at
   * this address, and `outcome_unknown` when its node did not respond.
   */
  abstract drain(address: string): Promise<Either<DeckError, void>>;

  /**
   * Returns a drained worker to service.
   *
   * @param address Address of the backend server, host:port.
   * @returns Errors as for {@linkcode WorkerControl.drain}.
   */
  abstract undrain(address: string): Promise<Either<DeckError, void>>;
}

/** Queries the nodes of the fleet for their versions of a document. */
export abstract class RolloutSource {
  /**
   * Counts the nodes by the version that they hold. Nodes that do not respond
   * are not counted.
   *
   * @param name Name of the document.
   * @returns Number of nodes by version; version 0 stands for no document.
   */
  abstract count(
    name: string,
  ): Promise<Either<DeckError, ReadonlyMap<number, number>>>;
}
