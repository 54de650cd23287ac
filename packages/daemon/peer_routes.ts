import type { ConnectRouter, Interceptor } from "@connectrpc/connect";
import {
  type DocumentReplica,
  selectNewerDocuments,
} from "@oleanderdeck/configuration";
import { DeckError } from "@oleanderdeck/errors";
import type { Membership } from "@oleanderdeck/membership";
import { toConnectError } from "@oleanderdeck/operator";
import { PeerService } from "@oleanderdeck/protocol";
import type { AllowanceLedger } from "@oleanderdeck/retries";
import type { LocalWorkerState } from "./local_worker_state.ts";

/** Maximum size of a request, enough for the records of 10,000 members. */
const MAXIMUM_REQUEST_BYTES = 2_000_000;

/** Options of {@linkcode peerRoutes}. */
export interface PeerRoutesOptions {
  readonly replica: DocumentReplica;
  readonly membership: Membership;
  readonly allowanceLedger: AllowanceLedger;
  readonly localWorker: LocalWorkerState;
  /** Refuses calls that were not signed by a node of the fleet. */
  readonly authentication: Interceptor;
}

/**
 * Returns a function that registers the peer service on a router.
 *
 * @param options Parts of the node that handle the requests of peers.
 */
export function peerRoutes(
  options: PeerRoutesOptions,
): (router: ConnectRouter) => void {
  const { allowanceLedger, membership, localWorker, replica } = options;
  return (router) => {
    router.service(PeerService, {
      fetchDocuments({ held, names }) {
        if (!replica.isReady()) {
          throw toConnectError(new DeckError("not_ready"));
        }
        const documents = selectNewerDocuments(replica, {
          held: held.map(({ name, version }) => ({
            name,
            version: Number(version),
          })),
          names,
        });
        return {
          documents: documents.map((document) => ({
            ...document,
            version: BigInt(document.version),
          })),
        };
      },

      syncMembers({ members }) {
        return { members: [...membership.syncMembers(members)] };
      },

      settleAllowance({ audienceIncarnation, callId }) {
        const isSame = membership.self().incarnation === audienceIncarnation;
        return { unused: isSame ? allowanceLedger.close(callId) : 0 };
      },

      setWorkerDrain({ draining, workerAddress }) {
        return { found: localWorker.setDrained(workerAddress, draining) };
      },
    }, {
      interceptors: [options.authentication],
      readMaxBytes: MAXIMUM_REQUEST_BYTES,
    });
  };
}
