import { isLive } from "./member_view.ts";
import { createHash } from "node:crypto";
import { create, toBinary } from "@bufbuild/protobuf";
import {
  type Member,
  MemberSchema,
  MemberState,
  WorkerState,
} from "@oleanderdeck/protocol";
import { parseHostPort } from "./datagram_transport.ts";

/** Maximum size of an encoded member record in bytes. */
export const MAX_RECORD_BYTES = 200;

/** Maximum length of a node id in characters. */
export const MAX_NODE_ID_LENGTH = 48;

// The upper half of a revision counts changes of the record's content, and the
// lower half counts refutations since the last change. The revision in a state
// update therefore shows whether the receiver has the current content, and a
// refutation does not need the full record.
const REFUTATION_BITS = 16;
const MAX_REVISION = 0xffff_ffff;

/** Version of the record's content, which is the upper half of a revision. */
export function contentVersion(revision: number): number {
  return revision >>> REFUTATION_BITS;
}

/** First revision with the next version of the content. */
export function nextContentRevision(revision: number): number {
  return ((contentVersion(revision) + 1) << REFUTATION_BITS) >>> 0;
}

/** Revision that refutes suspicions of the given revision. */
export function nextRefutationRevision(revision: number): number {
  return Math.min(revision + 1, MAX_REVISION);
}

/** Whether a record has no content; see {@linkcode toStateUpdate}. */
export function isStateUpdate(record: Member): boolean {
  return record.peerAddress === "";
}

/** Copy of a record with the state and its version, but without the content. */
export function toStateUpdate(record: Member): Member {
  const { nodeId, incarnation, revision, state } = record;
  return create(MemberSchema, { nodeId, incarnation, revision, state });
}

/**
 * State update that is older than any record. A peer that receives it answers
 * with its own record of the member.
 */
export function toRecordRequest(nodeId: string): Member {
  return create(MemberSchema, { nodeId, state: MemberState.ALIVE });
}

/** Encodes a record as it is sent in datagrams. */
export function encodeMember(record: Member): Uint8Array {
  return toBinary(MemberSchema, record);
}

/**
 * Orders two records of one node by incarnation, revision and state; the
 * later state in the order of `MemberState` wins among equal revisions.
 *
 * @returns A positive number if the first record is newer, 0 if both are equal.
 */
export function compareRecords(first: Member, second: Member): number {
  if (first.incarnation !== second.incarnation) {
    return first.incarnation > second.incarnation ? 1 : -1;
  }
  return first.revision - second.revision || first.state - second.state;
}

/** Whether a member is live and its worker serves new calls of a service. */
export function isServing(record: Member, service: string): boolean {
  return isLive(record) && record.worker?.service === service &&
    record.worker.state === WorkerState.SERVING;
}

/** Whether a received record is one that a correct node may send. */
export function isValidRecord(record: Member): boolean {
  return record.nodeId !== "" &&
    record.nodeId.length <= MAX_NODE_ID_LENGTH &&
    record.state >= MemberState.ALIVE && record.state <= MemberState.LEFT &&
    (isStateUpdate(record) ||
      (parseHostPort(record.peerAddress) !== undefined &&
        encodeMember(record).length <= MAX_RECORD_BYTES));
}

/** Uniformly distributed 64-bit hash of a text. */
export function hashText(text: string): bigint {
  return createHash("sha256").update(text).digest().readBigUInt64LE();
}

/**
 * Hash of what anti-entropy compares: identity, revision and content version.
 *
 * @param heldContentVersion Version of the content that this node has.
 */
export function hashRecord(record: Member, heldContentVersion: number): bigint {
  return hashText(
    `${record.nodeId} ${record.incarnation} ${record.revision} ${heldContentVersion}`,
  );
}
