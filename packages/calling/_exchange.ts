import type { IncomingMessage, ServerResponse } from "node:http";
import { headerBytes } from "./_header_memory.ts";

/**
 * Memory of a request and its response besides the header, in bytes: objects of
 * Node.js and of this package.
 */
const REQUEST_BYTES = 4_096;

/** HTTP request of a caller and the response to it. */
export class Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Time at which the header was complete, as of `performance.now()`. */
  readonly arrivedAt = performance.now();
  /** Memory that the request takes besides its body, in bytes. */
  readonly bytes: number;
  readonly #claimClose: (exchange: Exchange) => boolean;
  readonly #endListeners: (() => void)[] = [];
  #isEnded = false;

  /**
   * @param request Request with its complete header.
   * @param response Response that is not written yet.
   * @param claimClose Decides whether the answer may close the connection.
   */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    claimClose: (exchange: Exchange) => boolean,
  ) {
    this.request = request;
    this.response = response;
    this.bytes = REQUEST_BYTES + headerBytes(request.rawHeaders);
    this.#claimClose = claimClose;
  }

  /**
   * Registers a listener that is called once, when the answer was written or the
   * connection has closed.
   */
  onEnd(listener: () => void): void {
    this.#endListeners.push(listener);
  }

  /**
   * Calls the listeners of the end, unless they were called before, and drops the
   * header, which Node.js keeps as long as the connection if the body is not read.
   */
  end(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#endListeners.forEach((listener) => listener());
    this.request.rawHeaders = [];
    this.request.headers = {};
  }

  /**
   * Whether the answer may close the connection; true if all earlier ones are made
   * and no request that was read stands behind this one. None is then started any
   * more.
   */
  claimClose(): boolean {
    return this.#claimClose(this);
  }
}
