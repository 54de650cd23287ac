import { randomBytes } from "node:crypto";
import {
  type DescMessage,
  type DescMethod,
  type Message,
  toBinary,
} from "@bufbuild/protobuf";
import {
  type Client,
  Code,
  ConnectError,
  createClient,
  type Interceptor,
} from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { type Member, PeerService } from "@oleanderdeck/protocol";
import type { PeerKeys } from "./peer_keys.ts";

/** Client of another node's peer service. */
export type PeerClient = Client<typeof PeerService>;

/** Field with the nonce and the signature of a peer call. */
const SIGNATURE_FIELD = "oleanderdeck-peer-signature";

const PURPOSE = "peer call";
const NONCE_BYTES = 12;

/** Time after which an unused session is closed, in milliseconds. */
const IDLE_SESSION_MS = 15_000;

/** Sessions held at most; the one opened first is closed for another. */
const MAXIMUM_SESSIONS = 32;

/** Options of {@linkcode PeerClients}. */
export interface PeerClientsOptions {
  readonly keys: PeerKeys;
  /** Time for one call, in milliseconds. */
  readonly timeoutMs: number;
}

interface OpenSession {
  readonly manager: Http2SessionManager;
  readonly client: PeerClient;
}

function signedBytes(
  method: DescMethod,
  message: Message,
  nonce: string,
): Uint8Array {
  return Buffer.concat([
    Buffer.from(`${method.parent.typeName}/${method.name}\0${nonce}\0`),
    toBinary(method.input as DescMessage, message),
  ]);
}

function signCalls(keys: PeerKeys): Interceptor {
  return (next) => (request) => {
    if (request.stream) return next(request);
    const nonce = randomBytes(NONCE_BYTES).toString("base64url");
    const bytes = signedBytes(request.method, request.message, nonce);
    const signature = Buffer.from(keys.sign(PURPOSE, bytes));
    request.header.set(
      SIGNATURE_FIELD,
      `${nonce}.${signature.toString("base64url")}`,
    );
    return next(request);
  };
}

/**
 * Makes an interceptor for the peer service that refuses calls which no node of
 * the fleet signed. The signature covers the method and the message, so that a
 * message can not be changed or used for another method. A recorded call can be
 * sent again; therefore every method of the peer service is idempotent.
 *
 * @param keys Keys of the fleet.
 */
export function authenticatePeers(keys: PeerKeys): Interceptor {
  return (next) => (request) => {
    const [nonce = "", signature = ""] =
      (request.header.get(SIGNATURE_FIELD) ?? "").split(".");
    const valid = !request.stream && keys.verify(
      PURPOSE,
      signedBytes(request.method, request.message, nonce),
      Buffer.from(signature, "base64url"),
    );
    if (!valid) {
      throw new ConnectError(
        "The call is not signed by a node of the fleet",
        Code.Unauthenticated,
      );
    }
    return next(request);
  };
}

/** Clients of other nodes, with at most one session for each node. */
export class PeerClients {
  readonly #options: PeerClientsOptions;
  readonly #sessions = new Map<string, OpenSession>();

  /** @param options Keys and timeout. */
  constructor(options: PeerClientsOptions) {
    this.#options = options;
  }

  /** Client of a member's peer service. */
  client({ controlAddress }: Pick<Member, "controlAddress">): PeerClient {
    const known = this.#sessions.get(controlAddress);
    if (known !== undefined) return known.client;
    const opened = this.#open(controlAddress);
    this.#sessions.set(controlAddress, opened);
    if (this.#sessions.size > MAXIMUM_SESSIONS) this.#closeOldest();
    return opened.client;
  }

  /** Ends all sessions and their calls. */
  close(): void {
    this.#sessions.forEach(({ manager }) => manager.abort());
    this.#sessions.clear();
  }

  #open(address: string): OpenSession {
    const baseUrl = `http://${address}`;
    const manager = new Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs: IDLE_SESSION_MS,
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager: manager,
      defaultTimeoutMs: this.#options.timeoutMs,
      interceptors: [signCalls(this.#options.keys)],
    });
    return { manager, client: createClient(PeerService, transport) };
  }

  #closeOldest(): void {
    const [address, session] = this.#sessions.entries().next().value!;
    this.#sessions.delete(address);
    session.manager.abort();
  }
}
