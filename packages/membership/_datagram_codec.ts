import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type Datagram, DatagramSchema } from "@oleanderdeck/protocol";
import { MAX_DATAGRAM_BYTES } from "./datagram_transport.ts";
import { isValidRecord, MAX_NODE_ID_LENGTH } from "./_member_record.ts";
import { type PeerKeys, SIGNATURE_BYTES } from "./peer_keys.ts";

const PURPOSE = "datagram";

/** Why a datagram was dropped. */
export type DropReason = "oversized" | "signature" | "malformed";

/** Content of a datagram to send. */
export interface OutgoingDatagram {
  readonly sender: string;
  readonly sequence: number;
  readonly body?: Datagram["body"];
  /** Encoded member records; see `encodeMember`. */
  readonly updates?: readonly Uint8Array[];
}

/**
 * Encodes and signs a datagram. The updates are encoded by the caller, because
 * each one is sent dozens of times.
 */
export function encodeDatagram(
  content: OutgoingDatagram,
  keys: PeerKeys,
): Uint8Array {
  const head = toBinary(
    DatagramSchema,
    create(DatagramSchema, {
      sender: content.sender,
      sequence: content.sequence,
      body: content.body ?? { case: undefined },
    }),
  );
  const parts = (content.updates ?? []).flatMap((update) => [
    updateHeader(update.length),
    update,
  ]);
  const message = Buffer.concat([head, ...parts]);
  return Buffer.concat([keys.sign(PURPOSE, message), message]);
}

/**
 * Verifies and decodes a datagram.
 *
 * @returns The datagram, or the reason to drop it.
 */
export function decodeDatagram(
  bytes: Uint8Array,
  keys: PeerKeys,
): Datagram | DropReason {
  if (bytes.length > MAX_DATAGRAM_BYTES) return "oversized";
  if (bytes.length <= SIGNATURE_BYTES) return "malformed";
  const signature = bytes.subarray(0, SIGNATURE_BYTES);
  const message = bytes.subarray(SIGNATURE_BYTES);
  if (!keys.verify(PURPOSE, message, signature)) return "signature";
  try {
    const datagram = fromBinary(DatagramSchema, message);
    return isValidDatagram(datagram) ? datagram : "malformed";
  } catch {
    return "malformed";
  }
}

function isValidDatagram(datagram: Datagram): boolean {
  const { sender, updates, body } = datagram;
  const members = body.case === "memberPage" ? body.value.members : [];
  return sender !== "" && sender.length <= MAX_NODE_ID_LENGTH &&
    updates.every(isValidRecord) && members.every(isValidRecord);
}

const UPDATES_TAG = (DatagramSchema.field.updates.number << 3) | 2;
const ONE_BYTE_VARINT_LIMIT = 0x80;

function updateHeader(length: number): Uint8Array {
  return length < ONE_BYTE_VARINT_LIMIT
    ? Uint8Array.of(UPDATES_TAG, length)
    : Uint8Array.of(UPDATES_TAG, (length & 0x7f) | 0x80, length >>> 7);
}
