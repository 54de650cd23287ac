import { connect, type Socket } from "node:net";
import { FrameDecoder, FrameEncoder } from "./frame_codec.ts";
import type { Frame } from "./frame.ts";

/** Time without any byte after which a ping is sent, in milliseconds. */
const PING_IDLE_AFTER_MS = 1_000;

/** The same while the owner waits for a frame of the peer. */
const PING_WAITING_AFTER_MS = 200;

/**
 * Time without an answer to a ping after which a link is not used for more, in
 * milliseconds. It covers one repeat of a lost packet.
 */
const SUSPECT_AFTER_MS = 450;

/**
 * Time between two checks above which the process itself was held up and may
 * not have read what has arrived, in milliseconds.
 */
const HELD_UP_MS = 600;

/**
 * Time without any byte after which a link is closed, in milliseconds. It
 * covers the repeats of a packet that was lost three times in a row.
 */
const SILENT_MS = 2_200;

/** Bytes that one read of a link takes. */
const READ_BYTES = 65_536;

/** Greatest number of bytes that are copied to be written at once. */
const MAX_JOINED_BYTES = 65_536;

/** Taken by one read at a time; what was read is copied at once. */
const READ_BUFFER = Buffer.alloc(READ_BYTES);

/** Socket of a link that is being opened. */
export interface LinkSocket {
  readonly socket: Socket;
  /** Sets the receiver of all bytes of the peer. */
  readonly onBytes: (receive: (bytes: Buffer) => void) => void;
}

/**
 * Opens a socket for a link. Its bytes are read without a stream, which
 * spares a buffer and several events for each read.
 */
export function openLinkSocket(host: string, port: number): LinkSocket {
  let receiver: ((bytes: Buffer) => void) | undefined;
  const socket = connect({
    host,
    port,
    onread: {
      buffer: READ_BUFFER,
      callback: (length) => {
        receiver?.(Buffer.from(READ_BUFFER.subarray(0, length)));
        return true;
      },
    },
  });
  return { socket, onBytes: (receive) => receiver = receive };
}

/** Socket of a link that a peer has opened. */
export function acceptedLinkSocket(socket: Socket): LinkSocket {
  return { socket, onBytes: (receive) => socket.on("data", receive) };
}

/** What the owner of a link does with its events. */
export interface LinkHandlers {
  /** A frame other than ping and pong has arrived. */
  readonly onFrame: (frame: Frame) => void;
  /** The link has ended; called once. */
  readonly onClose: (reason: string) => void;
}

/**
 * One connection between two nodes that carries frames both ways. It pings a
 * silent peer and closes when the peer stays silent.
 */
export class Link {
  readonly #socket: Socket;
  readonly #handlers: LinkHandlers;
  readonly #decoder = new FrameDecoder();
  readonly #encoder = new FrameEncoder();
  #unwritten: Buffer[] = [];
  #lastReceived = performance.now();
  #lastChecked = performance.now();
  #pingedAt: number | undefined;
  #isClosed = false;

  /**
   * @param socket Connected socket, which the link owns from now on.
   * @param handlers What the owner does with frames and with the end.
   */
  constructor({ socket, onBytes }: LinkSocket, handlers: LinkHandlers) {
    this.#socket = socket;
    this.#handlers = handlers;
    socket.setNoDelay(true);
    onBytes((bytes) => this.#receive(bytes));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", () => this.close("closed by the peer"));
  }

  /** Whether the link has ended. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Whether the peer has left a ping unanswered for some time. */
  get isSuspect(): boolean {
    return this.#pingedAt !== undefined &&
      this.#lastChecked - this.#pingedAt > SUSPECT_AFTER_MS;
  }

  /**
   * Sends a frame; does nothing on a closed link. The frames of one turn of the
   * event loop leave with one system call.
   */
  send(frame: Frame): void {
    if (this.#isClosed) return;
    if (this.#unwritten.length === 0) setImmediate(() => this.#flush());
    this.#unwritten.push(...this.#encoder.encode(frame));
  }

  /** Ends the link at once. */
  close(reason = "closed"): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#socket.destroy();
    this.#handlers.onClose(reason);
  }

  /**
   * Pings a silent peer and closes the link when the peer stays silent. The
   * owner calls it some times a second, with one timer for all links.
   *
   * @param isWaiting Whether the owner waits for a frame of the peer.
   */
  check(isWaiting: boolean): void {
    const now = performance.now();
    const wasHeldUp = now - this.#lastChecked > HELD_UP_MS;
    this.#lastChecked = now;
    if (wasHeldUp) this.#pingedAt = undefined;
    const silent = now - this.#lastReceived;
    const pingAfter = isWaiting ? PING_WAITING_AFTER_MS : PING_IDLE_AFTER_MS;
    if (silent > SILENT_MS && !wasHeldUp) {
      this.close("no bytes from the peer");
    } else if (silent > pingAfter && this.#pingedAt === undefined) {
      this.#pingedAt = now;
      this.send({ kind: "ping" });
    }
  }

  #flush(): void {
    const chunks = this.#unwritten;
    this.#unwritten = [];
    if (this.#isClosed) return;
    const bytes = chunks.reduce((sum, { length }) => sum + length, 0);
    if (chunks.length > 1 && bytes <= MAX_JOINED_BYTES) {
      this.#socket.write(Buffer.concat(chunks, bytes));
      return;
    }
    this.#socket.cork();
    chunks.forEach((chunk) => this.#socket.write(chunk));
    this.#socket.uncork();
  }

  #receive(chunk: Buffer): void {
    this.#lastReceived = performance.now();
    this.#pingedAt = undefined;
    let frames: readonly Frame[];
    try {
      frames = this.#decoder.read(chunk);
    } catch (error) {
      return this.close(`malformed frame: ${(error as Error).message}`);
    }
    for (const frame of frames) {
      if (this.#isClosed) return;
      if (frame.kind === "ping") this.send({ kind: "pong" });
      else if (frame.kind !== "pong") this.#handlers.onFrame(frame);
    }
  }
}
