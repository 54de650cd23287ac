import { createHash, timingSafeEqual } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import { DeckError } from "@oleanderdeck/errors";
import {
  OPERATOR_ROLES,
  type OperatorRole,
  type OperatorToken,
} from "@oleanderdeck/settings";

/** Maximum length of a token in characters. Longer ones are refused unhashed. */
const MAX_TOKEN_LENGTH = 512;

/** Checks bearer tokens against the hashes of the accepted tokens. */
export class OperatorTokens {
  readonly #entries: readonly {
    readonly token: OperatorToken;
    readonly hash: Buffer;
  }[];

  /** @param tokens Accepted tokens, from the settings. */
  constructor(tokens: readonly OperatorToken[]) {
    this.#entries = tokens.map((token) => ({
      token,
      hash: Buffer.from(token.sha256, "hex"),
    }));
  }

  /**
   * Authenticates a bearer token and checks its role.
   *
   * @param authorization Value of the `authorization` header.
   * @param role Lowest role that may perform the operation.
   * @returns The entry of the token in the settings. On the left side
   * `credential_refused` for an unknown token and `not_authorised` for a role
   * that is not sufficient.
   */
  authorise(
    authorization: string | null,
    role: OperatorRole,
  ): Either<DeckError, OperatorToken> {
    const token = /^Bearer +(\S+)$/i.exec(authorization ?? "")?.[1];
    if (token === undefined || token.length > MAX_TOKEN_LENGTH) {
      return Left(new DeckError("credential_refused"));
    }
    const hash = createHash("sha256").update(token).digest();
    // All hashes are compared, so that the response time does not reveal which
    // one matched.
    const [entry] = this.#entries.filter((each) =>
      timingSafeEqual(each.hash, hash)
    );
    if (entry === undefined) return Left(new DeckError("credential_refused"));
    const isSufficient = OPERATOR_ROLES.indexOf(entry.token.role) >=
      OPERATOR_ROLES.indexOf(role);
    return isSufficient
      ? Right(entry.token)
      : Left(new DeckError("not_authorised"));
  }
}
