import type { ErrorKind } from "@oleanderdeck/errors";
import type { Exchange } from "./_caller_connection.ts";

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
   * Reads the body of a request.
   *
   * @param exchange Request whose header is complete.
   * @param onRead Called with the chunks of the complete body, unless the request
   * was refused.
   */
  read(exchange: Exchange, onRead: (chunks: readonly Buffer[]) => void): void {
    const { request, response } = exchange;
    const chunks: Buffer[] = [];
    let length = 0;
    request.on("data", (chunk: Buffer) => {
      chunks.push(chunk);
      if (response.headersSent) return;
      length += chunk.length;
      this.#heldBytes += chunk.length;
      const error = this.#errorFor(length);
      if (error === undefined) return;
      chunks.length = 0;
      this.#options.refuse(exchange, error);
    });
    request.once("end", () => {
      if (!response.headersSent) onRead(chunks);
    });
    exchange.onEnd(() => this.#heldBytes -= length);
  }

  #errorFor(length: number): ErrorKind | undefined {
    if (length > this.#options.maxBodyBytes()) return "too_large";
    return this.#heldBytes > this.#options.maxHeldBytes()
      ? "not_ready"
      : undefined;
  }
}
