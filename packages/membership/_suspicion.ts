import { type Member, MemberState } from "@oleanderdeck/protocol";
import type { AntiEntropy } from "./_anti_entropy.ts";
import type { MembershipContext } from "./_context.ts";
import { Latch } from "./_latch.ts";
import { toClaim } from "./_member_record.ts";

/** Time that a suspect has to refute the suspicion. */
const SUSPICION_TIMEOUT_MS = 4000;

const CHECK_INTERVAL_MS = 200;

// Time before the end of a suspicion at which peers are asked for a refutation.
// At 20% loss, a member now and then missed it among the updates and declared a
// live member dead.
const INQUIRY_MS = 1500;

/** Declares suspects dead when they do not refute the suspicion in time. */
export class SuspicionTimer {
  readonly #context: MembershipContext;
  readonly #antiEntropy: AntiEntropy;
  /** Suspects, and whether peers were asked for a refutation. */
  readonly #suspects = new Map<string, boolean>();
  readonly #news = new Latch();

  constructor(context: MembershipContext, antiEntropy: AntiEntropy) {
    this.#context = context;
    this.#antiEntropy = antiEntropy;
  }

  /** Starts or ends the suspicion of a member after a change of its record. */
  note(member: Member): void {
    if (member.state !== MemberState.SUSPECT) {
      this.#suspects.delete(member.nodeId);
      return;
    }
    if (this.#suspects.has(member.nodeId)) return;
    this.#suspects.set(member.nodeId, false);
    this.#restart(member.nodeId);
    this.#news.open();
  }

  /** Checks the suspects until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, health } = this.#context;
    while (!signal.aborted) {
      if (this.#suspects.size === 0) await this.#news.wait(signal);
      const startMs = clock.now();
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (signal.aborted) return;
      // After a pause the refutations are still waiting in the socket.
      if (health.noteTimer(CHECK_INTERVAL_MS, clock.now() - startMs)) {
        this.#suspects.forEach((_, nodeId) => this.#restart(nodeId));
      }
      this.#inquire(clock.now());
      this.#declareDead(clock.now());
    }
  }

  #restart(nodeId: string): void {
    const { clock, health, table } = this.#context;
    const entry = table.get(nodeId);
    if (entry === undefined) return;
    entry.suspicionEndMs = clock.now() +
      SUSPICION_TIMEOUT_MS * health.multiplier;
  }

  #inquire(nowMs: number): void {
    const due = [...this.#suspects]
      .filter(([nodeId, isAsked]) => {
        const entry = this.#context.table.get(nodeId);
        return !isAsked && entry !== undefined &&
          entry.suspicionEndMs - nowMs <= INQUIRY_MS;
      })
      .map(([nodeId]) => nodeId);
    if (due.length === 0) return;
    due.forEach((nodeId) => this.#suspects.set(nodeId, true));
    this.#antiEntropy.inquire(due);
  }

  #declareDead(nowMs: number): void {
    const { applyOwn, table } = this.#context;
    for (const nodeId of [...this.#suspects.keys()]) {
      const entry = table.get(nodeId);
      if (entry === undefined || entry.suspicionEndMs > nowMs) continue;
      applyOwn({ ...toClaim(entry.member), state: MemberState.DEAD });
    }
  }
}
