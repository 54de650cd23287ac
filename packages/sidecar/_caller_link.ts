import type { EndTimes, HelloFrame, Link, LoadReport } from "@oleanderdeck/hop";
import type {
  Attempt,
  MemoryAccount,
  MemoryReservation,
} from "@oleanderdeck/serving";
import { KeptResults, lossOf, type ResultFrame } from "./_kept_results.ts";
import { LinkAnswers } from "./_link_answers.ts";
import { sleep } from "./_sleep.ts";

/** Interval at which the end of a link polls its answers, in milliseconds. */
const END_POLL_MS = 25;

/** Call that waits for the worker or runs there. */
export interface ReceivedCall {
  readonly attempt: Attempt;
  /** Link on which the result is sent. */
  owner: CallerLink;
}

/** Options of {@linkcode CallerLink}. */
export interface CallerLinkOptions {
  readonly link: Link;
  readonly account: MemoryAccount;
  /** Load report that was sent on the link. */
  readonly load: LoadReport;
}

/** Link from a caller's node, with the calls received on it. */
export class CallerLink {
  readonly link: Link;
  /** Calls that have no result. */
  readonly calls = new Map<number, ReceivedCall>();
  /** Memory of the bodies of the calls. */
  readonly bodies = new Map<number, MemoryReservation>();
  lastSentLoad: LoadReport;
  /** Earlier links whose calls were all claimed on this one. */
  claimedLinkIds: readonly string[] = [];
  readonly #account: MemoryAccount;
  readonly #answers: LinkAnswers;
  readonly #kept: KeptResults;
  #hello: HelloFrame | undefined;
  #highestId = 0;

  /** @param options Link, and account of its bodies and answers. */
  constructor({ link, account, load }: CallerLinkOptions) {
    this.link = link;
    this.lastSentLoad = load;
    this.#account = account;
    this.#kept = new KeptResults(link, account);
    this.#answers = new LinkAnswers(link, (frame) => this.#keep(frame));
  }

  /** Name of the caller's node; undefined as long as it is not known. */
  get node(): string | undefined {
    return this.#hello?.node;
  }

  /** Identity of the link; undefined if the caller's node has none. */
  get linkId(): string | undefined {
    return this.#hello?.linkId;
  }

  /** Highest number of a call that was received. */
  get highestId(): number {
    return this.#highestId;
  }

  /** Records the first frame of the caller's node. */
  identify(hello: HelloFrame): void {
    this.#hello ??= hello;
  }

  /** Records that calls up to a number may have been received. */
  recordReceived(id: number): void {
    this.#highestId = Math.max(this.#highestId, id);
  }

  /** Whether a call was received whose result may still have to be sent. */
  has(id: number): boolean {
    return this.calls.has(id) || this.#answers.isWaiting(id) ||
      this.#kept.has(id);
  }

  /** Releases the memory of the body of a call. */
  releaseBody(id: number): void {
    this.bodies.get(id)?.close();
    this.bodies.delete(id);
  }

  /**
   * Sends the result of a call.
   *
   * @param frame Result.
   * @param memory Memory of the body of an answer, which is taken over if it is
   * large.
   */
  sendResult(frame: ResultFrame, memory?: MemoryReservation): void {
    if (frame.kind === "answer") return this.#answers.send(frame, memory);
    this.link.send(frame);
    this.#keep(frame);
  }

  /** Cancels a call, or gives up its answer if that waits. */
  cancel(id: number): void {
    this.calls.get(id)?.attempt.cancel();
    this.#answers.cancel(id);
  }

  /** Passes a call, or its result, on to another link. */
  passOn(id: number, target: CallerLink, load: LoadReport): void {
    const waiting = this.#answers.take(id);
    if (waiting !== undefined) {
      return target.sendResult({ ...waiting.frame, load }, waiting.memory);
    }
    const result = this.#kept.take(id);
    if (result !== undefined) return target.#sendAgain({ ...result, load });
    const call = this.calls.get(id);
    if (call === undefined) return;
    const body = this.bodies.get(id);
    this.calls.delete(id);
    this.bodies.delete(id);
    call.owner = target;
    target.calls.set(id, call);
    if (body !== undefined) target.bodies.set(id, body);
  }

  /** Checks the link; see {@linkcode Link.check}. */
  check(): void {
    this.link.check(false);
    this.#kept.prune();
  }

  /**
   * Sends the answers that wait, and ends the link; see {@linkcode Link.end}.
   *
   * @param times Times after which the link is closed in any case.
   * @returns Resolves when the link is closed.
   */
  async end(times: EndTimes): Promise<void> {
    while (this.#answers.areWaiting && performance.now() < times.latestAt) {
      await sleep(END_POLL_MS);
    }
    await this.link.end(times);
  }

  /** Cancels the calls after the end of the link. */
  close(): void {
    this.calls.forEach(({ attempt }) => attempt.cancel());
    // A call that the worker still runs holds its body until it ends.
    this.bodies.forEach((reservation, id) => {
      if (!this.calls.has(id)) reservation.close();
    });
    this.#answers.close();
    this.#kept.close();
  }

  #sendAgain(frame: ResultFrame): void {
    if (frame.kind === "failure") return this.sendResult(frame);
    const memory = this.#account.open("waiting_answers");
    if (!memory.growAhead(frame.body.length)) {
      return this.sendResult(lossOf(frame));
    }
    this.#answers.sendAgain(frame, memory);
  }

  // Returns whether the body is kept as well.
  #keep(frame: ResultFrame): boolean {
    return this.linkId !== undefined && this.#kept.add(frame);
  }
}
