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
  /** The node that calls. */
  readonly nodeId: string;
  /** Time after which an unused connection is closed, 30 s if absent. */
  readonly idleTimeoutMs?: number;
  /** Time limit of a call, 5 s if absent. */
  readonly callTimeoutMs?: number;
}

const IDLE_TIMEOUT_MS = 30_000;
const CALL_TIMEOUT_MS = 5000;

// The list of 5,100 members has 0.8 MB, and a document at most 1 MB.
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Clients that are kept; unused ones are dropped beyond it, oldest first. */
const MAX_CACHED_CLIENTS = 64;

interface CachedClient {
  readonly client: PeerClient;
  readonly sessions: Http2SessionManager;
}

/** Clients of the peer service by member, with one HTTP/2 connection each. */
export class PeerClients {
  readonly #options: PeerClientsOptions;
  /** By control address and node id, in the order of the latest use. */
  readonly #cached = new Map<string, CachedClient>();

  /** @param options Keys that sign the calls, and time limits. */
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
   * Client for the control address of a member. It connects with the first call
   * and again after a fault; errors of calls are `ConnectError`.
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
   * Fails calls in progress. Idle connections do not keep the process alive and
   * end by their timeout: connect-node throws an uncaught exception when a
   * connection is aborted while it ends after a GOAWAY frame, which is usual
   * when nodes stop together.
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
