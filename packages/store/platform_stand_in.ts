import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import { DeckError, ERROR_DETAILS } from "@oleanderdeck/errors";
import type { MemoryStore } from "./memory_store.ts";
import {
  MAX_OBJECT_BYTES,
  type StoredObject,
  type StoreListing,
} from "./store.ts";
import { STORE_FAULTS_SCHEMA } from "./store_faults.ts";

/** Maximum time that a watch may wait, in milliseconds. */
export const MAX_WATCH_WAIT_MS = 60_000;

/**
 * Total size of the values in a page of a listing, in bytes, from which on no
 * further object is added. A page exceeds it by at most one object.
 */
export const PAGE_BYTES = 2_000_000;

/** Options of {@linkcode startPlatformStandIn}. */
export interface PlatformStandInOptions {
  /** Store that holds the objects, the faults and the counters. */
  readonly store: MemoryStore;
  /** IP address to listen on. */
  readonly host: string;
  /** TCP port; 0 for any free port. */
  readonly port: number;
}

/** Running stand-in server. */
export interface PlatformStandIn {
  /** Origin of the server, for example `http://127.0.0.1:7800`. */
  readonly origin: string;
  /** Aborts waiting calls and closes the store and all connections. */
  close(): Promise<void>;
}

/**
 * Starts a server that stands in for the platform's store in tests and demos.
 *
 * Endpoints of the store:
 *
 * - `GET /v1/objects/<name>` reads an object.
 * - `PUT` and `DELETE /v1/objects/<name>?expected=<version>` write and delete
 *   an object.
 * - `GET /v1/objects?prefix=&after=&wait=` watches objects, or lists them if
 *   `wait` is absent.
 *
 * An error is a JSON object with the fields `kind`, `message` and `run`.
 *
 * Control endpoints, whose calls are not counted and not subject to the faults:
 *
 * - `GET` and `PATCH /control/faults` read and change the faults.
 * - `GET` and `DELETE /control/counters` read and reset the counters.
 *
 * @param options Store and address.
 * @throws {Error} If the server cannot listen on the address.
 */
export async function startPlatformStandIn(
  options: PlatformStandInOptions,
): Promise<PlatformStandIn> {
  const server = createServer((request, response) => {
    serve(options.store, request, response).catch(() => response.destroy());
  });
  server.maxConnections = 20_000;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    origin: `http://${options.host}:${port}`,
    close: async () => {
      await options.store.close();
      const closed = new Promise<void>((resolve) =>
        server.close(() => resolve())
      );
      server.closeAllConnections();
      await closed;
    },
  };
}

async function serve(
  store: MemoryStore,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://stand-in");
  const answer = url.pathname.startsWith("/control/")
    ? await handleControl(store, request, url)
    : await callStore(store, request, url);
  answer.caseOf({
    Right: (content) => send(response, 200, content),
    Left: (error) => {
      // A lost answer is simulated by closing the connection.
      if (error.run === "unknown") return void response.destroy();
      send(response, ERROR_DETAILS[error.kind].status, {
        kind: error.kind,
        message: error.message,
        run: error.run,
      });
    },
  });
}

function send(
  response: ServerResponse,
  status: number,
  content: unknown,
): void {
  const body = Buffer.from(JSON.stringify(content));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  response.end(body);
}

async function callStore(
  store: MemoryStore,
  request: IncomingMessage,
  url: URL,
): Promise<Either<DeckError, unknown>> {
  const parameters = url.searchParams;
  if (url.pathname === "/v1/objects" && request.method === "GET") {
    const prefix = parameters.get("prefix") ?? "";
    const after = readNumber(parameters.get("after") ?? "0");
    if (after === undefined) return malformed("after is not a number");
    if (!parameters.has("wait")) {
      return (await store.list(prefix)).map((listing) =>
        firstPage(listing, after)
      );
    }
    const wait = readNumber(parameters.get("wait"));
    if (wait === undefined || wait > MAX_WATCH_WAIT_MS) {
      return malformed(`wait is not a number up to ${MAX_WATCH_WAIT_MS}`);
    }
    return (await store.watch(prefix, { afterRevision: after, waitMs: wait }))
      .map((listing) => firstPage(listing, after));
  }
  const name = readName(url.pathname);
  if (name === undefined) return Left(new DeckError("not_found"));
  if (request.method === "GET") return await store.get(name);
  const expectedVersion = readNumber(parameters.get("expected"));
  if (expectedVersion === undefined) {
    return malformed("expected is not a number");
  }
  if (request.method === "DELETE") {
    return await store.delete(name, { expectedVersion });
  }
  if (request.method !== "PUT") return malformed("The method is not known");
  const value = await readBody(request);
  return value === undefined
    ? Left(new DeckError("too_large"))
    : await store.put(name, value, { expectedVersion });
}

async function handleControl(
  store: MemoryStore,
  request: IncomingMessage,
  url: URL,
): Promise<Either<DeckError, unknown>> {
  switch (`${request.method} ${url.pathname}`) {
    case "GET /control/faults":
      return Right(store.faults());
    case "PATCH /control/faults": {
      const faults = STORE_FAULTS_SCHEMA.partial()
        .safeParse(parseJson(await readBody(request)));
      if (!faults.success) return malformed(faults.error.message);
      store.setFaults(faults.data);
      return Right(store.faults());
    }
    case "GET /control/counters":
      return Right(store.counters());
    case "DELETE /control/counters":
      store.resetCounters();
      return Right(store.counters());
    default:
      return Left(new DeckError("not_found"));
  }
}

function malformed(message: string): Either<DeckError, never> {
  return Left(new DeckError("malformed_request", { message }));
}

/** Returns the first page of a listing, which bounds the size of the answer. */
function firstPage(
  listing: StoreListing,
  after: number,
): StoreListing & { readonly more: boolean } {
  const objects: StoredObject[] = [];
  let bytes = 0;
  for (const object of listing.objects) {
    if (object.version <= after) continue;
    if (bytes >= PAGE_BYTES) {
      return { revision: objects.at(-1)!.version, objects, more: true };
    }
    objects.push(object);
    bytes += Buffer.byteLength(object.value);
  }
  return { revision: listing.revision, objects, more: false };
}

function readNumber(text: string | null): number | undefined {
  return text !== null && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

function readName(path: string): string | undefined {
  const match = /^\/v1\/objects\/(.+)$/.exec(path);
  if (match === null) return undefined;
  try {
    return decodeURIComponent(match[1]!);
  } catch {
    return undefined;
  }
}

function parseJson(text: string | undefined): unknown {
  try {
    return JSON.parse(text ?? "");
  } catch {
    return undefined;
  }
}

/** Reads a body; undefined if above {@linkcode MAX_OBJECT_BYTES}. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    // The rest is read and discarded, so that the client receives the answer.
    if (bytes <= MAX_OBJECT_BYTES) chunks.push(chunk);
    else chunks.length = 0;
  }
  return bytes <= MAX_OBJECT_BYTES
    ? Buffer.concat(chunks).toString("utf8")
    : undefined;
}
