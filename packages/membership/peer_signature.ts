import { createHash, randomBytes } from "node:crypto";
import { toBinary } from "@bufbuild/protobuf";
import {
  Code,
  ConnectError,
  type Interceptor,
  type UnaryRequest,
} from "@connectrpc/connect";
import { PEER_FIELD, PeerService } from "@oleanderdeck/protocol";
import type { PeerKeys } from "./peer_keys.ts";

const PURPOSE = "peer-rpc";
const NONCE_BYTES = 16;
const SIGNATURE_FIELD =
  /^(?<caller>[^\s;]+);(?<nonce>[0-9a-f]{32});(?<signature>[0-9a-f]{32})$/;

/** Number of the latest nonces that a server remembers, of all callers. */
const MAX_REMEMBERED_NONCES = 10_000;

/** Options of {@linkcode signPeerCalls}. */
export interface PeerSigningOptions {
  readonly keys: PeerKeys;
  /** Node id of the caller. */
  readonly caller: string;
  /** Node id of the called node. */
  readonly audience: string;
}

/**
 * Signs calls of the peer service in the `oleanderdeck-peer` field, as
 * `<caller>;<nonce>;<signature>`. The signature covers the method, the caller,
 * the called node, the nonce and the request message. It prevents calls by
 * processes without a key, altered calls, and calls that are replayed to another
 * node. It has no timestamp, as nodes have no common clock: a call that is replayed
 * to the same node is rejected only while the node remembers the nonce. This is
 * harmless because the calls of the peer service are idempotent. The content of
 * calls is not encrypted, and responses are neither encrypted nor signed.
 */
export function signPeerCalls(options: PeerSigningOptions): Interceptor {
  const { audience, caller, keys } = options;
  return (next) => (request) => {
    if (request.stream) return next(request);
    const nonce = randomBytes(NONCE_BYTES).toString("hex");
    const content = signedContent(request, { caller, audience, nonce });
    const signature = Buffer.from(keys.sign(PURPOSE, content)).toString("hex");
    request.header.set(PEER_FIELD, `${caller};${nonce};${signature}`);
    return next(request);
  };
}

/** Options of {@linkcode verifyPeerCalls}. */
export interface PeerVerificationOptions {
  readonly keys: PeerKeys;
  /** Node id of the node that serves the calls. */
  readonly nodeId: string;
}

/**
 * Rejects calls of the peer service that are not signed as
 * {@linkcode signPeerCalls} does, with the code `unauthenticated`. Calls of other
 * services on the same server are accepted without a check.
 */
export function verifyPeerCalls(options: PeerVerificationOptions): Interceptor {
  const { keys, nodeId: audience } = options;
  const nonces = new Set<string>();
  return (next) => (request) => {
    if (request.service.typeName !== PeerService.typeName) return next(request);
    const field = request.header.get(PEER_FIELD) ?? "";
    const { caller, nonce, signature } = SIGNATURE_FIELD.exec(field)?.groups ??
      {};
    if (
      request.stream || caller === undefined || nonce === undefined ||
      signature === undefined ||
      !keys.verify(
        PURPOSE,
        signedContent(request, { caller, audience, nonce }),
        Buffer.from(signature, "hex"),
      )
    ) {
      throw new ConnectError("The call is not signed", Code.Unauthenticated);
    }
    if (nonces.has(nonce)) {
      throw new ConnectError("The call is repeated", Code.Unauthenticated);
    }
    nonces.add(nonce);
    if (nonces.size > MAX_REMEMBERED_NONCES) {
      nonces.delete(nonces.values().next().value!);
    }
    return next(request);
  };
}

interface CallIdentity {
  readonly caller: string;
  readonly audience: string;
  readonly nonce: string;
}

function signedContent(request: UnaryRequest, identity: CallIdentity): Buffer {
  const message = toBinary(request.method.input, request.message);
  const digest = createHash("sha256").update(message).digest("hex");
  const { audience, caller, nonce } = identity;
  return Buffer.from(
    JSON.stringify([request.method.name, caller, audience, nonce, digest]),
  );
}
