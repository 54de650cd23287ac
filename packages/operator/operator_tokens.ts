import { createHash, timingSafeEqual } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import { DeckError } from "@oleanderdeck/errors";
import {
  OPERATOR_ROLES,
  type OperatorRole,
  type OperatorToken,
} from "@oleanderdeck/settings";

/** Longest token; no longer text is hashed. */
const LONGEST_TOKEN = 512;

/** Checks bearer tokens against the hashes in the settings. */
export class OperatorTokens {
  readonly #entries: readonly {
    readonly token: OperatorToken;
    readonly hash: Buffer;
  }[];

  /** @param tokens Tokens of the settings. */
  constructor(tokens: readonly OperatorToken[]) {
    this.#entries = tokens.map((token) => ({
      token,
      hash: Buffer.from(token.sha256, "hex"),
    }));
  }

  /**
   * Finds the holder of a token and checks the role.
   *
   * Answers on the left side with `credential_refused` for an unknown token and
   * with `not_authorised` for a role that is not sufficient.
   *
   * @param authorization Value of the `authorization` header.
   * @param role Least role that the operation needs.
   */
  authorise(
    authorization: string | null,
    role: OperatorRole,
  ): Either<DeckError, OperatorToken> {
    const token = /^Bearer +(\S+)$/i.exec(authorization ?? "")?.[1];
    if (token === undefined || token.length > LONGEST_TOKEN) {
      return Left(new DeckError("credential_refused"));
    }
    const hash = createHash("sha256").update(token).digest();
    // Every hash is compared, so that the time tells nothing about which one
    // was equal.
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
