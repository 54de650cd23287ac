import { type Either, Left, Right } from "purify-ts";
import { Pool } from "undici";
import { z } from "zod";
import { DeckError, isErrorKind } from "@oleanderdeck/errors";
import {
  type PutOptions,
  Store,
  type StoredObject,
  type StoreListing,
  type WatchOptions,
} from "./store.ts";

/** Options of {@linkcode HttpStore}. */
export interface HttpStoreOptions {
  /** Origin of the store, for example `http://127.0.0.1:7800`. */
  readonly origin: string;
  /** Time for one call, in milliseconds; 3,000 by default. */
  readonly timeoutMs?: number;
  /** Greatest size of one answer in bytes; 16 MB by default. */
  readonly maximumAnswerBytes?: number;
  /** Greatest size of all objects of a listing in bytes; 128 MB by default. */
  readonly maximumListingBytes?: number;
  /** Greatest number of connections; 4 by default. */
  readonly connections?: number;
}

const OBJECT = z.object({
  name: z.string(),
  version: z.int().min(1),
  value: z.string(),
  deleted: z.boolean(),
});

const PAGE = z.object({
  revision: z.int().min(0),
  objects: z.array(OBJECT),
  more: z.boolean(),
});

const FAILURE = z.object({
  kind: z.string(),
  message: z.string(),
  run: z.enum(["no", "yes", "unknown"]),
});

/** Codes of errors that occur before any byte of a request is sent. */
const NOT_SENT_CODES: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
  "UND_ERR_CLOSED",
]);

interface Call {
  readonly method: "GET" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
}

/** Client of the store over HTTP. */
export class HttpStore extends Store {
  readonly #pool: Pool;
  readonly #timeoutMs: number;
  readonly #maximumAnswerBytes: number;
  readonly #maximumListingBytes: number;

  /** @param options Origin, timeout and bounds. */
  constructor(options: HttpStoreOptions) {
    super();
    this.#timeoutMs = options.timeoutMs ?? 3_000;
    this.#maximumAnswerBytes = options.maximumAnswerBytes ?? 16_000_000;
    this.#maximumListingBytes = options.maximumListingBytes ?? 128_000_000;
    this.#pool = new Pool(options.origin, {
      connections: options.connections ?? 4,
      pipelining: 1,
      connect: { timeout: this.#timeoutMs },
    });
  }

  get(name: string): Promise<Either<DeckError, StoredObject>> {
    return this.#call({
      method: "GET",
      path: objectPath(name),
      timeoutMs: this.#timeoutMs,
    }, OBJECT);
  }

  async list(prefix: string): Promise<Either<DeckError, StoreListing>> {
    const objects: StoredObject[] = [];
    let bytes = 0;
    let afterRevision = 0;
    // The store answers in pages in the order of versions. An object that
    // changes between two pages has a higher version then and comes again.
    while (true) {
      const page = await this.#call({
        method: "GET",
        path: listingPath({ prefix, after: afterRevision }),
        timeoutMs: this.#timeoutMs,
      }, PAGE);
      if (page.isLeft()) return page;
      const { revision, more, objects: found } = page.unsafeCoerce();
      objects.push(...found);
      bytes += found.reduce((sum, { value }) => sum + value.length, 0);
      if (bytes > this.#maximumListingBytes) {
        return Left(
          new DeckError("too_large", {
            message:
              `The listing of the store is larger than ${this.#maximumListingBytes} bytes`,
          }),
        );
      }
      if (!more) return Right({ revision, objects: latest(objects) });
      if (revision <= afterRevision) {
        return Left(
          new DeckError("store_unavailable", {
            message: "The store gave a page that does not advance",
          }),
        );
      }
      afterRevision = revision;
    }
  }

  put(
    name: string,
    value: string,
    options: PutOptions,
  ): Promise<Either<DeckError, StoredObject>> {
    return this.#call({
      method: "PUT",
      path: `${objectPath(name)}?expected=${options.expectedVersion}`,
      body: value,
      timeoutMs: this.#timeoutMs,
    }, OBJECT);
  }

  delete(
    name: string,
    options: PutOptions,
  ): Promise<Either<DeckError, StoredObject>> {
    return this.#call({
      method: "DELETE",
      path: `${objectPath(name)}?expected=${options.expectedVersion}`,
      timeoutMs: this.#timeoutMs,
    }, OBJECT);
  }

  async watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<Either<DeckError, StoreListing>> {
    const page = await this.#call({
      method: "GET",
      path: listingPath({
        prefix,
        after: options.afterRevision,
        wait: Math.ceil(options.waitMs),
      }),
      timeoutMs: options.waitMs + this.#timeoutMs,
    }, PAGE);
    // The revision of a page that was cut is the version of its last object,
    // so the next watch from there gives the rest.
    return page.map(({ revision, objects }) => ({ revision, objects }));
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #call<Result>(
    call: Call,
    schema: z.ZodType<Result>,
  ): Promise<Either<DeckError, Result>> {
    const lostRun = call.method === "GET" ? "no" : "unknown";
    const abort = new AbortController();
    const timer = setTimeout(
      () => abort.abort(new Error(`No answer within ${call.timeoutMs} ms`)),
      call.timeoutMs,
    );
    try {
      const response = await this.#pool.request({
        method: call.method,
        path: call.path,
        body: call.body,
        headers: call.body === undefined
          ? {}
          : { "content-type": "text/plain; charset=utf-8" },
        // The timer above bounds the call as a whole.
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: abort.signal,
      });
      const text = await readText(response.body, this.#maximumAnswerBytes);
      const content: unknown = JSON.parse(text);
      if (response.statusCode === 200) return Right(schema.parse(content));
      const failure = FAILURE.parse(content);
      return Left(
        isErrorKind(failure.kind)
          ? new DeckError(failure.kind, {
            message: failure.message,
            run: failure.run,
          })
          : unavailable(lostRun, new Error(failure.message)),
      );
    } catch (error) {
      const notSent = NOT_SENT_CODES.has((error as { code?: unknown }).code);
      return Left(unavailable(notSent ? "no" : lostRun, error));
    } finally {
      clearTimeout(timer);
    }
  }
}

function unavailable(run: "no" | "unknown", cause: unknown): DeckError {
  const detail = cause instanceof Error ? cause.message : String(cause);
  return new DeckError("store_unavailable", {
    message: `The platform's store did not answer: ${detail}`,
    run,
    cause,
  });
}

function objectPath(name: string): string {
  return `/v1/objects/${encodeURIComponent(name)}`;
}

function listingPath(query: Readonly<Record<string, string | number>>): string {
  const parameters = new URLSearchParams();
  for (const [key, value] of Object.entries(query)) {
    parameters.set(key, String(value));
  }
  return `/v1/objects?${parameters}`;
}

/** Keeps the last of several versions of one object. */
function latest(objects: readonly StoredObject[]): readonly StoredObject[] {
  const byName = new Map<string, StoredObject>();
  for (const object of objects) {
    byName.delete(object.name);
    byName.set(object.name, object);
  }
  return [...byName.values()];
}

async function readText(
  body: AsyncIterable<Uint8Array>,
  maximumBytes: number,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    // Leaving the loop destroys the body and its connection.
    if (bytes > maximumBytes) {
      throw new Error(`The answer is larger than ${maximumBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
