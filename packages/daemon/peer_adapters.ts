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

/** Turns a failed peer call into an error of the closed list. */
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

/** Fetches documents by the peer RPC. */
export class RemoteDocuments extends DocumentPeer {
  readonly #clients: PeerClients;

  /** @param clients Clients of other nodes. */
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

/** Settles lent retries by the peer RPC. */
export class RemoteSettlement extends AllowanceSettlement {
  readonly #clients: PeerClients;
  readonly #members: MemberView;

  /**
   * @param clients Clients of other nodes.
   * @param members Finds the control address of the audience node.
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

/** Source of a rollout report, by datagrams to all members. */
export class FleetRollout extends RolloutSource {
  readonly #countVersions: RolloutQuery["count"];

  /** @param countVersions Asks the members. */
  constructor(countVersions: RolloutQuery["count"]) {
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
