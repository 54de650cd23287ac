import { type AnswerFrame, freeBody, type Link } from "@oleanderdeck/hop";
import {
  type MemoryReservation,
  SMALL_RESERVATION_BYTES,
} from "@oleanderdeck/serving";

/** Large answer and the memory of its body. */
interface LargeAnswer {
  readonly frame: AnswerFrame;
  readonly memory: MemoryReservation;
}

/**
 * Answers on one link to a caller's node. One large answer is always under way;
 * more are sent as far as the memory of answers that peers have not taken allows,
 * and others wait.
 */
export class LinkAnswers {
  readonly #link: Link;
  /** Memory of the answers that the peer has not taken yet. */
  readonly #held = new Set<MemoryReservation>();
  /** Answers that wait for room, by the numbers of their calls. */
  readonly #waiting = new Map<number, LargeAnswer>();

  /** @param link Link on which the answers are sent. */
  constructor(link: Link) {
    this.#link = link;
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
      return this.#link.send(frame);
    }
    const answer = { frame, memory: memory.handOver() };
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

  #sendNow({ frame, memory }: LargeAnswer): void {
    // One that was the next of its link may have room later.
    if (!this.#waiting.delete(frame.id)) return;
    this.#link.send(frame, () => {
      this.#release(memory);
      freeBody(frame.body);
      this.#sendNext();
    });
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
