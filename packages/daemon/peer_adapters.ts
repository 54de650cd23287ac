import { Code, ConnectError } from "@connectrpc/connect";
import { type Either, Left, Right } from "purify-ts";
import {
  DocumentPeer,
  type DocumentRequest,
  type DocumentVersionCopy,
  type RolloutQuery,
} from "@oleanderdeck/configuration";
import { DeckError, type ErrorKind } from "@oleanderdeck/errors";
import type { MemberView, PeerClients } from "@oleanderdeck/membership";
import { errorKindOf, RolloutSource } from "@oleanderdeck/operator";
import type { DocumentCopy, Member } from "@oleanderdeck/protocol";
import { AllowanceSettlement, type Loan } from "@oleanderdeck/retries";

/**
 * Converts the error of a failed peer call into a {@linkcode DeckError}.
 *
 * An error without a kind does not come from the peer service. It becomes
 * `connection_refused` when the node could not be reached, and `connection_lost`
 * otherwise.
 *
 * @param thrown Error that the connect-es client threw.
 */
export function peerError(thrown: unknown): DeckError {
  const error = ConnectError.from(thrown);
  const fallback: ErrorKind = error.code === Code.Unavailable
    ? "connection_refused"
    : "connection_lost";
  return new DeckError(errorKindOf(error) ?? fallback, {
    message: error.rawMessage,
    cause: thrown,
  });
}

function toCopy(document: DocumentCopy): DocumentVersionCopy {
  const { name, content, deleted, changeId } = document;
  return {
    name,
    version: Number(document.version),
    content,
    deleted,
    changeId,
  };
}

/** Fetches documents from another node with the peer RPC FetchDocuments. */
export class RemoteDocuments extends DocumentPeer {
  readonly #clients: PeerClients;

  /** @param clients Clients of the peer service of other nodes. */
  constructor(clients: PeerClients) {
    super();
    this.#clients = clients;
  }

  async fetch(
    member: Member,
    request: DocumentRequest,
  ): Promise<Either<DeckError, readonly DocumentVersionCopy[]>> {
    try {
      const { documents } = await this.#clients.client(member).fetchDocuments({
        held: request.held.map(({ name, version }) => ({
          name,
          version: BigInt(version),
        })),
        names: [...request.names],
      });
      return Right(documents.map(toCopy));
    } catch (thrown) {
      return Left(peerError(thrown));
    }
  }
}

/** Settles lent retries with the peer RPC SettleAllowance. */
export class RemoteSettlement extends AllowanceSettlement {
  readonly #clients: PeerClients;
  readonly #members: MemberView;

  /**
   * @param clients Clients of the peer service of other nodes.
   * @param members Used to look up the node to which the retries were lent.
   */
  constructor(clients: PeerClients, members: MemberView) {
    super();
    this.#clients = clients;
    this.#members = members;
  }

  async settle(loan: Loan): Promise<number> {
    const member = this.#members.find(loan.nodeId);
    if (member?.incarnation !== loan.incarnation) return 0;
    try {
      const { unused } = await this.#clients.client(member).settleAllowance({
        callId: loan.callId,
        audienceIncarnation: loan.incarnation,
      });
      return unused;
    } catch {
      return 0;
    }
  }
}

/** Counts the nodes by document version, with a datagram query to all members. */
export class FleetRollout extends RolloutSource {
  readonly #countVersions: RolloutQuery["countVersions"];

  /** @param countVersions Queries the members. */
  constructor(countVersions: RolloutQuery["countVersions"]) {
    super();
    this.#countVersions = countVersions;
  }

  async count(
    name: string,
  ): Promise<Either<DeckError, ReadonlyMap<number, number>>> {
    const report = await this.#countVersions(name);
    return Right(report.nodesByVersion);
  }
}
