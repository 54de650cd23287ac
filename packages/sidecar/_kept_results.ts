import type { AnswerFrame, FailureFrame, Link } from "@oleanderdeck/hop";
import type { MemoryAccount, MemoryReservation } from "@oleanderdeck/serving";

/**
 * Time for which a result is kept if the caller's node confirms nothing, in
 * milliseconds. It exceeds the silence after which a link is closed.
 */
const KEPT_MS = 2_500;

/**
 * Bytes of results after which the caller's node is asked for a confirmation. A
 * link that carries fewer within {@linkcode KEPT_MS} costs no additional frames.
 */
const CONFIRM_AFTER_BYTES = 65_536;

/** Bytes that a result holds in addition to its body, about. */
const RESULT_BYTES = 1_024;

/** Result of a call. */
export type ResultFrame = AnswerFrame | FailureFrame;

/** Result that was sent and may be lost. */
interface KeptResult {
  /** What is sent if the result is claimed. */
  readonly frame: ResultFrame;
  readonly memory: MemoryReservation;
  /** Number of frames that were sent on the link up to the result. */
  readonly position: number;
  readonly sentAt: number;
}

/**
 * Results that were sent on a link, until the caller's node has received them for
 * sure. They are kept for a short time and within the process's memory for them;
 * in place of an answer that does not fit in, its loss is kept.
 */
export class KeptResults {
  readonly #link: Link;
  readonly #account: MemoryAccount;
  /** Results by the numbers of their calls, in the order in which they were sent. */
  readonly #results = new Map<number, KeptResult>();
  #unconfirmedBytes = 0;
  #isClosed = false;

  /**
   * @param link Link on which the results are sent.
   * @param account Account of the memory for the results.
   */
  constructor(link: Link, account: MemoryAccount) {
    this.#link = link;
    this.#account = account;
  }

  /**
   * Keeps a result that was just sent.
   *
   * @returns Whether it is kept whole; an answer that does not fit in is not.
   */
  add(frame: ResultFrame): boolean {
    if (this.#isClosed) return false;
    this.prune();
    const memory = this.#account.open("kept_answers");
    const bytes = RESULT_BYTES + ("body" in frame ? frame.body.length : 0);
    const hasRoom = memory.grow(bytes);
    this.#remove(frame.id);
    this.#results.set(frame.id, {
      frame: hasRoom || frame.kind === "failure" ? frame : lossOf(frame),
      memory,
      position: this.#link.sentFrames,
      sentAt: performance.now(),
    });
    this.#unconfirmedBytes += bytes;
    if (this.#unconfirmedBytes >= CONFIRM_AFTER_BYTES) {
      this.#unconfirmedBytes = 0;
      this.#link.ping();
    }
    return hasRoom;
  }

  /** Whether a result of the call is kept. */
  has(id: number): boolean {
    return this.#results.has(id);
  }

  /** Returns the result of a call and keeps it no longer. */
  take(id: number): ResultFrame | undefined {
    const frame = this.#results.get(id)?.frame;
    this.#remove(id);
    return frame;
  }

  /** Gives up the results that were received, or were kept for long enough. */
  prune(): void {
    const keptSince = performance.now() - KEPT_MS;
    for (const [id, { position, sentAt }] of this.#results) {
      const isNeeded = position > this.#link.confirmedFrames &&
        sentAt > keptSince;
      if (isNeeded) return;
      this.#remove(id);
    }
  }

  /** Gives up all results. */
  close(): void {
    this.#isClosed = true;
    this.#results.forEach(({ memory }) => memory.close());
    this.#results.clear();
  }

  #remove(id: number): void {
    this.#results.get(id)?.memory.close();
    this.#results.delete(id);
  }
}

/** Returns what is sent in place of an answer that is lost. */
export function lossOf({ id, load }: AnswerFrame): FailureFrame {
  return {
    kind: "failure",
    id,
    error: "answer_cut",
    mayHaveRun: true,
    wasSent: true,
    retryAfterMs: 0,
    load,
  };
}
