import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { CountedRequest } from "./_counted_request.ts";

/**
 * Bytes that the HTTP parser gets at once where a request may begin. It parses all
 * of the requests in them before any can be held back.
 */
const SLICE_BYTES = 1_024;

/** Beginning of the end of a body in chunks, behind the chunk before it. */
const LAST_CHUNK = "\r\n0";

/** End of a header, and of trailers. */
const HEADER_END = "\r\n\r\n";

const EMPTY: Buffer = Buffer.alloc(0);

/** Events by which Node.js stops to read while its parser is paused. */
const KEPT_EVENTS = ["pause", "resume"] as const;

/** Options of {@linkcode BoundedInput}. */
export interface BoundedInputOptions {
  /** Whether no further request may be parsed for now. */
  readonly isFull: () => boolean;
  /**
   * Called when reading has stopped, since there are too many requests.
   *
   * @param bytes Bytes that were read and not parsed.
   */
  readonly onHeld: (bytes: number) => void;
  /** Called when reading goes on, with the same number of bytes. */
  readonly onReadOn: (bytes: number) => void;
  /** Called with parsed bytes of a header, or of trailers, that are incomplete. */
  readonly onHeaderPart?: (part: Buffer) => void;
  /** Called when the parser holds no such bytes any more. */
  readonly onHeaderEnd?: () => void;
}

/**
 * Input of a connection of an HTTP server. Node.js reads and parses requests
 * without a limit, which takes several kilobytes for each; this class passes the
 * bytes on in small pieces and stops to read while there are too many requests.
 */
export class BoundedInput {
  readonly #socket: Socket;
  readonly #options: BoundedInputOptions;
  readonly #parse: (chunk: Buffer) => void;
  /** Calls what Node.js does at an event, which stops or starts to read. */
  readonly #callKept: (name: "pause" | "resume") => void;
  /** Bytes that were read and not parsed. */
  #held: Buffer | undefined;
  #last: IncomingMessage | undefined;
  /** Length of its body as its header states it. */
  #statedLength: string | undefined;
  /** Whether a request was begun in the piece that is being parsed. */
  #hasBegun = false;
  /** Bytes parsed behind the piece with the end of the last header. */
  #bytesBehindHeader = 0;
  /** Last bytes parsed, in which the end of a body may begin. */
  #tail: Buffer = EMPTY;
  /** Whether the end of a body in chunks may have begun. */
  #mayEnd = false;
  #isParsing = false;
  /**
   * Bytes that are held while the connection is not read, since there are too many
   * requests; undefined while it is read.
   */
  #heldBytes: number | undefined;
  #isStopped = false;

  /**
   * @param socket Connection that the server has just accepted.
   * @param options When no further request may be parsed.
   * @throws {Error} If the server has no listener for the bytes.
   */
  constructor(socket: Socket, options: BoundedInputOptions) {
    this.#socket = socket;
    this.#options = options;
    const [parse] = socket.listeners("data");
    if (parse === undefined) throw new Error("Nothing parses the connection");
    this.#parse = (chunk) => parse.call(socket, chunk);
    // Node.js takes its listeners off for a socket that others read.
    const kept = KEPT_EVENTS.flatMap((event) =>
      socket.listeners(event).map((listener) => [event, listener] as const)
    );
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.off("data", parse as () => void);
    this.#callKept = (name) =>
      kept.filter(([event]) => event === name)
        .forEach(([, listener]) => listener.call(socket));
    kept.forEach(([event, listener]) => {
      if (socket.listeners(event).includes(listener)) return;
      socket.on(event, listener as () => void);
    });
    // Behind the listener of Node.js, which pauses again if its parser is paused.
    socket.on("resume", () => this.#onResumed());
    socket.once("close", () => this.stop());
  }

  /** Whether all bytes that were read have been parsed. */
  get isEmpty(): boolean {
    return this.#held === undefined && this.#socket.readableLength === 0;
  }

  /** Tells which request the parser has begun. */
  begin(request: IncomingMessage): void {
    this.#last = request;
    this.#statedLength = request.headers["content-length"];
    this.#hasBegun = true;
    this.#bytesBehindHeader = 0;
  }

  /** Reads on if it was held back and fewer requests are held now. */
  update(): void {
    if (this.#last?.complete === true) this.#last = undefined;
    if (this.#heldBytes === undefined || this.#isStopped) return;
    if (this.#isFull()) return;
    this.#readOn();
    this.#socket.resume();
  }

  /** Drops what was not parsed and all that follows. */
  stop(): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    this.#held = undefined;
    const wasHeld = this.#heldBytes !== undefined;
    this.#readOn();
    if (!wasHeld || this.#socket.destroyed) return;
    this.#callKept("resume");
    this.#socket.resume();
  }

  #receive(chunk: Buffer): void {
    if (this.#isStopped) return;
    this.#held = this.#held === undefined
      ? chunk
      : Buffer.concat([this.#held, chunk]);
    this.#parseHeld();
  }

  // Other readers of the socket, such as that of a body, resume it as well.
  #onResumed(): void {
    if (this.#isStopped) return;
    if (this.#isFull()) this.#hold();
    else {
      this.#readOn();
      this.#parseHeld();
    }
  }

  // While Node.js has paused the socket, its parser may not be called.
  #parseHeld(): void {
    if (this.#isParsing) return;
    this.#isParsing = true;
    while (this.#held !== undefined && !this.#isInterrupted()) {
      this.#parseNext(this.#held);
    }
    this.#isParsing = false;
    if (!this.#isStopped && this.#isFull()) this.#hold();
  }

  // The body of a request that was begun is read in any case; its reader bounds it.
  #isFull(): boolean {
    return this.#last?.complete !== false && this.#options.isFull();
  }

  #isInterrupted(): boolean {
    return this.#socket.isPaused() || this.#socket.destroyed ||
      this.#isFull();
  }

  #parseNext(held: Buffer): void {
    const length = this.#nextLength(held);
    this.#held = length < held.length ? held.subarray(length) : undefined;
    const last = this.#last;
    const piece = length < held.length ? held.subarray(0, length) : held;
    this.#parseWatched(piece);
    if (this.#last === last) this.#bytesBehindHeader += length;
    else this.#mayEnd = false;
    if (this.#last === undefined || this.#last.complete) return;
    this.#mayEnd ||= this.#beginsLastChunk(piece) || piece.includes(LAST_CHUNK);
    this.#tail = piece.subarray(-2);
  }

  /** Parses a piece and tells what it leaves of a header that is incomplete. */
  #parseWatched(piece: Buffer): void {
    const { onHeaderEnd, onHeaderPart } = this.#options;
    const body = this.#last?.complete === false ? this.#last : undefined;
    const bodyBytes = bodyBytesOf(body);
    this.#hasBegun = false;
    this.#parse(piece);
    if (this.#isStopped) return;
    if (this.#hasBegun) {
      onHeaderEnd?.();
      if (this.#last?.complete !== false) this.#reportRest(piece);
    } else if (body?.complete || bodyBytesOf(body) !== bodyBytes) {
      onHeaderEnd?.();
    } else onHeaderPart?.(piece);
  }

  /** Reports what stands behind the last request of a piece. */
  #reportRest(piece: Buffer): void {
    const rest = piece.subarray(headerEnd(piece));
    if (rest.length > 0) this.#options.onHeaderPart?.(rest);
  }

  #beginsLastChunk(piece: Buffer): boolean {
    return Buffer.concat([this.#tail, piece.subarray(0, 2)])
      .includes(LAST_CHUNK);
  }

  #nextLength(held: Buffer): number {
    const { length } = held;
    const last = this.#last;
    if (length <= SLICE_BYTES || last === undefined || last.complete) {
      return Math.min(length, SLICE_BYTES);
    }
    return Math.min(
      length,
      Math.max(SLICE_BYTES, this.#bodyLength(held)),
    );
  }

  /** Number of the held bytes that are certainly of a body and no request. */
  #bodyLength(held: Buffer): number {
    if (this.#statedLength !== undefined) {
      // Some of the body may have been in the piece with the end of the header.
      return Number(this.#statedLength) - this.#bytesBehindHeader - SLICE_BYTES;
    }
    if (this.#mayEnd || this.#beginsLastChunk(held)) return 0;
    const end = held.indexOf(LAST_CHUNK);
    return end < 0 ? held.length : end;
  }

  // A paused stream reads once more, up to the end of this turn.
  #hold(): void {
    if (!this.#socket.isPaused()) this.#socket.pause();
    if (this.#heldBytes !== undefined) return;
    this.#heldBytes = 0;
    setImmediate(() => this.#endReading());
  }

  #endReading(): void {
    if (this.#heldBytes !== 0 || this.#socket.destroyed) return;
    this.#callKept("pause");
    const bytes = (this.#held?.length ?? 0) + this.#socket.readableLength;
    if (bytes === 0) return;
    this.#heldBytes = bytes;
    this.#options.onHeld(bytes);
  }

  #readOn(): void {
    const bytes = this.#heldBytes;
    this.#heldBytes = undefined;
    if (bytes !== undefined && bytes > 0) this.#options.onReadOn(bytes);
  }
}

// Behind the last header that ends in a piece. If there is no such end as a whole,
// it began in the piece before.
function headerEnd(piece: Buffer): number {
  const end = piece.lastIndexOf(HEADER_END);
  if (end >= 0) return end + HEADER_END.length;
  return piece.subarray(0, HEADER_END.length - 1).lastIndexOf("\n") + 1;
}

function bodyBytesOf(request: IncomingMessage | undefined): number {
  return request instanceof CountedRequest ? request.bodyBytes : 0;
}
