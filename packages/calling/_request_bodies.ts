import type { ErrorKind } from "@oleanderdeck/errors";
import { BodyBuffer } from "@oleanderdeck/serving";
import type { Exchange } from "./_caller_connection.ts";

/**
 * Maximum number of bytes of a refused body that are read and thrown away. A
 * caller that has sent more than this ahead sees its refusal all the same, since
 * the system holds what is not read.
 */
const MAX_DISCARDED_BYTES = 1_048_576;

/** Options of {@linkcode RequestBodies}. */
export interface RequestBodiesOptions {
  /** Returns the maximum length of one body, in bytes. */
  readonly maxBodyBytes: () => number;
  /** Returns the number of bytes that all bodies may hold in memory. */
  readonly maxHeldBytes: () => number;
  /** Refuses a request whose body does not fit. */
  readonly refuse: (exchange: Exchange, error: ErrorKind) => void;
}

/** Reads the bodies of requests, within limits on each and on all of them. */
export class RequestBodies {
  readonly #options: RequestBodiesOptions;
  #heldBytes = 0;

  /** @param options Limits and receiver of refusals. */
  constructor(options: RequestBodiesOptions) {
    this.#options = options;
  }

  /**
   * Reads the body of a request. After a refusal nothing of it is kept.
   *
   * @param exchange Request whose header is complete.
   * @param onRead Called with the complete body, unless the request was refused.
   */
  read(exchange: Exchange, onRead: (body: Buffer) => void): void {
    const { request, response } = exchange;
    const body = new BodyBuffer({ maxLength: this.#options.maxBodyBytes() });
    let length = 0;
    const receive = (chunk: Buffer) => {
      length += chunk.length;
      this.#heldBytes += chunk.length;
      const error = this.#errorFor(length);
      if (error === undefined) return body.add(chunk);
      request.off("data", receive);
      discardRest(exchange);
      this.#options.refuse(exchange, error);
    };
    request.on("data", receive);
    request.once("end", () => {
      if (!response.headersSent) onRead(body.bytes);
    });
    exchange.onEnd(() => {
      request.off("data", receive);
      body.clear();
      this.#heldBytes -= length;
    });
  }

  #errorFor(length: number): ErrorKind | undefined {
    if (length > this.#options.maxBodyBytes()) return "too_large";
    return this.#heldBytes > this.#options.maxHeldBytes()
      ? "not_ready"
      : undefined;
  }
}

// The stream is paused once enough was thrown away; it ends with the connection,
// which closes behind the refusal.
function discardRest({ request }: Exchange): void {
  let discarded = 0;
  request.on("data", (chunk: Buffer) => {
    discarded += chunk.length;
    if (discarded > MAX_DISCARDED_BYTES) request.pause();
  });
}
