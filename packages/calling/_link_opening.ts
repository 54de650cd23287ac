import {
  type BodyAcceptance,
  type Frame,
  type HelloFrame,
  Link,
  openLinkSocket,
} from "@oleanderdeck/hop";

/**
 * Time limit for opening a link, which includes the first frame of the peer, in
 * milliseconds.
 */
const OPEN_TIMEOUT_MS = 1_000;

/** Options of {@linkcode LinkOpening}. */
export interface LinkOpeningOptions {
  /** Address at which the peer accepts links, as host:port. */
  readonly address: string;
  /** First frame that is sent to the peer. */
  readonly hello: HelloFrame;
  /** Returns whether the first frame is that of the wanted peer. */
  readonly isExpected: (hello: HelloFrame) => boolean;
  /** Called when the link is open, before its first frame is passed on. */
  readonly onOpened: (opened: OpenedLink) => void;
  /** Called once if the link could not be opened. */
  readonly onFailed: (failure: OpeningFailure) => void;
  /** Called with each frame of the open link, the first one included. */
  readonly onFrame: (frame: Frame, link: Link) => void;
  /** Asked for each long body. */
  readonly acceptBody: BodyAcceptance;
  /** Called once when the open link has closed. */
  readonly onClosed: (link: Link, reason: string) => void;
}

/** Open link to the wanted peer. */
export interface OpenedLink {
  readonly link: Link;
  readonly roundTripMs: number;
  /** First frame of the peer. */
  readonly hello: HelloFrame;
}

/** Reason for which a link could not be opened. */
export interface OpeningFailure {
  readonly reason: string;
  /** Whether another node than the wanted one answered. */
  readonly isUnexpectedPeer: boolean;
}

/**
 * Opens a link to a peer. The link is open when the wanted peer has sent its
 * first frame on it: a process that is stopped accepts connections as well, and
 * the address of a removed host may have been assigned to another one.
 */
export class LinkOpening {
  readonly #options: LinkOpeningOptions;
  readonly #link: Link;
  readonly #timer: NodeJS.Timeout;
  readonly #startedAt = performance.now();
  #roundTripMs = 0;
  #isOpen = false;
  #isUnexpectedPeer = false;

  /** @param options Peer and receivers of the outcome. */
  constructor(options: LinkOpeningOptions) {
    this.#options = options;
    const [host, port] = options.address.split(":");
    const opened = openLinkSocket(host!, Number(port));
    opened.socket.once("connect", () => {
      this.#roundTripMs = performance.now() - this.#startedAt;
    });
    this.#link = new Link(opened, {
      onFrame: (frame) => this.#receive(frame),
      acceptBody: options.acceptBody,
      onClose: (reason) => this.#onClose(reason),
    });
    this.#link.send(options.hello);
    this.#timer = setTimeout(
      () => this.close("Connection to the peer timed out"),
      OPEN_TIMEOUT_MS,
    );
  }

  /** Gives up; the link fails to open for the given reason. */
  close(reason: string): void {
    this.#link.close(reason);
  }

  #receive(frame: Frame): void {
    if (!this.#isOpen) {
      if (frame.kind !== "hello") return;
      if (!this.#options.isExpected(frame)) {
        this.#isUnexpectedPeer = true;
        return this.close(`node ${frame.node} answers at the address`);
      }
      clearTimeout(this.#timer);
      this.#isOpen = true;
      this.#options.onOpened({
        link: this.#link,
        roundTripMs: this.#roundTripMs,
        hello: frame,
      });
    }
    this.#options.onFrame(frame, this.#link);
  }

  #onClose(reason: string): void {
    clearTimeout(this.#timer);
    if (this.#isOpen) return this.#options.onClosed(this.#link, reason);
    this.#options.onFailed({
      reason,
      isUnexpectedPeer: this.#isUnexpectedPeer,
    });
  }
}
