import { type Either, Left, Right } from "purify-ts";
import { Pool } from "undici";
import { z } from "zod";
import { DeckError, isErrorKind } from "@oleanderdeck/errors";
import {
  type ConditionalWriteOptions,
  Store,
  type StoredObject,
  type StoreListing,
  type WatchOptions,
} from "./store.ts";

/** Options of {@linkcode HttpStore}. */
export interface HttpStoreOptions {
  /** Origin of the store, for example `http://127.0.0.1:7800`. */
  readonly origin: string;
  /** Timeout of one call in milliseconds; 3,000 by default. */
  readonly timeoutMs?: number;
  /** Maximum size of one answer in bytes; 16 MB by default. */
  readonly maximumAnswerBytes?: number;
  /**
   * Maximum total size of the values in a listing, in UTF-16 code units;
   * 128 million by default.
   */
  readonly maximumListingBytes?: number;
  /** Maximum number of connections; 4 by default. */
  readonly connections?: number;
}

const OBJECT_SCHEMA = z.object({
  name: z.string(),
  version: z.int().min(1),
  value: z.string(),
  deleted: z.boolean(),
});

const PAGE_SCHEMA = z.object({
  revision: z.int().min(0),
  objects: z.array(OBJECT_SCHEMA),
  more: z.boolean(),
});

const ERROR_SCHEMA = z.object({
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

interface StoreRequest {
  readonly method: "GET" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
}

/** Client that calls the store over HTTP. */
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
    }, OBJECT_SCHEMA);
  }

  async list(prefix: string): Promise<Either<DeckError, StoreListing>> {
    const objects: StoredObject[] = [];
    let bytes = 0;
    let afterRevision = 0;
    // The store returns pages in the order of versions. An object that changes
    // between two pages gets a higher version and is returned again.
    while (true) {
      const page = await this.#call({
        method: "GET",
        path: listingPath({ prefix, after: afterRevision }),
        timeoutMs: this.#timeoutMs,
      }, PAGE_SCHEMA);
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
      if (!more) return Right({ revision, objects: latestVersions(objects) });
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
    options: ConditionalWriteOptions,
  ): Promise<Either<DeckError, StoredObject>> {
    return this.#call({
      method: "PUT",
      path: `${objectPath(name)}?expected=${options.expectedVersion}`,
      body: value,
      timeoutMs: this.#timeoutMs,
    }, OBJECT_SCHEMA);
  }

  delete(
    name: string,
    options: ConditionalWriteOptions,
  ): Promise<Either<DeckError, StoredObject>> {
    return this.#call({
      method: "DELETE",
      path: `${objectPath(name)}?expected=${options.expectedVersion}`,
      timeoutMs: this.#timeoutMs,
    }, OBJECT_SCHEMA);
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
    }, PAGE_SCHEMA);
    // The revision of a page that is not the last one is the version of its
    // last object, so the next watch from there returns the remaining objects.
    return page.map(({ revision, objects }) => ({ revision, objects }));
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #call<Result>(
    call: StoreRequest,
    schema: z.ZodType<Result>,
  ): Promise<Either<DeckError, Result>> {
    // Execution status of a call whose answer is lost.
    const runIfLost = call.method === "GET" ? "no" : "unknown";
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
        // The timer above limits the duration of the entire call.
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: abort.signal,
      });
      const text = await readText(response.body, this.#maximumAnswerBytes);
      const content: unknown = JSON.parse(text);
      if (response.statusCode === 200) return Right(schema.parse(content));
      const failure = ERROR_SCHEMA.parse(content);
      return Left(
        isErrorKind(failure.kind)
          ? new DeckError(failure.kind, {
            message: failure.message,
            run: failure.run,
          })
          : unavailable(runIfLost, new Error(failure.message)),
      );
    } catch (error) {
      const notSent = NOT_SENT_CODES.has((error as { code?: unknown }).code);
      return Left(unavailable(notSent ? "no" : runIfLost, error));
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

/** Returns only the last version of each object. */
function latestVersions(
  objects: readonly StoredObject[],
): readonly StoredObject[] {
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
    // Leaving the loop destroys the body stream and its connection.
    if (bytes > maximumBytes) {
      throw new Error(`The answer is larger than ${maximumBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
