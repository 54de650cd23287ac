import { type AnswerFrame, freeBody, type Link } from "@oleanderdeck/hop";
import {
  type MemoryReservation,
  SMALL_RESERVATION_BYTES,
} from "@oleanderdeck/serving";

/** Large answer and the memory of its body. */
interface LargeAnswer {
  readonly frame: AnswerFrame;
  readonly memory: MemoryReservation;
  /** Whether an earlier link may not have let go of the body. */
  readonly isShared: boolean;
}

/**
 * Answers on one link to a caller's node. One large answer is always under way;
 * more are sent as far as the memory of answers that peers have not taken allows,
 * and others wait.
 */
export class LinkAnswers {
  readonly #link: Link;
  readonly #onSent: (frame: AnswerFrame) => boolean;
  /** Memory of the answers that the peer has not taken yet. */
  readonly #held = new Set<MemoryReservation>();
  /** Answers that wait for room, by the numbers of their calls. */
  readonly #waiting = new Map<number, LargeAnswer>();

  /**
   * @param link Link on which the answers are sent.
   * @param onSent Called with each answer that was sent; returns whether the owner
   * keeps its body.
   */
  constructor(link: Link, onSent: (frame: AnswerFrame) => boolean) {
    this.#link = link;
    this.#onSent = onSent;
  }

  /** Whether answers wait for room. */
  get areWaiting(): boolean {
    return this.#waiting.size > 0;
  }

  /** Whether the answer to a call waits for room. */
  isWaiting(id: number): boolean {
    return this.#waiting.has(id);
  }

  /**
   * Sends an answer, now or when there is room.
   *
   * @param frame Answer.
   * @param memory Memory of its body, which is taken over if it is large.
   */
  send(frame: AnswerFrame, memory: MemoryReservation | undefined): void {
    const isSmall = frame.body.length <= SMALL_RESERVATION_BYTES;
    if (isSmall || memory === undefined || this.#link.isClosed) {
      this.#link.send(frame);
      return void this.#onSent(frame);
    }
    this.#sendLarge({ frame, memory: memory.handOver(), isShared: false });
  }

  /**
   * Sends an answer that was sent on an earlier link and may be lost.
   *
   * @param frame Answer.
   * @param memory Memory of its body, which is taken over.
   */
  sendAgain(frame: AnswerFrame, memory: MemoryReservation): void {
    this.#sendLarge({ frame, memory, isShared: true });
  }

  /**
   * Returns the answer to a call if it waits, and no longer holds it. The receiver
   * takes over its memory.
   */
  take(id: number): Omit<LargeAnswer, "isShared"> | undefined {
    const answer = this.#waiting.get(id);
    if (answer === undefined) return undefined;
    this.#waiting.delete(id);
    this.#held.delete(answer.memory);
    return answer;
  }

  #sendLarge(answer: LargeAnswer): void {
    const { frame } = answer;
    const mayPass = this.#held.size === this.#waiting.size;
    this.#held.add(answer.memory);
    this.#waiting.set(frame.id, answer);
    if (answer.memory.moveTo("waiting_answers") || mayPass) {
      return this.#sendNow(answer);
    }
    answer.memory.moveWhenRoom("waiting_answers", () => this.#sendNow(answer));
  }

  /** Gives up the answer to a call if it waits, since its caller has gone. */
  cancel(id: number): void {
    const answer = this.#waiting.get(id);
    if (answer === undefined) return;
    this.#waiting.delete(id);
    this.#release(answer.memory);
    this.#link.send({
      kind: "failure",
      id,
      error: "answer_cut",
      mayHaveRun: true,
      wasSent: true,
      retryAfterMs: 0,
      load: answer.frame.load,
    });
  }

  /** Releases the memory of all answers, after the link has closed. */
  close(): void {
    this.#waiting.clear();
    this.#held.forEach((memory) => this.#release(memory));
  }

  #sendNow({ frame, memory, isShared }: LargeAnswer): void {
    // One that was the next of its link may have room later.
    if (!this.#waiting.delete(frame.id)) return;
    let isKept = isShared;
    this.#link.send(frame, () => {
      this.#release(memory);
      if (!isKept) freeBody(frame.body);
      this.#sendNext();
    });
    isKept = this.#onSent(frame) || isShared;
  }

  #sendNext(): void {
    const [next] = this.#waiting.values();
    const isIdle = this.#held.size === this.#waiting.size;
    if (next !== undefined && isIdle) this.#sendNow(next);
  }

  #release(memory: MemoryReservation): void {
    this.#held.delete(memory);
    memory.close();
  }
}
