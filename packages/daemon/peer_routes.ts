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
import type { LocalWorkerState } from "./local_worker.ts";

/** Greatest size of a request, enough for the records of 10,000 members. */
const MAXIMUM_REQUEST_BYTES = 2_000_000;

/** Options of {@linkcode peerRoutes}. */
export interface PeerRoutesOptions {
  readonly replica: DocumentReplica;
  readonly membership: Membership;
  readonly allowances: AllowanceLedger;
  readonly own: LocalWorkerState;
  /** Refuses calls that no node of the fleet signed. */
  readonly authentication: Interceptor;
}

/**
 * Makes the routes of the peer service.
 *
 * @param options Parts of the node that peers ask.
 */
export function peerRoutes(
  options: PeerRoutesOptions,
): (router: ConnectRouter) => void {
  const { allowances, membership, own, replica } = options;
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
        return { unused: isSame ? allowances.close(callId) : 0 };
      },

      setWorkerDrain({ draining, workerAddress }) {
        return { found: own.setDrained(workerAddress, draining) };
      },
    }, {
      interceptors: [options.authentication],
      readMaxBytes: MAXIMUM_REQUEST_BYTES,
    });
  };
}
