import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { DeckError } from "@oleanderdeck/errors";

/**
 * Maximum size of a body that is buffered before the call is admitted, in bytes.
 * A buffered body can be sent again, and its upload over a slow connection
 * occupies no slot.
 */
export const MAX_BUFFERED_BODY_BYTES = 65_536;

/** Request body of a call, either buffered or streamed to the target. */
export class RequestBody {
  readonly #request: IncomingMessage;
  readonly #bytes: number | undefined;
  readonly #maximumBytes: number;
  #buffered: Buffer | undefined;
  #stream: UploadStream | undefined;
  #bufferedBytes = 0;

  /**
   * @param request Request whose body has not been read.
   * @param bytes Size of the body in bytes; undefined for a chunked body.
   * @param maximumBytes Maximum size of a chunked body in bytes.
   */
  constructor(
    request: IncomingMessage,
    bytes: number | undefined,
    maximumBytes: number,
  ) {
    this.#request = request;
    this.#bytes = bytes;
    this.#maximumBytes = maximumBytes;
  }

  /** Whether the size is known and small enough to buffer the body. */
  get isBufferable(): boolean {
    return this.#bytes !== undefined && this.#bytes <= MAX_BUFFERED_BODY_BYTES;
  }

  /** Whether the complete body can still be sent. */
  get resendable(): boolean {
    return this.isBufferable || this.#stream === undefined ||
      !this.#stream.hasReadBytes;
  }

  /** Whether the complete body has been received from the caller. */
  get received(): boolean {
    return this.#bytes === 0 || this.#request.complete;
  }

  /** Whether the upload is waiting for bytes that the caller has not sent. */
  get waitsForCaller(): boolean {
    return this.#stream !== undefined && this.#stream.waitsForCaller;
  }

  /** Number of bytes buffered so far; a change indicates progress. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /**
   * Buffers a body for which {@linkcode RequestBody.isBufferable} is true.
   *
   * @param done Called once the body is complete; never if the caller disconnects
   * before.
   */
  buffer(done: () => void): void {
    const bytes = this.#bytes!;
    if (bytes === 0) return done();
    const chunks: Buffer[] = [];
    this.#request.on("data", (chunk: Buffer) => {
      chunks.push(chunk);
      this.#bufferedBytes += chunk.byteLength;
      if (this.#bufferedBytes < bytes) return;
      this.#buffered = chunks.length === 1 ? chunk : Buffer.concat(chunks);
      done();
    });
  }

  /** Returns the body for one attempt: buffered bytes, a stream, or null. */
  payload(): Buffer | Readable | null {
    if (this.isBufferable) return this.#buffered ?? null;
    this.#stream = new UploadStream(this.#request, this.#maximumBytes);
    return this.#stream;
  }
}

/**
 * Streams the body of a request to the target. If the request ends early, the
 * stream fails with an error, so that the target never takes a truncated body
 * for a complete one. Destroying the stream leaves the request open, so that the
 * caller still gets a response if the target fails.
 */
class UploadStream extends Readable {
  readonly #request: IncomingMessage;
  readonly #maximumBytes: number;
  #bytes = 0;
  #started = false;

  constructor(request: IncomingMessage, maximumBytes: number) {
    super({ highWaterMark: MAX_BUFFERED_BODY_BYTES });
    this.#request = request;
    this.#maximumBytes = maximumBytes;
    // Without a listener, an error before the stream is in use is uncaught.
    this.on("error", () => {});
  }

  /** Whether any bytes of the request body have been read. */
  get hasReadBytes(): boolean {
    return this.#bytes > 0;
  }

  /** Whether the stream is waiting for bytes from the caller. */
  get waitsForCaller(): boolean {
    return !this.readableEnded && this.readableLength === 0;
  }

  override _read(): void {
    if (!this.#started) this.#start();
    this.#request.resume();
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    this.#request.off("data", this.#onData);
    this.#request.off("end", this.#onEnd);
    this.#request.off("close", this.#onClose);
    callback(error);
  }

  #start(): void {
    this.#started = true;
    this.#request.on("data", this.#onData);
    this.#request.on("end", this.#onEnd);
    this.#request.on("close", this.#onClose);
    if (this.#request.destroyed) this.#onClose();
  }

  readonly #onData = (chunk: Buffer): void => {
    this.#bytes += chunk.byteLength;
    if (this.#bytes > this.#maximumBytes) {
      this.destroy(new DeckError("too_large", { run: "unknown" }));
    } else if (!this.push(chunk)) this.#request.pause();
  };

  readonly #onEnd = (): void => {
    this.push(null);
  };

  readonly #onClose = (): void => {
    if (!this.#request.readableEnded) {
      this.destroy(new DeckError("caller_cancelled"));
    }
  };
}
