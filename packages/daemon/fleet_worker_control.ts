import { type Either, Left, Right } from "purify-ts";
import { DeckError } from "@oleanderdeck/errors";
import {
  isLive,
  type MemberView,
  type PeerClients,
} from "@oleanderdeck/membership";
import { WorkerControl } from "@oleanderdeck/operator";
import type { LocalWorkerState } from "./local_worker_state.ts";

/** Options of {@linkcode FleetWorkerControl}. */
export interface FleetWorkerControlOptions {
  readonly members: MemberView;
  readonly clients: PeerClients;
  readonly localWorker: LocalWorkerState;
}

/** Drains workers: its own host's directly, others through their host's node. */
export class FleetWorkerControl extends WorkerControl {
  readonly #options: FleetWorkerControlOptions;

  /** @param options Members, clients of their peer service, and the local worker. */
  constructor(options: FleetWorkerControlOptions) {
    super();
    this.#options = options;
  }

  drain(address: string): Promise<Either<DeckError, void>> {
    return this.#setDrained(address, true);
  }

  undrain(address: string): Promise<Either<DeckError, void>> {
    return this.#setDrained(address, false);
  }

  async #setDrained(
    address: string,
    draining: boolean,
  ): Promise<Either<DeckError, void>> {
    const { clients, members, localWorker } = this.#options;
    if (localWorker.setDrained(address, draining)) return Right(undefined);
    const member = members.members().find((candidate) =>
      candidate.worker?.address === address && isLive(candidate)
    );
    if (member === undefined) return Left(unknownWorker(address));
    try {
      const { found } = await clients.client(member).setWorkerDrain({
        workerAddress: address,
        draining,
      });
      return found ? Right(undefined) : Left(unknownWorker(address));
    } catch (cause) {
      return Left(
        new DeckError("outcome_unknown", {
          message: `The node ${member.nodeId} gave no answer`,
          cause,
        }),
      );
    }
  }
}

function unknownWorker(address: string): DeckError {
  return new DeckError("not_found", {
    message: `No live member has a worker at ${address}`,
  });
}
