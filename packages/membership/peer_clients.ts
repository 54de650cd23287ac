import { type Client, createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { type Member, PeerService } from "@oleanderdeck/protocol";
import type { PeerKeys } from "./peer_keys.ts";
import { signPeerCalls } from "./peer_signature.ts";

/** Client of the peer service of one node. */
export type PeerClient = Client<typeof PeerService>;

/** Options of {@linkcode PeerClients}. */
export interface PeerClientsOptions {
  readonly keys: PeerKeys;
  /** Node that makes the calls. */
  readonly nodeId: string;
  /** Time after which an idle connection is closed; 30 s if absent. */
  readonly idleTimeoutMs?: number;
  /** Timeout of a call; 5 s if absent. */
  readonly callTimeoutMs?: number;
}

const IDLE_TIMEOUT_MS = 30_000;
const CALL_TIMEOUT_MS = 5000;

// For comparison: a list of 5,100 members has 0.8 MB, and a document at most 1 MB.
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Above this number, clients without a connection are evicted, oldest first. */
const MAX_CACHED_CLIENTS = 64;

interface CachedClient {
  readonly client: PeerClient;
  readonly sessions: Http2SessionManager;
}

/** Cached clients of the peer service, with one HTTP/2 connection per member. */
export class PeerClients {
  readonly #options: PeerClientsOptions;
  /** Clients by control address and node id, the most recently used last. */
  readonly #cached = new Map<string, CachedClient>();

  /** @param options Keys that sign the calls, and timeouts. */
  constructor(options: PeerClientsOptions) {
    this.#options = options;
  }

  /** Number of connections that are open or being opened. */
  get connections(): number {
    return [...this.#cached.values()].filter(({ sessions }) =>
      !isUnused(sessions)
    )
      .length;
  }

  /**
   * Returns the client for the control address of a member. It connects at the
   * first call, and again after a fault. Calls fail with a `ConnectError`.
   */
  client(member: Member): PeerClient {
    const key = `${member.controlAddress} ${member.nodeId}`;
    const cached = this.#cached.get(key) ?? this.#create(member);
    this.#cached.delete(key);
    this.#cached.set(key, cached);
    this.#dropUnused();
    return cached.client;
  }

  /**
   * Fails calls in progress. Idle connections are not aborted: connect-node throws
   * an uncaught exception if a connection is aborted while it ends after a GOAWAY
   * frame, which is usual when nodes stop together. Idle connections do not keep
   * the process alive, and are closed by their timeout.
   */
  close(): void {
    [...this.#cached.values()]
      .filter(({ sessions }) => sessions.state() !== "idle")
      .forEach(({ sessions }) => sessions.abort());
    this.#cached.clear();
  }

  #create(member: Member): CachedClient {
    const { callTimeoutMs, idleTimeoutMs, keys, nodeId } = this.#options;
    const baseUrl = `http://${member.controlAddress}`;
    const sessions = new Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs: idleTimeoutMs ?? IDLE_TIMEOUT_MS,
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: "2",
      sessionManager: sessions,
      useBinaryFormat: true,
      defaultTimeoutMs: callTimeoutMs ?? CALL_TIMEOUT_MS,
      readMaxBytes: MAX_RESPONSE_BYTES,
      interceptors: [
        signPeerCalls({ keys, caller: nodeId, audience: member.nodeId }),
      ],
    });
    return { client: createClient(PeerService, transport), sessions };
  }

  #dropUnused(): void {
    for (const [key, { sessions }] of this.#cached) {
      if (this.#cached.size <= MAX_CACHED_CLIENTS) return;
      if (isUnused(sessions)) this.#cached.delete(key);
    }
  }
}

function isUnused(sessions: Http2SessionManager): boolean {
  const state = sessions.state();
  return state === "closed" || state === "error";
}
