import type { ClaimFrame, LoadReport } from "@oleanderdeck/hop";
import type { CallerLink } from "./_caller_link.ts";

/** Options of {@linkcode claimCalls}. */
export interface CallClaimOptions {
  /** Link on which the claim was received. */
  readonly claimant: CallerLink;
  /** All open links. */
  readonly links: readonly CallerLink[];
  readonly load: LoadReport;
}

/**
 * Passes the calls of earlier links on to the link on which they are claimed, and
 * closes the earlier links, which cancels all other calls on them. A claimed call
 * that was not received is told as missing if that is certain, and as lost
 * otherwise.
 *
 * @throws {Error} If the claim names its own link or a call of it, or its sender
 * has not named itself.
 */
export function claimCalls(
  { linkIds, ids }: ClaimFrame,
  { claimant, links, load }: CallClaimOptions,
): void {
  if (
    claimant.linkId === undefined || linkIds.includes(claimant.linkId) ||
    ids.some((id) => claimant.has(id))
  ) throw new Error("A claim names its own link or a call of it");
  const sources = links.filter(({ linkId, node }) =>
    linkId !== undefined && linkIds.includes(linkId) && node === claimant.node
  );
  const knownIds = sources.flatMap(({ claimedLinkIds, linkId }) => [
    linkId,
    ...claimedLinkIds,
  ]);
  const isComplete = linkIds.every((linkId) => knownIds.includes(linkId));
  const highestId = Math.max(0, ...sources.map((source) => source.highestId));
  const unknown = ids.filter((id) => {
    const source = sources.find((source) => source.has(id));
    source?.passOn(id, claimant, load);
    return source === undefined;
  });
  // Nothing that still arrives on them is read.
  sources.forEach(({ link }) => link.close("claimed on another link"));
  claimant.recordReceived(highestId);
  if (isComplete) claimant.claimedLinkIds = linkIds;
  const isMissing = (id: number) => isComplete && id > highestId;
  unknown.filter((id) => !isMissing(id)).forEach((id) =>
    claimant.sendResult({
      kind: "failure",
      id,
      error: "connection_lost",
      mayHaveRun: true,
      wasSent: true,
      retryAfterMs: 0,
      load,
    })
  );
  claimant.link.send({
    kind: "claimed",
    missingIds: unknown.filter(isMissing),
  });
}
