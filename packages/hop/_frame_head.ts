import { ERROR_DETAILS, type ErrorKind } from "@oleanderdeck/errors";
import {
  packIdentities,
  unpackClaim,
  unpackIdentities,
  unpackIds,
} from "./_claim_fields.ts";
import { asCount, asList, asNonNegative, asNumber, asText } from "./_fields.ts";
import { packLoad, unpackLoad } from "./_load_fields.ts";
import {
  packOptionalCallFields,
  unpackOptionalCallFields,
} from "./_call_fields.ts";
import { unpackTokens } from "./_token_fields.ts";
import type { AnswerFrame, FailureFrame, Frame, HeaderList } from "./frame.ts";
import type {
  EncodedString,
  StringTableDecoder,
  StringTableEncoder,
} from "./string_table.ts";

/**
 * Maximum rank of a call. The receiver keeps a queue for each rank up to the
 * greatest that it has received.
 */
const MAX_RANK = 255;

/** Greatest number that the status code of an answer may be. */
const MAX_STATUS = 999;

/** Status codes that an answer may have. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/**
 * Frame kinds. The protocol uses their indices, so new kinds are added at the
 * end.
 */
const KINDS = [
  "hello",
  "call",
  "cancel",
  "answer",
  "failure",
  "load",
  "ping",
  "pong",
  "version",
  "knowledge_request",
  "knowledge",
  "configuration_request",
  "configuration",
  "claim",
  "claimed",
  "proof_request",
  "proof",
  "quota_request",
  "quota_grant",
] as const satisfies readonly Frame["kind"][];

/** Replaces the request id in the header fields of a call. */
const REQUEST_ID = null;

type PackedLine = EncodedString | typeof REQUEST_ID;

function packLines(
  lines: HeaderList,
  requestId: string,
  strings: StringTableEncoder,
): readonly PackedLine[] {
  return lines.map((text) =>
    text === requestId && text !== "" ? REQUEST_ID : strings.pack(text)
  );
}

function unpackLines(
  packed: unknown,
  requestId: string,
  strings: StringTableDecoder,
): HeaderList {
  const lines = asList(packed).map((line) =>
    line === REQUEST_ID ? requestId : strings.unpack(line)
  );
  if (lines.length % 2 !== 0) throw new TypeError("A header has no value");
  return lines;
}

function asErrorKind(value: unknown): ErrorKind {
  const kind = asText(value);
  if (!Object.hasOwn(ERROR_DETAILS, kind)) {
    throw new TypeError(`Unknown error kind ${kind}`);
  }
  return kind as ErrorKind;
}

function isFinal(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

// A node of an earlier release passes on any status of its worker. The other calls
// of the link go on.
function lostAnswer({ id, load }: AnswerFrame): FailureFrame {
  return {
    kind: "failure",
    id,
    error: "answer_cut",
    mayHaveRun: true,
    wasSent: true,
    retryAfterMs: 0,
    load,
  };
}

function asId(value: unknown): number {
  return asCount(value, Number.MAX_SAFE_INTEGER);
}

/**
 * Returns the head of a frame as a list of its kind and fields. Each kind is packed
 * and unpacked field by field for speed, since this runs four times per call.
 */
export function packHead(
  frame: Frame,
  strings: StringTableEncoder,
): readonly unknown[] {
  const kind = KINDS.indexOf(frame.kind);
  switch (frame.kind) {
    case "call":
      return [
        kind,
        frame.id,
        strings.pack(frame.service),
        frame.requestId,
        strings.pack(frame.route),
        strings.pack(frame.method),
        frame.target,
        packLines(frame.headers, frame.requestId, strings),
        frame.timeLeftMs,
        frame.latencyTargetMs,
        frame.rank,
        frame.isIdempotent ? 1 : 0,
        frame.isRepeat ? 1 : 0,
        ...packOptionalCallFields(frame),
      ];
    case "answer":
      return [
        kind,
        frame.id,
        frame.status,
        packLines(frame.headers, "", strings),
        packLoad(frame.load),
        frame.isRefusedBelow ? 1 : 0,
      ];
    case "failure":
      return [
        kind,
        frame.id,
        frame.error,
        frame.mayHaveRun ? 1 : 0,
        frame.wasSent ? 1 : 0,
        frame.retryAfterMs,
        packLoad(frame.load),
      ];
    case "hello":
      return [
        kind,
        frame.node,
        frame.service,
        frame.configurationVersion,
        packLoad(frame.load),
        ...packIdentities(frame),
      ];
    case "cancel":
      return [kind, frame.id];
    case "load":
      return [kind, packLoad(frame.load)];
    case "version":
      return [kind, frame.configurationVersion, frame.followsStore ? 1 : 0];
    case "claim":
      return [kind, frame.linkIds, frame.ids];
    case "claimed":
      return [kind, frame.missingIds];
    case "proof_request":
      return [kind, frame.id];
    case "proof":
      return [
        kind,
        frame.id,
        frame.configurationVersion,
        Number.isFinite(frame.ageMs) ? Math.ceil(frame.ageMs) : null,
      ];
    case "quota_request":
      return [
        kind,
        frame.id,
        frame.configurationVersion,
        frame.deposits,
        frame.wants,
      ];
    case "quota_grant":
      return [kind, frame.id, frame.configurationVersion, frame.grants];
    case "ping":
    case "pong":
    case "knowledge_request":
    case "knowledge":
    case "configuration_request":
    case "configuration":
      return [kind];
  }
}

/**
 * Returns the frame with a head and a body. Another program may hold the address of
 * a peer, and releases of this one may differ, so each field is checked before
 * anything uses it.
 *
 * @throws {Error} If the kind is unknown or a field has another type or range.
 */
export function unpackHead(
  head: readonly unknown[],
  { body, strings }: {
    readonly body: Buffer;
    readonly strings: StringTableDecoder;
  },
): Frame {
  const kind = KINDS[asNumber(head[0])];
  switch (kind) {
    case "call": {
      const requestId = asText(head[3]);
      return {
        kind,
        id: asId(head[1]),
        service: strings.unpack(head[2]),
        requestId,
        route: strings.unpack(head[4]),
        method: strings.unpack(head[5]),
        target: asText(head[6]),
        headers: unpackLines(head[7], requestId, strings),
        timeLeftMs: asNumber(head[8]),
        latencyTargetMs: asNumber(head[9]),
        rank: asCount(head[10], MAX_RANK),
        isIdempotent: head[11] === 1,
        isRepeat: head[12] === 1,
        ...unpackOptionalCallFields(head),
        body,
      };
    }
    case "answer": {
      const answer: AnswerFrame = {
        kind,
        id: asId(head[1]),
        status: asCount(head[2], MAX_STATUS),
        headers: unpackLines(head[3], "", strings),
        load: unpackLoad(head[4]),
        isRefusedBelow: head[5] === 1,
        body,
      };
      return isFinal(answer.status) ? answer : lostAnswer(answer);
    }
    case "failure":
      return {
        kind,
        id: asId(head[1]),
        error: asErrorKind(head[2]),
        mayHaveRun: head[3] === 1,
        wasSent: head[4] === 1,
        retryAfterMs: asNumber(head[5]),
        load: unpackLoad(head[6]),
      };
    case "hello":
      return {
        kind,
        node: asText(head[1]),
        service: asText(head[2]),
        configurationVersion: asNumber(head[3]),
        load: unpackLoad(head[4]),
        ...unpackIdentities(head[5], head[6], head[7]),
      };
    case "cancel":
      return { kind, id: asId(head[1]) };
    case "load":
      return { kind, load: unpackLoad(head[1]) };
    case "version":
      return {
        kind,
        configurationVersion: asNumber(head[1]),
        followsStore: head[2] === 1,
      };
    case "claim":
      return { kind, ...unpackClaim(head[1], head[2]) };
    case "claimed":
      return { kind, missingIds: unpackIds(head[1]) };
    case "proof_request":
      return { kind, id: asId(head[1]) };
    case "proof":
      return {
        kind,
        id: asId(head[1]),
        configurationVersion: asNumber(head[2]),
        ageMs: head[3] === null ? Infinity : asNonNegative(head[3]),
      };
    case "quota_request":
      return {
        kind,
        id: asId(head[1]),
        configurationVersion: asNumber(head[2]),
        deposits: unpackTokens(head[3]),
        wants: unpackTokens(head[4]),
      };
    case "quota_grant":
      return {
        kind,
        id: asId(head[1]),
        configurationVersion: asNumber(head[2]),
        grants: unpackTokens(head[3]),
      };
    case "ping":
    case "pong":
    case "knowledge_request":
    case "configuration_request":
      return { kind };
    case "knowledge":
    case "configuration":
      return { kind, body };
    default:
      throw new Error(`Unknown frame kind ${head[0]}`);
  }
}
