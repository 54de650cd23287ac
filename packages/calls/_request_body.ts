import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { DeckError } from "@oleanderdeck/errors";

/**
 * Greatest body that is collected before a call is admitted, in bytes. Such a
 * body can be sent again, and its upload over a slow connection holds no slot.
 */
export const COLLECTED_BODY_BYTES = 65_536;

/** Body of a call on its way from the caller to the target. */
export class RequestBody {
  readonly #request: IncomingMessage;
  readonly #bytes: number | undefined;
  readonly #maximumBytes: number;
  #collected: Buffer | undefined;
  #stream: UploadStream | undefined;
  #collectedAt = 0;

  /**
   * @param request Request whose body has not been touched.
   * @param bytes Size of the body; undefined for a chunked body.
   * @param maximumBytes Bound on the size of a chunked body.
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

  /** Whether the body is small enough to be collected, or empty. */
  get collectable(): boolean {
    return this.#bytes !== undefined && this.#bytes <= COLLECTED_BODY_BYTES;
  }

  /** Whether a whole body can still be sent. */
  get resendable(): boolean {
    return this.collectable || this.#stream === undefined ||
      !this.#stream.touched;
  }

  /** Whether the whole body has been received from the caller. */
  get received(): boolean {
    return this.#bytes === 0 || this.#request.complete;
  }

  /** Whether the target waits for bytes that the caller has not sent. */
  get waitsForCaller(): boolean {
    return this.#stream !== undefined && this.#stream.waitsForCaller;
  }

  /** Bytes collected so far; a change shows progress. */
  get collectedBytes(): number {
    return this.#collectedAt;
  }

  /**
   * Reads a collectable body.
   *
   * @param done Called once the body is whole; never when the caller goes away.
   */
  collect(done: () => void): void {
    const bytes = this.#bytes!;
    if (bytes === 0) return done();
    const chunks: Buffer[] = [];
    this.#request.on("data", (chunk: Buffer) => {
      chunks.push(chunk);
      this.#collectedAt += chunk.byteLength;
      if (this.#collectedAt < bytes) return;
      this.#collected = chunks.length === 1 ? chunk : Buffer.concat(chunks);
      done();
    });
  }

  /** Body for one attempt: collected bytes, a stream, or none. */
  payload(): Buffer | Readable | null {
    if (this.collectable) return this.#collected ?? null;
    this.#stream = new UploadStream(this.#request, this.#maximumBytes);
    return this.#stream;
  }
}

/**
 * Passes the body of a request on. A request that ends early ends the stream
 * with an error, so that the target never sees a clean end of a cut body. The
 * request itself stays usable for the answer when the target fails.
 */
class UploadStream extends Readable {
  readonly #request: IncomingMessage;
  readonly #maximumBytes: number;
  #bytes = 0;
  #started = false;

  constructor(request: IncomingMessage, maximumBytes: number) {
    super({ highWaterMark: COLLECTED_BODY_BYTES });
    this.#request = request;
    this.#maximumBytes = maximumBytes;
    // Without a listener an early failure would be an uncaught error.
    this.on("error", () => {});
  }

  /** Whether any byte was taken from the request. */
  get touched(): boolean {
    return this.#bytes > 0;
  }

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
