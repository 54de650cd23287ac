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

/** Greatest size of an encoded member record in bytes. */
export const MAX_RECORD_BYTES = 200;

/** Greatest length of a node id in characters. */
export const MAX_NODE_ID_LENGTH = 48;

// The upper half of a revision counts changes of the record's content, the
// lower half counts refutations since the last change. A claim about a member
// therefore tells whether the receiver holds the content that it speaks of, and
// refutations need no full record.
const REFUTATION_BITS = 16;
const MAX_REVISION = 0xffff_ffff;

/** Number of the content that a revision stands for. */
export function contentVersion(revision: number): number {
  return revision >>> REFUTATION_BITS;
}

/** First revision with new content. */
export function nextContentRevision(revision: number): number {
  return ((contentVersion(revision) + 1) << REFUTATION_BITS) >>> 0;
}

/** Revision that refutes claims about the given one. */
export function nextRefutationRevision(revision: number): number {
  return Math.min(revision + 1, MAX_REVISION);
}

/** Whether the record is a claim without content; see {@linkcode toStateUpdate}. */
export function isStateUpdate(record: Member): boolean {
  return record.peerAddress === "";
}

/** The part of a record that tells the state, without the content. */
export function toStateUpdate(record: Member): Member {
  const { nodeId, incarnation, revision, state } = record;
  return create(MemberSchema, { nodeId, incarnation, revision, state });
}

/** Claim that is older than any record, which asks a peer for its record. */
export function toRecordRequest(nodeId: string): Member {
  return create(MemberSchema, { nodeId, state: MemberState.ALIVE });
}

/** Encoded record. */
export function encodeMember(record: Member): Uint8Array {
  return toBinary(MemberSchema, record);
}

/**
 * Orders two records of one node by incarnation, revision and state; a later
 * state wins among equal revisions.
 *
 * @returns A positive number if the first record is newer, 0 if both are equal.
 */
export function compareRecords(first: Member, second: Member): number {
  if (first.incarnation !== second.incarnation) {
    return first.incarnation > second.incarnation ? 1 : -1;
  }
  return first.revision - second.revision || first.state - second.state;
}

/** Whether a live member's worker runs a service and takes new calls. */
export function isServing(record: Member, service: string): boolean {
  return isLive(record) && record.worker?.service === service &&
    record.worker.state === WorkerState.SERVING;
}

/** Whether a received record has the form that this project sends. */
export function isValidRecord(record: Member): boolean {
  return record.nodeId !== "" &&
    record.nodeId.length <= MAX_NODE_ID_LENGTH &&
    record.state >= MemberState.ALIVE && record.state <= MemberState.LEFT &&
    (isStateUpdate(record) ||
      (parseHostPort(record.peerAddress) !== undefined &&
        encodeMember(record).length <= MAX_RECORD_BYTES));
}

/** Uniform 64-bit hash of a text. */
export function hashText(text: string): bigint {
  return createHash("sha256").update(text).digest().readBigUInt64LE();
}

/** Hash of what anti-entropy compares: identity, revision and content held. */
export function hashRecord(record: Member, heldContentVersion: number): bigint {
  return hashText(
    `${record.nodeId} ${record.incarnation} ${record.revision} ${heldContentVersion}`,
  );
}
