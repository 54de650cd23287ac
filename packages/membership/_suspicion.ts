import { type Member, MemberState } from "@oleanderdeck/protocol";
import type { MembershipContext } from "./_context.ts";
import { Latch } from "./_latch.ts";
import { toClaim } from "./_member_record.ts";

/** Time that a suspect has to refute the suspicion. */
const SUSPICION_TIMEOUT_MS = 4000;

const CHECK_INTERVAL_MS = 200;

/** Declares suspects dead when they do not refute the suspicion in time. */
export class SuspicionTimer {
  readonly #context: MembershipContext;
  readonly #suspects = new Set<string>();
  readonly #news = new Latch();

  constructor(context: MembershipContext) {
    this.#context = context;
  }

  /** Starts or ends the suspicion of a member after a change of its record. */
  note(member: Member): void {
    if (member.state !== MemberState.SUSPECT) {
      this.#suspects.delete(member.nodeId);
      return;
    }
    if (this.#suspects.has(member.nodeId)) return;
    this.#suspects.add(member.nodeId);
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
        this.#suspects.forEach((nodeId) => this.#restart(nodeId));
      }
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

  #declareDead(nowMs: number): void {
    const { applyOwn, table } = this.#context;
    for (const nodeId of [...this.#suspects]) {
      const entry = table.get(nodeId);
      if (entry === undefined || entry.suspicionEndMs > nowMs) continue;
      applyOwn({ ...toClaim(entry.member), state: MemberState.DEAD });
    }
  }
}
