import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { BinaryWriter, WireType } from "@bufbuild/protobuf/wire";
import { type Either, Left, Right } from "purify-ts";
import type { Priority } from "@oleanderdeck/agreement";
import { DeckError } from "@oleanderdeck/errors";
import type { PeerKeys } from "@oleanderdeck/membership";
import { SIGNATURE_BYTES } from "@oleanderdeck/membership";
import { type CallContext, CallContextSchema } from "@oleanderdeck/protocol";

/** Fields of a call context without those of the protobuf runtime. */
export type CallContextFields = Omit<CallContext, "$typeName" | "$unknown">;

/** Maximum depth of a call; a root request has depth 0. */
export const MAXIMUM_DEPTH = 32;

const CONTEXT_PURPOSE = "context";
const FORWARD_PURPOSE = "forward";

/**
 * Maximum number of decoded contexts that are cached. All child calls of one
 * request carry the same context.
 */
const MAX_CACHED_CONTEXTS = 2048;

/** Maximum length of an encoded context in characters. */
const MAXIMUM_CONTEXT_LENGTH = 2048;

/** Maximum number of {@linkcode SharedPart}s cached per audience node. */
const MAX_CACHED_PARTS = 64;

/** Maximum number of audience nodes for which shared parts are cached. */
const MAX_CACHED_AUDIENCES = 256;

/** Why a node forwards a call to another node. */
export type ForwardMode =
  /** The receiver runs the call on its own worker or refuses it. */
  | "serve"
  /**
   * The receiver issued the permit of the call and processes the call as if it
   * came from the caller.
   */
  | "permit";

const schemaFields = CallContextSchema.field;

/** Format of the peer field: mode, sender, and a signature of the call. */
const PEER_FIELD_FORMAT = /^(serve|permit)\.(.{1,128})\.([\w-]{22})$/;

/**
 * Encodes, signs and verifies call contexts, and signs and verifies the peer
 * field that authenticates a forwarding node.
 */
export class ContextCodec {
  readonly #keys: PeerKeys;
  readonly #cache = new Map<string, CallContext>();
  readonly #parts = new Map<string, SharedPart[]>();

  /** @param keys Keys shared by all nodes. */
  constructor(keys: PeerKeys) {
    this.#keys = keys;
  }

  /** Encodes a context as the value of the context field. */
  encode(fields: CallContextFields): string {
    // Encoded protobuf messages may be concatenated. The part that is equal for
    // all calls of an organisation to a worker is cached, because `toBinary`
    // takes 17 us per call.
    const bytes = new BinaryWriter()
      .raw(this.#sharedPart(fields))
      .tag(schemaFields.rootId.number, WireType.LengthDelimited)
      .bytes(fields.rootId)
      .tag(schemaFields.callId.number, WireType.LengthDelimited)
      .bytes(fields.callId)
      .tag(schemaFields.shedKey.number, WireType.Varint)
      .uint32(fields.shedKey)
      .tag(schemaFields.lentRetries.number, WireType.Varint)
      .uint32(fields.lentRetries)
      .finish();
    const signature = this.#keys.sign(CONTEXT_PURPOSE, bytes);
    return Buffer.concat([signature, bytes]).toString("base64url");
  }

  /**
   * Verifies and decodes the value of a context field. The error is
   * `malformed_request` if no node of the fleet has signed the value.
   */
  decode(text: string): Either<DeckError, CallContext> {
    const known = this.#cache.get(text);
    if (known !== undefined) return Right(known);
    const context = this.#decode(text);
    if (context === undefined) return Left(invalidContext());
    if (this.#cache.size >= MAX_CACHED_CONTEXTS) {
      this.#cache.delete(this.#cache.keys().next().value!);
    }
    this.#cache.set(text, context);
    return Right(context);
  }

  /**
   * Returns the signed value of the peer field of a forwarded call.
   *
   * @param sender Id of the forwarding node.
   * @param call Mode and the parts of the call that the signature covers.
   */
  signForward(sender: string, call: ForwardedCall): string {
    const signature = this.#keys.sign(
      FORWARD_PURPOSE,
      signedBytes(sender, call),
    );
    return `${call.mode}.${sender}.${
      Buffer.from(signature).toString("base64url")
    }`;
  }

  /**
   * Verifies the value of a peer field.
   *
   * @param value Value of the field.
   * @param call Parts of the call that the signature covers.
   * @returns The mode; undefined if the value is invalid.
   */
  verifyForward(
    value: string,
    call: Omit<ForwardedCall, "mode">,
  ): ForwardMode | undefined {
    const match = PEER_FIELD_FORMAT.exec(value);
    if (match === null) return undefined;
    const mode = match[1] as ForwardMode;
    const bytes = signedBytes(match[2]!, { ...call, mode });
    const signature = Buffer.from(match[3]!, "base64url");
    return this.#keys.verify(FORWARD_PURPOSE, bytes, signature)
      ? mode
      : undefined;
  }

  #sharedPart(fields: CallContextFields): Uint8Array {
    const parts = this.#partsFor(fields.audience);
    const known = parts.find((part) => part.matches(fields));
    if (known !== undefined) return known.bytes;
    if (parts.length >= MAX_CACHED_PARTS) parts.length = 0;
    const part = new SharedPart(fields);
    parts.push(part);
    return part.bytes;
  }

  #partsFor(audience: string): SharedPart[] {
    const known = this.#parts.get(audience);
    if (known !== undefined) return known;
    if (this.#parts.size >= MAX_CACHED_AUDIENCES) this.#parts.clear();
    const parts: SharedPart[] = [];
    this.#parts.set(audience, parts);
    return parts;
  }

  #decode(text: string): CallContext | undefined {
    if (text.length > MAXIMUM_CONTEXT_LENGTH) return undefined;
    const bytes = Buffer.from(text, "base64url");
    const message = bytes.subarray(SIGNATURE_BYTES);
    const signature = bytes.subarray(0, SIGNATURE_BYTES);
    if (!this.#keys.verify(CONTEXT_PURPOSE, message, signature)) {
      return undefined;
    }
    try {
      const context = fromBinary(CallContextSchema, message);
      return hasValidFields(context) ? context : undefined;
    } catch {
      return undefined;
    }
  }
}

/**
 * Encoded part of a context that is equal for all calls of one organisation,
 * calling service, priority and depth to one node.
 */
class SharedPart {
  readonly bytes: Uint8Array;
  readonly #fields: CallContextFields;

  constructor(fields: CallContextFields) {
    const { organisation, service, priority, depth } = fields;
    const { audience, audienceIncarnation } = fields;
    this.#fields = fields;
    this.bytes = toBinary(
      CallContextSchema,
      create(CallContextSchema, {
        organisation,
        service,
        priority,
        depth,
        audience,
        audienceIncarnation,
      }),
    );
  }

  /** Whether this part is valid for a context with the same audience. */
  matches(fields: CallContextFields): boolean {
    const cached = this.#fields;
    return cached.organisation === fields.organisation &&
      cached.service === fields.service &&
      cached.priority === fields.priority &&
      cached.depth === fields.depth &&
      cached.audienceIncarnation === fields.audienceIncarnation;
  }
}

/** Parts of a forwarded call that its signature covers. */
export interface ForwardedCall {
  readonly mode: ForwardMode;
  /** Value of the context field, unique per attempt. */
  readonly context: string;
  readonly method: string;
  /** Complete request target. */
  readonly url: string;
}

/** Returns the priority of a context decoded by {@linkcode ContextCodec}. */
export function priorityOf(context: CallContext): Priority {
  return context.priority as Priority;
}

function hasValidFields(context: CallContext): boolean {
  return context.priority <= 3 && context.shedKey <= 127 &&
    context.depth <= MAXIMUM_DEPTH && context.callId.length === 16 &&
    context.organisation !== "";
}

function signedBytes(sender: string, call: ForwardedCall): Uint8Array {
  return Buffer.from(
    `${sender}\n${call.mode}\n${call.context}\n${call.method} ${call.url}`,
  );
}

function invalidContext(): DeckError {
  return new DeckError("malformed_request", {
    message: "The call context is not valid",
  });
}
