import { connect, type Socket } from "node:net";
import {
  type BodyAcceptance,
  FrameDecoder,
  FrameEncoder,
} from "./frame_codec.ts";
import type { Frame } from "./frame.ts";
import { destroyWhenEnded, type EndTimes } from "./socket_end.ts";

/** Time without received bytes after which a ping is sent, in milliseconds. */
const PING_IDLE_AFTER_MS = 1_000;

/**
 * Time without received bytes after which a ping is sent while the owner waits
 * for a frame of the peer, in milliseconds.
 */
const PING_WAITING_AFTER_MS = 200;

/**
 * Time without an answer to a ping after which a link gets no further calls, in
 * milliseconds. It allows for one retransmission of a lost packet.
 */
const SUSPECT_AFTER_MS = 450;

/**
 * Time between two checks above which this process itself is considered to have
 * stalled, so that received bytes may not have been read yet, in milliseconds.
 */
const STALLED_AFTER_MS = 600;

/**
 * Time without received bytes after which a link is closed, in milliseconds. It
 * allows for the retransmissions of a packet that is lost three times in a row.
 */
const CLOSE_AFTER_SILENCE_MS = 2_200;

/**
 * Received bytes between two checks, without a frame sent, at which the peer gets
 * a sign of life, since a ping of its own may wait behind them. Two sides without
 * calls exchange less.
 */
const SIGN_AFTER_BYTES = 4_096;

/** Size of the read buffer in bytes. */
const READ_BUFFER_BYTES = 65_536;

/** Maximum size of chunks that are joined into one write, in bytes. */
const MAX_JOINED_BYTES = 65_536;

/**
 * Buffer shared by the reads of all links. Each read copies its bytes before the
 * next one begins.
 */
const READ_BUFFER = Buffer.alloc(READ_BUFFER_BYTES);

/** Socket of a link and the way to receive its bytes. */
export interface LinkSocket {
  readonly socket: Socket;
  /** Sets the function that receives all bytes of the peer. */
  readonly onBytes: (receive: (bytes: Buffer) => void) => void;
}

/**
 * Opens a socket for a link. Its bytes are read without a stream, which saves a
 * buffer and several events per read.
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

/** Wraps the socket of a link that a peer has opened. */
export function acceptedLinkSocket(socket: Socket): LinkSocket {
  return { socket, onBytes: (receive) => socket.on("data", receive) };
}

/** Callbacks of the owner of a link. */
export interface LinkHandlers {
  /** Called with each received frame other than ping and pong. */
  readonly onFrame: (frame: Frame) => void;
  /** Asked for each long body; all are received if absent. */
  readonly acceptBody?: BodyAcceptance;
  /** Called once when the link has closed, with the reason. */
  readonly onClose: (reason: string) => void;
}

/**
 * Connection between two nodes that carries frames in both directions. It pings
 * a peer that sends nothing, and closes if the peer does not answer.
 */
export class Link {
  readonly #socket: Socket;
  readonly #handlers: LinkHandlers;
  readonly #decoder: FrameDecoder;
  readonly #encoder = new FrameEncoder();
  #unwritten: Buffer[] = [];
  #onWritten: (() => void)[] = [];
  #lastReceived = performance.now();
  #lastChecked = performance.now();
  /**
   * Time at which the ping without an answer has left the process, or was sent if
   * it still waits.
   */
  #pingedAt: number | undefined;
  /** Time at which bytes that waited were last seen to leave the process. */
  #lastProgress = 0;
  /** Bytes that had left the process at the last check. */
  #leftBytes = 0;
  /** Whether bytes waited in the process at the last check. */
  #wasWaiting = false;
  /** Bytes received since the last check. */
  #receivedBytes = 0;
  /** Whether a frame was sent since the last check. */
  #hasSent = false;
  #sentFrames = 0;
  #confirmedFrames = 0;
  /** Frames sent up to each ping that the peer has not answered. */
  #unansweredPings: number[] = [];
  /** Whether the link closes as soon as the peer has answered all pings. */
  #isEnding = false;
  /** Whether this side has sent its last byte. */
  #hasEnded = false;
  #isClosed = false;

  /**
   * @param linkSocket Connected socket, which the link owns from now on.
   * @param handlers Callbacks for received frames and for the end of the link.
   */
  constructor({ socket, onBytes }: LinkSocket, handlers: LinkHandlers) {
    this.#socket = socket;
    this.#handlers = handlers;
    this.#decoder = new FrameDecoder(handlers.acceptBody);
    socket.setNoDelay(true);
    onBytes((bytes) => this.#receive(bytes));
    socket.on("error", (error) => this.close(error.message));
    socket.on("end", () => this.close("closed by the peer"));
    socket.on("close", () => this.close("closed by the peer"));
  }

  /** Whether the link is closed. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Number of bytes that the peer has not taken yet. */
  get unsentBytes(): number {
    return this.#socket.writableLength;
  }

  /** Number of frames that were sent so far. */
  get sentFrames(): number {
    return this.#sentFrames;
  }

  /**
   * Number of sent frames, counted from the first, that the peer has received for
   * sure, since it has answered a later ping.
   */
  get confirmedFrames(): number {
    return this.#confirmedFrames;
  }

  /**
   * Whether, at the last check, a ping had been unanswered for longer than
   * {@linkcode SUSPECT_AFTER_MS}, in which no bytes had left the process either.
   */
  get isSuspect(): boolean {
    if (this.#pingedAt === undefined) return false;
    const since = Math.max(this.#pingedAt, this.#lastProgress);
    return this.#lastChecked - since > SUSPECT_AFTER_MS;
  }

  /**
   * Sends a frame; does nothing on a closed or ended link. Frames sent in one turn
   * of the event loop are written with one system call.
   *
   * @param frame Frame to send.
   * @param onWritten Called when the system has taken the frame; possibly not at
   * all once the link is closed.
   */
  send(frame: Frame, onWritten?: () => void): void {
    if (this.#isClosed || this.#hasEnded) return;
    this.#hasSent = true;
    this.#sentFrames++;
    if (onWritten !== undefined) this.#onWritten.push(onWritten);
    if (this.#unwritten.length === 0) setImmediate(() => this.#flush());
    this.#unwritten.push(...this.#encoder.encode(frame));
  }

  /**
   * Asks the peer to confirm what was sent before.
   *
   * @param onWritten Called when the system has taken the ping; possibly not at all
   * once the link is closed.
   */
  ping(onWritten?: () => void): void {
    this.#unansweredPings.push(this.#sentFrames);
    this.send({ kind: "ping" }, onWritten);
  }

  /**
   * Closes the link immediately, without writing frames that still wait.
   *
   * @param reason Reason for the `onClose` callback.
   */
  close(reason = "closed"): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#socket.destroy();
    this.#handlers.onClose(reason);
  }

  /**
   * Ends the link in order: handles what the peer has sent until it answers a
   * ping, writes the frames that wait, and closes when the peer has done so. The
   * owner has told the peer before to send no more calls.
   *
   * @param times Times after which the link is closed in any case.
   * @returns Resolves when the link is closed.
   */
  end(times: EndTimes): Promise<void> {
    if (!this.#isClosed && !this.#isEnding) {
      this.#isEnding = true;
      this.ping();
      this.#flush();
    }
    return destroyWhenEnded(this.#socket, times);
  }

  /**
   * Pings a peer that has sent nothing for some time, and closes the link if the
   * peer remains silent and no bytes that wait for it leave the process. The owner
   * calls this method several times per second, with one timer for all links.
   *
   * @param isWaiting Whether the owner waits for a frame of the peer.
   */
  check(isWaiting: boolean): void {
    const now = performance.now();
    const wasStalled = now - this.#lastChecked > STALLED_AFTER_MS;
    this.#lastChecked = now;
    if (wasStalled) this.#pingedAt = undefined;
    this.#checkProgress(now);
    const silentMs = now - this.#lastReceived;
    const lifelessMs = Math.min(silentMs, now - this.#lastProgress);
    const pingAfter = isWaiting ? PING_WAITING_AFTER_MS : PING_IDLE_AFTER_MS;
    if (lifelessMs > CLOSE_AFTER_SILENCE_MS && !wasStalled) {
      this.close("no bytes from the peer");
    } else if (silentMs > pingAfter && this.#pingedAt === undefined) {
      this.#pingedAt = now;
      this.ping(() => {
        if (this.#pingedAt !== undefined) this.#pingedAt = performance.now();
      });
    }
    this.#giveSign();
  }

  // The system takes bytes also while the peer is silent, but not for long.
  #checkProgress(now: number): void {
    const { bytesWritten, writableLength } = this.#socket;
    const leftBytes = bytesWritten - writableLength;
    const isWaiting = writableLength > 0;
    const hasProgress = leftBytes > this.#leftBytes;
    if (hasProgress && (isWaiting || this.#wasWaiting)) {
      this.#lastProgress = now;
    }
    this.#leftBytes = leftBytes;
    this.#wasWaiting = isWaiting;
  }

  #giveSign(): void {
    const isReceiving = this.#receivedBytes > SIGN_AFTER_BYTES ||
      this.#receivedBytes > 0 && this.#decoder.isWithinFrame;
    if (isReceiving && !this.#hasSent) this.ping();
    this.#receivedBytes = 0;
    this.#hasSent = false;
  }

  #receivePong(): void {
    this.#confirmedFrames = this.#unansweredPings.shift() ??
      this.#confirmedFrames;
    if (!this.#isEnding || this.#unansweredPings.length > 0) return;
    this.#flush();
    this.#hasEnded = true;
    this.#socket.end();
  }

  #flush(): void {
    const chunks = this.#unwritten;
    const listeners = this.#onWritten;
    this.#unwritten = [];
    this.#onWritten = [];
    if (this.#isClosed || chunks.length === 0) return;
    const onWritten = listeners.length === 0
      ? undefined
      : () => listeners.forEach((listener) => listener());
    const bytes = chunks.reduce((sum, { length }) => sum + length, 0);
    if (chunks.length > 1 && bytes <= MAX_JOINED_BYTES) {
      this.#socket.write(Buffer.concat(chunks, bytes), onWritten);
      return;
    }
    this.#socket.cork();
    chunks.slice(0, -1).forEach((chunk) => this.#socket.write(chunk));
    this.#socket.write(chunks.at(-1)!, onWritten);
    this.#socket.uncork();
  }

  #receive(chunk: Buffer): void {
    this.#lastReceived = performance.now();
    this.#receivedBytes += chunk.length;
    this.#pingedAt = undefined;
    // An error ends this link only, and the peer opens a new one.
    try {
      this.#decoder.read(chunk).forEach((frame) => this.#handle(frame));
    } catch (error) {
      this.close(`malformed frame: ${(error as Error).message}`);
    }
  }

  #handle(frame: Frame): void {
    if (this.#isClosed || this.#hasEnded) return;
    if (frame.kind === "ping") this.send({ kind: "pong" });
    else if (frame.kind === "pong") this.#receivePong();
    else this.#handlers.onFrame(frame);
  }
}
